//! When servers started, on the process's own clock.
//!
//! Lists tell it by wall-clock stamps, and a wall clock may be stepped, here or elsewhere, by
//! seconds or by hours. What the process knows for sure is when it first heard of a start. So a
//! stamp that is new or has changed, whichever way, is a start at that moment. Only of servers that
//! the process finds already there when it begins do the stamps have to tell the age, and then the
//! least that they allow: a server that is taken for younger than it is gets less for a while, one
//! that is taken for older is pushed over.

use balancer::Time;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A start longer ago than this is not worth remembering.
const LONG_AGO: Duration = Duration::from_secs(12 * 3600);
/// So many servers that no list names any more are remembered, beside as many as are listed.
const MOST_UNLISTED: usize = 64;

/// A moment at which the clock of the stamps had come so far, at least.
#[derive(Clone, Copy)]
struct Reference {
    at: Time,
    stamp: Duration,
}

struct Known {
    /// As listed; zero for long ago.
    stamp: Duration,
    started: Option<Time>,
}

/// When an operator's call put a server back into use.
struct Returned {
    /// Tells one call from the next.
    marker: u64,
    heard: Time,
}

/// See the module's own words.
#[derive(Default)]
pub struct StartTimes {
    known: FxHashMap<String, Known>,
    returned: FxHashMap<String, Returned>,
    reference: Option<Reference>,
    /// A list has come from discovery itself: whatever is new from now on has started since.
    following: bool,
}

impl StartTimes {
    /// Takes in the stamps of a list before its servers are asked for. They tell how far the clock
    /// has come by which servers are stamped.
    pub fn hear(&mut self, now: Time, stamps: impl Iterator<Item = Duration>) {
        let Some(latest) = stamps.max().filter(|stamp| !stamp.is_zero()) else {
            return;
        };
        if self.stamp_clock(now).is_none_or(|least| latest > least) {
            self.reference = Some(Reference {
                at: now,
                stamp: latest,
            });
        }
    }

    /// When a listed server started; None for long ago. `wall` is this machine's own wall clock.
    pub fn started(
        &mut self,
        now: Time,
        wall: Duration,
        name: &str,
        stamp: Duration,
    ) -> Option<Time> {
        let by_stamp = match self.known.get(name) {
            // A stamp that is left out from some time on tells of no start.
            Some(known) if known.stamp == stamp || stamp.is_zero() => known.started,
            _ => {
                let started = match (stamp.is_zero(), self.following) {
                    (true, _) => None,
                    (false, true) => Some(now),
                    (false, false) => self.least_age(now, wall, stamp),
                };
                self.known.insert(name.to_owned(), Known { stamp, started });
                started
            }
        };
        by_stamp.max(self.returned.get(name).map(|returned| returned.heard))
    }

    /// A list has been taken in that came from discovery itself, with so many servers now listed.
    pub fn followed(&mut self, listed: usize, is_listed: impl Fn(&str) -> bool) {
        self.following = true;
        if self.known.len() > 2 * listed + MOST_UNLISTED {
            self.known.retain(|name, _| is_listed(name));
        }
    }

    /// Takes in which servers operators have put back into use. A marker not heard before is a
    /// start at this moment.
    pub fn hear_returned<'a>(
        &mut self,
        now: Time,
        markers: impl Iterator<Item = (&'a String, &'a u64)>,
    ) {
        for (name, &marker) in markers {
            if self
                .returned
                .get(name)
                .is_none_or(|returned| returned.marker != marker)
            {
                self.returned
                    .insert(name.clone(), Returned { marker, heard: now });
            }
        }
    }

    /// When this process heard that a server was put back into use.
    pub fn returned(&self, name: &str) -> Option<Time> {
        self.returned.get(name).map(|returned| returned.heard)
    }

    /// The least that the clock of the stamps shows now.
    fn stamp_clock(&self, now: Time) -> Option<Duration> {
        self.reference
            .map(|reference| reference.stamp + (now - reference.at))
    }

    /// A start by a stamp that was there before this process followed the list: as late as any
    /// clock allows. A stamp that this machine's clock has not reached says that this clock can't
    /// be believed.
    fn least_age(&self, now: Time, wall: Duration, stamp: Duration) -> Option<Time> {
        let by_stamps = self.stamp_clock(now).unwrap_or(stamp).saturating_sub(stamp);
        let by_wall = wall.checked_sub(stamp).unwrap_or(by_stamps);
        let age = by_stamps.min(by_wall);
        (age < LONG_AGO).then(|| Time(now.0.saturating_sub(age.as_nanos() as u64)))
    }
}

#[cfg(test)]
#[path = "start_times_tests.rs"]
mod tests;
