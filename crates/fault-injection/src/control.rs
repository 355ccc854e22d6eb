//! The layout of the shared memory.

use crate::{CallFaults, Pauses, SystemCall};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// All that the control file holds. Every field is an atomic integer, for which any bytes are valid.
#[repr(C)]
pub struct FaultControl {
    /// Seed of what is left to chance.
    seed: AtomicU64,
    /// By how much the wall clock differs from the system's, in nanoseconds.
    wall_clock_offset: AtomicI64,
    /// Pauses after `epoll_wait`: between the reading of events and of clocks, and the reaction.
    pub after_epoll_wait: Pauses,
    /// Pauses before a TCP connection's sending half is shut down.
    pub before_shutdown: Pauses,
    /// Pauses of a thread before it syncs a file.
    pub before_sync: Pauses,
    /// Rate of calls that move only a few bytes of what they could, in millionths.
    short_io_rate: AtomicU64,
    faults: [CallFaults; SystemCall::COUNT],
}

impl FaultControl {
    /// The faults of a system call.
    pub fn faults(&self, call: SystemCall) -> &CallFaults {
        &self.faults[call as usize]
    }

    /// Seeds what is left to chance.
    pub fn set_seed(&self, seed: u64) {
        self.seed.store(seed, Ordering::SeqCst);
    }

    /// The seed of what is left to chance.
    pub fn seed(&self) -> u64 {
        self.seed.load(Ordering::Relaxed)
    }

    /// Lets reads and writes on TCP sockets move only a few bytes at this rate, in millionths.
    pub fn set_short_io_rate(&self, rate: u64) {
        self.short_io_rate.store(rate, Ordering::SeqCst);
    }

    /// Whether this read or write moves only a few bytes. `random` draws a number.
    pub fn draw_short_io(&self, mut random: impl FnMut() -> u64) -> bool {
        crate::happens(self.short_io_rate.load(Ordering::Relaxed), &mut random)
    }

    /// Sets the wall clock this many seconds ahead of the system's.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.wall_clock_offset
            .store(seconds * NANOSECONDS_PER_SECOND, Ordering::SeqCst);
    }

    /// How far the wall clock is ahead of the system's, in nanoseconds.
    pub fn wall_clock_offset(&self) -> i64 {
        self.wall_clock_offset.load(Ordering::Relaxed)
    }

    /// Ends all failures, pauses and short reads and writes. The wall clock stays as it is.
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
