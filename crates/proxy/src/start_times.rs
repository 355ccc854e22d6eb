//! When backends started, on the process's own clock.
//!
//! Endpoint lists give starts as wall-clock timestamps, and a wall clock may be stepped, here or
//! elsewhere, by seconds or by hours. What the process knows for certain is when it first learnt of a
//! start. So a timestamp that is new or has changed, whichever way, is a start at that moment. Only
//! for backends that are listed when the process begins do the timestamps have to give the age, and
//! then the least that they allow: a backend that is taken for younger than it is gets less load for
//! a while, one that is taken for older is overloaded.

use balancer::Time;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Largest error of a wall clock that was stepped, in either direction.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3600);
/// A start longer ago than this makes no difference.
const MAX_AGE: Duration = Duration::from_secs(12 * 3600);
/// Backends that no list names any more and that are remembered all the same, beyond as many as are
/// listed.
const MAX_UNLISTED: usize = 64;

/// A moment at which the clock of the timestamps showed at least a given time.
#[derive(Clone, Copy)]
struct ClockReading {
    at: Time,
    timestamp: Duration,
}

/// When a backend started, on the process's own clock; `None` stands for long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStart {
    /// The latest time that any clock allows.
    pub latest: Option<Time>,
    /// The time by this machine's wall clock, if that is not certainly wrong.
    pub likely: Option<Time>,
}

impl BackendStart {
    /// A start that this process has observed.
    pub fn observed(at: Time) -> Self {
        BackendStart {
            latest: Some(at),
            likely: Some(at),
        }
    }

    /// This start, or a later one that was observed then.
    pub fn or_observed(self, at: Option<Time>) -> Self {
        BackendStart {
            latest: self.latest.max(at),
            likely: self.likely.max(at),
        }
    }
}

/// The start of a listed backend.
struct ListedStart {
    /// As listed, in Unix time; zero for long ago.
    timestamp: Duration,
    start: BackendStart,
}

/// The end of a backend's maintenance.
struct MaintenanceEnd {
    /// Tells one end of maintenance from the next.
    marker: u64,
    observed_at: Time,
}

/// Start times of backends, by name. Owned by the backend registry.
#[derive(Default)]
pub struct StartTimes {
    listed: FxHashMap<String, ListedStart>,
    maintenance_ends: FxHashMap<String, MaintenanceEnd>,
    latest_reading: Option<ClockReading>,
    /// A list from discovery itself has been applied: whatever is new from now on has started since.
    discovery_list_applied: bool,
}

impl StartTimes {
    /// Observes a list's timestamps, before [`start_of`](Self::start_of) is called for its backends.
    /// They show how far the clock has advanced that they were read from.
    pub fn observe_timestamps(&mut self, now: Time, timestamps: impl Iterator<Item = Duration>) {
        let Some(latest) = timestamps.max().filter(|timestamp| !timestamp.is_zero()) else {
            return;
        };
        if self
            .least_timestamp_clock(now)
            .is_none_or(|least| latest > least)
        {
            self.latest_reading = Some(ClockReading {
                at: now,
                timestamp: latest,
            });
        }
    }

    /// When a listed backend started. `wall_clock` is this machine's own, in Unix time.
    pub fn start_of(
        &mut self,
        now: Time,
        wall_clock: Duration,
        name: &str,
        timestamp: Duration,
    ) -> BackendStart {
        let by_timestamp = match self.listed.get(name) {
            // A timestamp that is left out from some list on does not mean a start.
            Some(listed) if listed.timestamp == timestamp || timestamp.is_zero() => listed.start,
            _ => {
                let start = if timestamp.is_zero() {
                    BackendStart::default()
                } else if self.discovery_list_applied {
                    BackendStart::observed(now)
                } else {
                    self.start_before_this_process(now, wall_clock, timestamp)
                };
                self.listed
                    .insert(name.to_owned(), ListedStart { timestamp, start });
                start
            }
        };
        by_timestamp.or_observed(self.returned_at(name))
    }

    /// Notes that a list from discovery has been applied. `listed_count` backends are listed now.
    pub fn list_applied(&mut self, listed_count: usize, is_listed: impl Fn(&str) -> bool) {
        self.discovery_list_applied = true;
        if self.listed.len() > 2 * listed_count + MAX_UNLISTED {
            self.listed.retain(|name, _| is_listed(name));
        }
    }

    /// Observes which backends operators have put back into use. A marker that is new counts as a
    /// start at this moment.
    pub fn observe_returned<'a>(
        &mut self,
        now: Time,
        markers: impl Iterator<Item = (&'a String, &'a u64)>,
    ) {
        for (name, &marker) in markers {
            let is_new = self
                .maintenance_ends
                .get(name)
                .is_none_or(|end| end.marker != marker);
            if is_new {
                let end = MaintenanceEnd {
                    marker,
                    observed_at: now,
                };
                self.maintenance_ends.insert(name.clone(), end);
            }
        }
    }

    /// When this process learnt that operators had put a backend back into use.
    pub fn returned_at(&self, name: &str) -> Option<Time> {
        self.maintenance_ends.get(name).map(|end| end.observed_at)
    }

    /// The least that the clock of the timestamps shows now, in Unix time.
    fn least_timestamp_clock(&self, now: Time) -> Option<Duration> {
        self.latest_reading
            .map(|reading| reading.timestamp + (now - reading.at))
    }

    /// The start that a timestamp tells from before this process received lists. A timestamp that
    /// this machine's clock has not reached shows that this clock is wrong; one that it has passed by
    /// more than its largest error is old for certain.
    fn start_before_this_process(
        &self,
        now: Time,
        wall_clock: Duration,
        timestamp: Duration,
    ) -> BackendStart {
        let age_by_timestamps = self
            .least_timestamp_clock(now)
            .unwrap_or(timestamp)
            .saturating_sub(timestamp);
        let age_by_wall_clock = wall_clock.checked_sub(timestamp);
        let certain_age = wall_clock.saturating_sub(timestamp + MAX_CLOCK_ERROR);
        let least_age = age_by_timestamps
            .min(age_by_wall_clock.unwrap_or(age_by_timestamps))
            .max(certain_age);
        BackendStart {
            latest: time_of_start(now, least_age),
            likely: age_by_wall_clock.and_then(|age| time_of_start(now, age.max(least_age))),
        }
    }
}

/// When a backend of this age started; `None` for long ago.
fn time_of_start(now: Time, age: Duration) -> Option<Time> {
    (age < MAX_AGE).then(|| Time(now.0.saturating_sub(age.as_nanos() as u64)))
}

#[cfg(test)]
#[path = "start_times_tests.rs"]
mod tests;
