//! The time that the balancer's decisions go by.

use balancer::Time;
use tokio::time::Instant;

/// What the clock shows when the process starts. Not zero, since backends may have started before
/// the process did.
const PROCESS_START: Time = Time(24 * 3600 * 1_000_000_000);

/// A monotonic clock that maps [`Instant`]s to the balancer's [`Time`]. It is independent of the
/// wall clock, which may be stepped.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that shows the balancer's start time at this moment.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        PROCESS_START + self.started_at.elapsed()
    }

    /// The instant at which this clock shows `time`.
    pub fn instant_at(&self, time: Time) -> Instant {
        self.started_at + (time - PROCESS_START)
    }
}
