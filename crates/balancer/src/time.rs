//! Points in time on the clock of the process that embeds the balancer; the balancer reads none.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the embedding process's clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Add<Duration> for Time {
    type Output = Time;

    /// Returns the later time, or the largest representable one on overflow.
    fn add(self, duration: Duration) -> Time {
        let nanoseconds = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(nanoseconds))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time elapsed since `other`, or zero if `other` is later.
    fn sub(self, other: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(other.0))
    }
}
