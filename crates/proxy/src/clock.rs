//! The clock that the balancer's decisions are based on.

use balancer::Time;
use tokio::time::Instant;

/// The time that the clock shows when the process starts: 24 hours. It is not zero, since backends
/// may have started before the process did.
const PROCESS_START: Time = Time(24 * 3600 * 1_000_000_000);

/// A monotonic clock that converts between [`Instant`] and the balancer's [`Time`]. It is
/// independent of the wall clock, which may be stepped. Copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The instant at which the clock showed [`PROCESS_START`].
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that shows [`PROCESS_START`] now.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        PROCESS_START + self.started_at.elapsed()
    }

    /// Returns the instant at which this clock shows `time`.
    pub fn instant_at(&self, time: Time) -> Instant {
        self.started_at + (time - PROCESS_START)
    }
}
