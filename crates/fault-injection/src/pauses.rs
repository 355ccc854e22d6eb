//! Pauses of a thread at one place. A pause of the thread that runs an event loop stalls all that
//! the loop serves.

use crate::{draw_bool, try_decrement};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The pauses of the process under test at one place, in memory that it shares with the test. Only
/// the thread that comes to the place pauses.
#[repr(C)]
pub struct Pauses {
    /// Probability of a random pause each time that a thread comes to this place, in millionths.
    rate: AtomicU64,
    /// Number of counted pauses left; they occur regardless of `rate` and `gap`.
    remaining: AtomicU64,
    /// Length of each pause, in nanoseconds.
    length: AtomicU64,
    /// Minimum time from the end of the process's previous pause, at any place, to a random pause,
    /// in nanoseconds.
    gap: AtomicU64,
    /// Number of pauses that have begun since the control file was created.
    begun: AtomicU64,
}

impl Pauses {
    /// Makes threads that come to this place pause for `length` with probability `rate`, in
    /// millionths, but not within `gap` of the end of the process's previous pause at any place.
    ///
    /// `length` also applies to counted pauses that have not begun yet.
    pub fn set_rate(&self, rate: u64, length: Duration, gap: Duration) {
        self.set_length(length);
        self.gap.store(nanoseconds(gap), Ordering::SeqCst);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Makes the next `times` arrivals of a thread at this place pause for `length`, which also
    /// applies to random pauses from now on.
    pub fn pause_next(&self, times: u64, length: Duration) {
        self.set_length(length);
        self.remaining.store(times, Ordering::SeqCst);
    }

    /// Sets the length of both random and counted pauses.
    fn set_length(&self, length: Duration) {
        self.length.store(nanoseconds(length), Ordering::SeqCst);
    }

    /// Stops both the random and the counted pauses. A pause that has begun runs to its end, and
    /// the count of past pauses stays.
    pub(crate) fn clear(&self) {
        self.rate.store(0, Ordering::SeqCst);
        self.remaining.store(0, Ordering::SeqCst);
    }

    /// Returns the number of pauses that have begun since the control file was created.
    pub fn pause_count(&self) -> u64 {
        self.begun.load(Ordering::SeqCst)
    }

    /// Decides whether the calling thread pauses now, and counts the pause.
    ///
    /// Returns the length of the pause, or `None` for no pause. `random` returns the next random
    /// number, uniform over all `u64` values; `since_last` returns the time since the end of the
    /// process's previous pause at any place.
    pub fn draw(
        &self,
        mut random: impl FnMut() -> u64,
        since_last: impl FnOnce() -> Duration,
    ) -> Option<Duration> {
        let counted = try_decrement(&self.remaining);
        let rate = self.rate.load(Ordering::Relaxed);
        let gap_elapsed = || nanoseconds(since_last()) >= self.gap.load(Ordering::Relaxed);
        let should_pause = counted || (draw_bool(rate, &mut random) && gap_elapsed());
        if !should_pause {
            return None;
        }
        self.begun.fetch_add(1, Ordering::SeqCst);
        Some(Duration::from_nanos(self.length.load(Ordering::SeqCst)))
    }
}

/// Converts a duration to nanoseconds, limited to `u64::MAX`.
fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
