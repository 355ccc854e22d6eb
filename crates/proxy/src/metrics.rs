//! What the node counts for its log, and how much it says of single requests.

use crate::send_invariants::InvariantCounts;
use balancer::{AttemptOutcome, ClassId, GiveUpReason};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// How often the counters are written.
pub const EVERY: Duration = Duration::from_secs(5);
/// Most requests given up for one reason that are written one by one, in the time between two lines
/// of counters: a flood of one kind must not hide the others.
const MOST_SINGLE: u32 = 10;

/// Counters since the last line of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub accepted: u64,
    /// Answers that told their client to close its connection.
    pub told_to_close: u64,
    /// Requests taken.
    pub requests: u64,
    /// Answered with a server's answer.
    pub served: u64,
    /// Answered as refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Clients that left before their answer.
    pub gone: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Of these: answered with an error ...
    pub errors: u64,
    /// ... turned away unseen ...
    pub turned_away: u64,
    /// ... not answered in time ...
    pub timed_out: u64,
    /// ... without a connection ...
    pub unreachable: u64,
    /// ... on a connection that broke ...
    pub broken: u64,
    /// ... withdrawn, or not sent for the node's own reasons.
    pub unsent: u64,
    /// Answers passed on as they came ...
    pub passed_on: u64,
    /// ... of which so many ended too soon.
    pub cut: u64,
    /// Upstream connections opened.
    pub connects: u64,
    /// Requests given up that were not written one by one.
    pub suppressed: u64,
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn ended(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Success => {}
            AttemptOutcome::ServerError => self.errors += 1,
            AttemptOutcome::Rejected => self.turned_away += 1,
            AttemptOutcome::TimedOut => self.timed_out += 1,
            AttemptOutcome::ConnectFailed => self.unreachable += 1,
            AttemptOutcome::ConnectionReset => self.broken += 1,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => self.unsent += 1,
        }
    }
}

/// How the requests of one class ended since the last line of counters.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests taken.
    pub requests: u32,
    /// Answered with a server's answer ...
    pub served: u32,
    /// ... and of these after the class's aim.
    pub late: u32,
    /// Given up, by what for.
    pub given_up: BTreeMap<GiveUpReason, u32>,
}

/// Counters for the log.
pub struct Metrics {
    counts: Cell<Counters>,
    classes: RefCell<FxHashMap<ClassId, ClassCounters>>,
    since: Cell<Instant>,
    single: RefCell<FxHashMap<GiveUpReason, u32>>,
    rejections: RefCell<FxHashMap<String, u32>>,
    broken: Cell<u32>,
    /// What rules have held back, and what was asked for against them.
    pub rules: InvariantCounts,
}

impl Metrics {
    /// All zero.
    pub fn new() -> Self {
        Metrics {
            counts: Cell::default(),
            classes: RefCell::default(),
            since: Cell::new(Instant::now()),
            single: RefCell::default(),
            rejections: RefCell::default(),
            broken: Cell::new(0),
            rules: InvariantCounts::default(),
        }
    }

    /// Changes a counter.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Changes a class's counters.
    pub fn count_class(&self, class: ClassId, change: impl FnOnce(&mut ClassCounters)) {
        change(self.classes.borrow_mut().entry(class).or_default());
    }

    /// The classes' counters since this was last asked, in the order of the settings.
    pub fn take_classes(&self) -> Vec<(ClassId, ClassCounters)> {
        let mut counts: Vec<_> = self.classes.borrow_mut().drain().collect();
        counts.sort_unstable_by_key(|c| c.0);
        counts
    }

    /// Whether one more request given up may be written by itself; counts it if not.
    pub fn single(&self, reason: GiveUpReason) -> bool {
        let mut single = self.single.borrow_mut();
        let written = single.entry(reason).or_default();
        if *written < MOST_SINGLE {
            *written += 1;
            return true;
        }
        self.count(|c| c.suppressed += 1);
        false
    }

    /// Counts a request or connection of a client that was rejected, by the reason.
    pub fn count_rejection(&self, reason: impl Display) {
        *self
            .rejections
            .borrow_mut()
            .entry(reason.to_string())
            .or_default() += 1;
    }

    /// The number of rejections by reason since the last call, sorted by reason.
    pub fn take_rejections(&self) -> Vec<(String, u32)> {
        let mut counts: Vec<_> = self.rejections.borrow_mut().drain().collect();
        counts.sort_unstable();
        counts
    }

    /// Whether one more broken answer may be written by itself.
    pub fn single_broken(&self) -> bool {
        self.broken.replace(self.broken.get().saturating_add(1)) < MOST_SINGLE
    }

    /// The counters and their time, which start again from zero. None: nothing happened.
    pub fn take(&self) -> Option<(Counters, Duration)> {
        self.single.borrow_mut().clear();
        self.broken.set(0);
        let time = self.since.replace(Instant::now()).elapsed();
        let counts = self.counts.take();
        (counts.requests + counts.accepted + counts.attempts > 0).then_some((counts, time))
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
