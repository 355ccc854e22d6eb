//! Pauses of the whole process.

use crate::{happens, take_one};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Pauses of a process at one place of its code, in memory that it shares with the test.
#[repr(C)]
pub struct Pauses {
    /// Rate of random pauses, in millionths.
    rate: AtomicU64,
    /// Counted pauses left; they come whatever the rate.
    remaining: AtomicU64,
    /// Length of a pause, in nanoseconds.
    length: AtomicU64,
    /// Least time between random pauses, in nanoseconds.
    gap: AtomicU64,
    /// Pauses that have begun.
    begun: AtomicU64,
}

impl Pauses {
    /// Lets the process pause at this rate, in millionths, no sooner than `gap` after the pause
    /// before.
    pub fn set_rate(&self, rate: u64, length: Duration, gap: Duration) {
        self.set_length(length);
        self.gap.store(nanoseconds(gap), Ordering::SeqCst);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Lets the process pause the next times that it comes to this place.
    pub fn pause_next(&self, times: u64, length: Duration) {
        self.set_length(length);
        self.remaining.store(times, Ordering::SeqCst);
    }

    fn set_length(&self, length: Duration) {
        self.length.store(nanoseconds(length), Ordering::SeqCst);
    }

    /// Ends the random pauses and the counted ones.
    pub(crate) fn clear(&self) {
        self.rate.store(0, Ordering::SeqCst);
        self.remaining.store(0, Ordering::SeqCst);
    }

    /// How many pauses have begun so far.
    pub fn pause_count(&self) -> u64 {
        self.begun.load(Ordering::SeqCst)
    }

    /// How long the process pauses now, if it does. `random` draws a number; `since_last` gives the
    /// time since the end of the pause before.
    pub fn draw(
        &self,
        mut random: impl FnMut() -> u64,
        since_last: impl FnOnce() -> Duration,
    ) -> Option<Duration> {
        let counted = take_one(&self.remaining);
        let rate = self.rate.load(Ordering::Relaxed);
        let gap_is_over = || nanoseconds(since_last()) >= self.gap.load(Ordering::Relaxed);
        let pauses = counted || (happens(rate, &mut random) && gap_is_over());
        if !pauses {
            return None;
        }
        self.begun.fetch_add(1, Ordering::SeqCst);
        Some(Duration::from_nanos(self.length.load(Ordering::SeqCst)))
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
