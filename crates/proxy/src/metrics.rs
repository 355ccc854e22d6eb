//! Counters for the node's log, and the limit on log lines about single requests.

use crate::send_invariants::InvariantCounts;
use balancer::{AttemptOutcome, ClassId, GiveUpReason};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two log lines of counters.
pub const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Lines about single requests in one interval, for each reason to give up: a flood of one kind must
/// not hide the others.
const MAX_LINES_PER_REASON: u32 = 10;

/// Counters of one interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub connections_accepted: u64,
    /// Responses with `Connection: close`.
    pub connection_close_sent: u64,
    /// Requests accepted.
    pub requests: u64,
    /// Requests answered with a backend's response.
    pub served: u64,
    /// Requests answered as rejected.
    pub rejected: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Requests whose client disconnected before its response.
    pub client_disconnected: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts answered with an error.
    pub server_errors: u64,
    /// Attempts rejected without being executed.
    pub attempts_rejected: u64,
    /// Attempts not answered in time.
    pub timed_out: u64,
    /// Attempts without a connection.
    pub connect_failed: u64,
    /// Attempts whose connection broke.
    pub connection_reset: u64,
    /// Attempts cancelled, or not sent for the node's own reasons.
    pub not_sent: u64,
    /// Responses streamed to their clients.
    pub streamed: u64,
    /// Streamed responses that ended early.
    pub stream_aborted: u64,
    /// Connections to backends opened.
    pub backend_connects: u64,
    /// Requests given up without a log line of their own.
    pub unlogged: u64,
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn count_attempt_end(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Success => {}
            AttemptOutcome::ServerError => self.server_errors += 1,
            AttemptOutcome::Rejected => self.attempts_rejected += 1,
            AttemptOutcome::TimedOut => self.timed_out += 1,
            AttemptOutcome::ConnectFailed => self.connect_failed += 1,
            AttemptOutcome::ConnectionReset => self.connection_reset += 1,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => self.not_sent += 1,
        }
    }

    fn is_idle(&self) -> bool {
        self.requests + self.connections_accepted + self.attempts == 0
    }
}

/// Counters of one class of requests.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests accepted.
    pub requests: u32,
    /// Requests answered with a backend's response.
    pub served: u32,
    /// Requests served later than the class's latency objective.
    pub late: u32,
    /// Requests given up, by reason.
    pub given_up: BTreeMap<GiveUpReason, u32>,
}

/// The node's counters. Reading a group of them resets it.
pub struct Metrics {
    counters: Cell<Counters>,
    classes: RefCell<FxHashMap<ClassId, ClassCounters>>,
    interval_start: Cell<Instant>,
    logged_by_reason: RefCell<FxHashMap<GiveUpReason, u32>>,
    rejected_messages: RefCell<FxHashMap<String, u32>>,
    logged_errors: Cell<u32>,
    /// What invariants have prevented, and what was requested against them.
    pub invariants: InvariantCounts,
}

impl Metrics {
    /// Creates counters of zero.
    pub fn new() -> Self {
        Metrics {
            counters: Cell::default(),
            classes: RefCell::default(),
            interval_start: Cell::new(Instant::now()),
            logged_by_reason: RefCell::default(),
            rejected_messages: RefCell::default(),
            logged_errors: Cell::new(0),
            invariants: InvariantCounts::default(),
        }
    }

    /// Changes the counters.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Changes the counters of a class.
    pub fn count_class(&self, class: ClassId, change: impl FnOnce(&mut ClassCounters)) {
        change(self.classes.borrow_mut().entry(class).or_default());
    }

    /// Reads and resets the classes' counters, in the order of the settings.
    pub fn take_classes(&self) -> Vec<(ClassId, ClassCounters)> {
        let mut counters: Vec<_> = self.classes.borrow_mut().drain().collect();
        counters.sort_unstable_by_key(|(class, _)| *class);
        counters
    }

    /// Whether one more request given up for this reason may have a log line of its own; counts it as
    /// unlogged if not.
    pub fn may_log_request(&self, reason: GiveUpReason) -> bool {
        let mut logged_by_reason = self.logged_by_reason.borrow_mut();
        let logged = logged_by_reason.entry(reason).or_default();
        if *logged < MAX_LINES_PER_REASON {
            *logged += 1;
            return true;
        }
        self.count(|c| c.unlogged += 1);
        false
    }

    /// Whether one more failed exchange may have a log line of its own.
    pub fn may_log_error(&self) -> bool {
        let logged = self.logged_errors.get();
        self.logged_errors.set(logged.saturating_add(1));
        logged < MAX_LINES_PER_REASON
    }

    /// Counts a client's message or connection that was rejected.
    pub fn count_rejected_message(&self, reason: impl Display) {
        *self
            .rejected_messages
            .borrow_mut()
            .entry(reason.to_string())
            .or_default() += 1;
    }

    /// Reads and resets the counts of rejected messages by reason, sorted.
    pub fn take_rejected_messages(&self) -> Vec<(String, u32)> {
        let mut counts: Vec<_> = self.rejected_messages.borrow_mut().drain().collect();
        counts.sort_unstable();
        counts
    }

    /// Reads the counters with the length of their interval, and starts a new one. Returns `None` if
    /// nothing happened.
    pub fn take(&self) -> Option<(Counters, Duration)> {
        self.logged_by_reason.borrow_mut().clear();
        self.logged_errors.set(0);
        let interval = self.interval_start.replace(Instant::now()).elapsed();
        let counters = self.counters.take();
        (!counters.is_idle()).then_some((counters, interval))
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
