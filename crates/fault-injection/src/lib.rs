//! The memory that a test and the fault shim in a node's process share.
//!
//! A test creates a control file, names it in [`VARIABLE`], preloads the shim into the node and
//! changes the file while the node runs. The shim reads it on every system call that it stands in
//! for, and counts there what it did.

#![allow(unsafe_code)] // Maps memory that two processes share.

use memmap2::MmapRaw;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

/// Names the control file to the shim.
pub const VARIABLE: &str = "FAULT_SHIM_CONTROL";

/// System calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `connect`.
    Connect,
    /// `accept4`.
    Accept,
    /// `epoll_wait`: of use with EINTR alone.
    Wait,
    /// `poll`: of use with EINTR alone.
    Poll,
    /// `recv` on a TCP socket that the process has connected itself.
    Receive,
    /// `send` and `writev` on a TCP socket.
    Send,
    /// `open` of a regular file for reading.
    OpenRead,
    /// `open` of a regular file for writing.
    OpenWrite,
    /// `write` to a regular file.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

/// How many kinds of [`Call`] there are.
const CALLS: usize = 14;
/// Most error numbers that one call chooses from.
const ERRORS: usize = 8;
/// The denominator of [`Faults::set_rate`].
pub const MILLION: u64 = 1_000_000;

/// The faults of one system call.
#[repr(C)]
pub struct Faults {
    /// Chance of a failure, in millionths.
    rate: AtomicU64,
    /// So many calls succeed before the next ones fail.
    skipped: AtomicU64,
    /// So many calls fail from then on, whatever the chance.
    next: AtomicU64,
    /// Error numbers, one a byte; 0 ends them.
    errors: AtomicU64,
    /// How many calls have failed.
    failed: AtomicU64,
}

impl Faults {
    /// Lets each call fail by this chance, in millionths, with one of these error numbers.
    pub fn set_rate(&self, rate: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Lets the next calls fail with one of these error numbers.
    pub fn fail_next(&self, calls: u64, errors: &[i32]) {
        self.fail_after(0, calls, errors);
    }

    /// The same for those that come after so many others.
    pub fn fail_after(&self, skipped: u64, calls: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.skipped.store(skipped, Ordering::SeqCst);
        self.next.store(calls, Ordering::SeqCst);
    }

    fn set_errors(&self, errors: &[i32]) {
        let byte = |number: &i32| u8::try_from(*number).expect("an error number below 256");
        let mut bytes = [0; ERRORS];
        bytes
            .iter_mut()
            .zip(errors)
            .for_each(|(byte_of, number)| *byte_of = byte(number));
        self.errors
            .store(u64::from_le_bytes(bytes), Ordering::SeqCst);
    }

    /// How many calls have failed so far.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::SeqCst)
    }

    /// How many of the next calls are still to fail.
    pub fn left(&self) -> u64 {
        self.next.load(Ordering::SeqCst)
    }

    /// The error number that this call fails with, if it does. `random` draws a number.
    pub fn draw(&self, mut random: impl FnMut() -> u64) -> Option<i32> {
        let less = |count: &AtomicU64| {
            count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
        };
        if self.next.load(Ordering::SeqCst) > 0 && less(&self.skipped).is_ok() {
            return None;
        }
        let counted = less(&self.next);
        let rate = self.rate.load(Ordering::Relaxed);
        if counted.is_err() && (rate == 0 || random() % MILLION >= rate) {
            return None;
        }
        let errors = self.errors.load(Ordering::SeqCst).to_le_bytes();
        let known = errors.iter().position(|byte| *byte == 0).unwrap_or(ERRORS);
        if known == 0 {
            return None;
        }
        self.failed.fetch_add(1, Ordering::SeqCst);
        Some(i32::from(errors[(random() % known as u64) as usize]))
    }
}

/// Pauses of the whole process at one place of its code.
#[repr(C)]
pub struct Pauses {
    /// Chance of a pause, in millionths.
    rate: AtomicU64,
    /// So many passes pause from now on, whatever the chance.
    next: AtomicU64,
    /// For how long, in nanoseconds.
    nanoseconds: AtomicU64,
    /// Those left to chance are at least so far apart, in nanoseconds.
    gap: AtomicU64,
    /// How many have begun.
    begun: AtomicU64,
}

impl Pauses {
    /// Lets each pass pause by this chance, in millionths, so long after the pause before.
    pub fn set_rate(&self, rate: u64, time: Duration, gap: Duration) {
        self.set_time(time);
        self.gap.store(nanoseconds(gap), Ordering::SeqCst);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Lets the next passes pause.
    pub fn pause_next(&self, passes: u64, time: Duration) {
        self.set_time(time);
        self.next.store(passes, Ordering::SeqCst);
    }

    fn set_time(&self, time: Duration) {
        self.nanoseconds.store(nanoseconds(time), Ordering::SeqCst);
    }

    /// How many pauses have begun so far.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::SeqCst)
    }

    /// How long this pass pauses, if it does. `random` draws a number; `since` tells how long ago
    /// the pause before ended.
    pub fn draw(
        &self,
        mut random: impl FnMut() -> u64,
        since: impl FnOnce() -> Duration,
    ) -> Option<Duration> {
        let counted = self
            .next
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        let rate = self.rate.load(Ordering::Relaxed);
        let mut by_chance = || rate > 0 && random() % MILLION < rate;
        let far_enough = || nanoseconds(since()) >= self.gap.load(Ordering::Relaxed);
        if counted.is_err() && !(by_chance() && far_enough()) {
            return None;
        }
        self.begun.fetch_add(1, Ordering::SeqCst);
        Some(Duration::from_nanos(
            self.nanoseconds.load(Ordering::SeqCst),
        ))
    }
}

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// All that the control file holds.
#[repr(C)]
pub struct Control {
    /// For what is left to chance.
    pub seed: AtomicU64,
    /// By how much the wall clock differs from the system's, in nanoseconds.
    wall_clock: AtomicI64,
    /// Pauses behind `epoll_wait`: between the reading of events and of clocks, and what is done
    /// about them.
    pub after_wait: Pauses,
    /// Pauses before the half of a TCP connection is shut that sends.
    pub before_shutdown: Pauses,
    /// Chance that a call moves only a few bytes of what it could, in millionths.
    pub short_rate: AtomicU64,
    faults: [Faults; CALLS],
}

impl Control {
    /// The faults of a system call.
    pub fn faults(&self, call: Call) -> &Faults {
        &self.faults[call as usize]
    }

    /// Sets the wall clock off from the system's by so many seconds.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.wall_clock
            .store(seconds * 1_000_000_000, Ordering::SeqCst);
    }

    /// By how much the wall clock is off, in nanoseconds.
    pub fn wall_clock(&self) -> i64 {
        self.wall_clock.load(Ordering::Relaxed)
    }

    /// Ends all chances of failures, pauses and short calls. The wall clock stays as it is.
    pub fn quiet(&self) {
        for faults in &self.faults {
            faults.rate.store(0, Ordering::SeqCst);
            faults.next.store(0, Ordering::SeqCst);
        }
        for pauses in [&self.after_wait, &self.before_shutdown] {
            pauses.rate.store(0, Ordering::SeqCst);
            pauses.next.store(0, Ordering::SeqCst);
        }
        self.short_rate.store(0, Ordering::SeqCst);
    }
}

/// A control file in this process's memory.
pub struct SharedControl(MmapRaw);

impl SharedControl {
    /// Creates the file, with no faults, or empties it.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        file.set_len(size_of::<Control>() as u64)?;
        Ok(SharedControl(MmapRaw::map_raw(&file)?))
    }
}

impl std::ops::Deref for SharedControl {
    type Target = Control;
    fn deref(&self) -> &Control {
        // SAFETY: The mapping is as long as the structure, aligned to a page, lives as long as
        // `self`, and every field is an atomic integer, for which any bytes are good and which
        // other processes may change.
        #[allow(unsafe_code)]
        unsafe {
            &*self.0.as_ptr().cast::<Control>()
        }
    }
}
