//! Determines when backends started, on the process's own monotonic clock.
//!
//! Endpoint lists give starts as wall-clock timestamps, and a wall clock may be stepped, on this
//! machine or elsewhere, by seconds or by hours. What the process knows for certain is when it
//! first learnt of a start. So a timestamp that is new or has changed, in either direction, counts
//! as a start at the moment it is received. Only for backends that are listed when the process
//! begins is the age derived from the timestamps. It is then the lowest age that they allow: a
//! backend that is assumed to be younger than it is gets less load for a while, while one that is
//! assumed to be older is overloaded.

use balancer::Time;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Largest error that is assumed of a wall clock that was stepped, in either direction.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3600);
/// Age from which a backend counts as started long ago: older starts make no difference.
const MAX_AGE: Duration = Duration::from_secs(12 * 3600);
/// Number of backends that no list names any more and whose starts are still kept, in addition to
/// as many as are listed. Beyond that the starts of all unlisted backends are dropped.
const MAX_UNLISTED: usize = 64;

/// A moment at which the wall clock that timestamps are taken from showed at least a given time.
#[derive(Clone, Copy)]
struct ClockReading {
    /// The moment on the process's own clock.
    at: Time,
    /// The least that the wall clock showed then, in Unix time.
    timestamp: Duration,
}

/// Estimates of when a backend started, on the process's own clock. `None` stands for long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStart {
    /// The latest time at which it can have started, even if a wall clock is wrong.
    pub latest: Option<Time>,
    /// When it has probably started: by this machine's wall clock, but no later than `latest`.
    /// `None` also where that clock is certainly wrong.
    pub likely: Option<Time>,
}

impl BackendStart {
    /// Creates the start of a backend whose start this process has observed at `at`: both estimates
    /// are that time.
    pub fn observed(at: Time) -> Self {
        BackendStart {
            latest: Some(at),
            likely: Some(at),
        }
    }

    /// Returns this start with each estimate replaced by `at`, the time of another observed start,
    /// where that is later. `None` changes nothing.
    pub fn max_with_observed(self, at: Option<Time>) -> Self {
        BackendStart {
            latest: self.latest.max(at),
            likely: self.likely.max(at),
        }
    }
}

/// The start of a backend, with the listed timestamp that it was derived from.
struct ListedStart {
    /// Timestamp as listed, in Unix time; zero for long ago.
    timestamp: Duration,
    start: BackendStart,
}

/// The latest end of a backend's maintenance that this process has observed.
struct MaintenanceEnd {
    /// Distinguishes one end of maintenance from the next.
    marker: u64,
    /// When this process learnt of it.
    observed_at: Time,
}

/// Start times of all backends, by name. Owned by the backend registry.
#[derive(Default)]
pub struct StartTimes {
    /// Starts of the backends that lists have named, as derived from their timestamps.
    listed: FxHashMap<String, ListedStart>,
    /// Latest return from maintenance of each backend that has returned.
    maintenance_ends: FxHashMap<String, MaintenanceEnd>,
    /// The reading that gives the highest lower bound of the timestamps' clock; `None` before the
    /// first timestamp.
    latest_reading: Option<ClockReading>,
    /// Whether a list from discovery itself has been applied, so that a timestamp that is new from
    /// now on belongs to a start since then.
    discovery_list_applied: bool,
}

impl StartTimes {
    /// Observes a list's timestamps, which show how far the clock that they are taken from has
    /// advanced at least. To be called before [`start_of`](Self::start_of) is called for the list's
    /// backends.
    pub fn observe_timestamps(&mut self, now: Time, timestamps: impl Iterator<Item = Duration>) {
        let Some(latest) = timestamps.max().filter(|timestamp| !timestamp.is_zero()) else {
            return;
        };
        if self
            .timestamp_clock_lower_bound(now)
            .is_none_or(|lower_bound| latest > lower_bound)
        {
            self.latest_reading = Some(ClockReading {
                at: now,
                timestamp: latest,
            });
        }
    }

    /// Returns when a listed backend started or returned from maintenance, whichever is later, and
    /// records the start if its timestamp is new.
    ///
    /// `timestamp` is the listed start and `wall_clock` this machine's current time, both in Unix
    /// time.
    pub fn start_of(
        &mut self,
        now: Time,
        wall_clock: Duration,
        name: &str,
        timestamp: Duration,
    ) -> BackendStart {
        let by_timestamp = match self.listed.get(name) {
            // A list that no longer gives a timestamp for the backend does not mean a start.
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
        by_timestamp.max_with_observed(self.returned_at(name))
    }

    /// Notes that a list from discovery has been applied. `listed_count` backends are listed now,
    /// and `is_listed` returns whether the one of a given name is among them. Drops starts of
    /// unlisted backends once there are too many.
    pub fn list_applied(&mut self, listed_count: usize, is_listed: impl Fn(&str) -> bool) {
        self.discovery_list_applied = true;
        if self.listed.len() > 2 * listed_count + MAX_UNLISTED {
            self.listed.retain(|name, _| is_listed(name));
        }
    }

    /// Observes which backends operators have returned from maintenance. `markers` are pairs of a
    /// backend's name and a marker of its return. A marker that differs from the backend's previous
    /// one counts as a start at `now`.
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

    /// Returns when this process learnt that operators had returned a backend from maintenance.
    /// `None` if it knows of no return.
    pub fn returned_at(&self, name: &str) -> Option<Time> {
        self.maintenance_ends.get(name).map(|end| end.observed_at)
    }

    /// Returns the least that the clock of the timestamps shows now, in Unix time. `None` before
    /// the first timestamp.
    fn timestamp_clock_lower_bound(&self, now: Time) -> Option<Duration> {
        self.latest_reading
            .map(|reading| reading.timestamp + (now - reading.at))
    }

    /// Derives a start from its timestamp alone, for a backend that was listed before this process
    /// received a list from discovery.
    ///
    /// If this machine's clock has not reached the timestamp, the clock is wrong and not used. If
    /// it has passed the timestamp by more than [`MAX_CLOCK_ERROR`], the backend is certainly at
    /// least as old as the excess.
    fn start_before_this_process(
        &self,
        now: Time,
        wall_clock: Duration,
        timestamp: Duration,
    ) -> BackendStart {
        let age_by_timestamps = self
            .timestamp_clock_lower_bound(now)
            .unwrap_or(timestamp)
            .saturating_sub(timestamp);
        let age_by_wall_clock = wall_clock.checked_sub(timestamp);
        let certain_age = wall_clock.saturating_sub(timestamp + MAX_CLOCK_ERROR);
        let min_age = age_by_timestamps
            .min(age_by_wall_clock.unwrap_or(age_by_timestamps))
            .max(certain_age);
        BackendStart {
            latest: time_of_start(now, min_age),
            likely: age_by_wall_clock.and_then(|age| time_of_start(now, age.max(min_age))),
        }
    }
}

/// Returns when a backend of this age started; `None` for long ago.
fn time_of_start(now: Time, age: Duration) -> Option<Time> {
    (age < MAX_AGE).then(|| Time(now.0.saturating_sub(age.as_nanos() as u64)))
}

#[cfg(test)]
#[path = "start_times_tests.rs"]
mod tests;
