//! The layout of the memory shared by a test and the process under test.

use crate::{CallFaults, Pauses, SystemCall};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// The contents of the control file: all that a test configures, and the counts of failures and
/// pauses. Every field is an atomic integer, for which any bytes are valid.
#[repr(C)]
pub struct FaultControl {
    /// Seed of the random numbers by which the process under test draws faults.
    seed: AtomicU64,
    /// Offset added to the system's wall clock, in nanoseconds; negative values set it back.
    wall_clock_offset: AtomicI64,
    /// Pauses after `epoll_wait` returns: between reading the events and the clocks, and reacting
    /// to them.
    pub after_epoll_wait: Pauses,
    /// Pauses before `shutdown` with `SHUT_WR`, which shuts down the sending half of a connection.
    pub before_shutdown: Pauses,
    /// Pauses of the calling thread before `fsync`; there are none before `fdatasync`.
    pub before_sync: Pauses,
    /// Probability that a read or write is short, that is, transfers only a few of the bytes it
    /// could, in millionths.
    short_io_rate: AtomicU64,
    /// Largest send buffer that the process under test can set for a socket, in bytes; 0 for the
    /// system's limit.
    max_send_buffer: AtomicU64,
    /// The failures of each system call, indexed by its discriminant.
    faults: [CallFaults; SystemCall::COUNT],
}

impl FaultControl {
    /// Returns the failures to inject into `call`.
    pub fn faults(&self, call: SystemCall) -> &CallFaults {
        &self.faults[call as usize]
    }

    /// Sets the seed of the random numbers by which the process under test draws faults.
    pub fn set_seed(&self, seed: u64) {
        self.seed.store(seed, Ordering::SeqCst);
    }

    /// Returns the seed of the random numbers by which faults are drawn; 0 if none was set.
    pub fn seed(&self) -> u64 {
        self.seed.load(Ordering::Relaxed)
    }

    /// Makes each read and write on a TCP socket short, that is, transfer only a few bytes, with
    /// probability `rate`, in millionths.
    pub fn set_short_io_rate(&self, rate: u64) {
        self.short_io_rate.store(rate, Ordering::SeqCst);
    }

    /// Decides whether this read or write is short. `random` returns the next random number,
    /// uniform over all `u64` values.
    pub fn draw_short_io(&self, mut random: impl FnMut() -> u64) -> bool {
        crate::draw_bool(self.short_io_rate.load(Ordering::Relaxed), &mut random)
    }

    /// Sets the wall clock of the process under test `seconds` ahead of the system's, or behind it
    /// if negative. Replaces the previous offset.
    pub fn set_wall_clock_offset(&self, seconds: i64) {
        self.wall_clock_offset
            .store(seconds * NANOSECONDS_PER_SECOND, Ordering::SeqCst);
    }

    /// Returns how far the wall clock of the process under test is ahead of the system's, in
    /// nanoseconds; negative if it is behind.
    pub fn wall_clock_offset(&self) -> i64 {
        self.wall_clock_offset.load(Ordering::Relaxed)
    }

    /// Makes the process under test set send buffers of at most this many bytes, as a system with a low
    /// limit does.
    pub fn set_max_send_buffer(&self, bytes: u64) {
        self.max_send_buffer.store(bytes, Ordering::SeqCst);
    }

    /// Returns the largest send buffer that the process under test can set, in bytes; `None` if only
    /// the system limits it.
    pub fn max_send_buffer(&self) -> Option<u64> {
        Some(self.max_send_buffer.load(Ordering::Relaxed)).filter(|bytes| *bytes > 0)
    }

    /// Stops all failures, pauses and short reads and writes. The wall clock's offset, the limit on
    /// send buffers, the seed and the counts of past faults stay.
    pub fn clear_faults(&self) {
        for faults in &self.faults {
            faults.clear();
        }
        self.after_epoll_wait.clear();
        self.before_shutdown.clear();
        self.before_sync.clear();
        self.short_io_rate.store(0, Ordering::SeqCst);
    }
}
