//! Counters for the node's log, and the limits on log lines about single requests and exchanges.

use crate::send_invariants::InvariantCounts;
use balancer::{AttemptOutcome, ClassId, GiveUpReason};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two log lines with counters.
pub const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of log lines about single requests in one interval, for each reason to give up,
/// so that a flood of one kind does not hide the others. Failed exchanges have the same limit.
const MAX_LINES_PER_REASON: u32 = 10;

/// Counts of events at the node in one interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub connections_accepted: u64,
    /// Responses sent to clients with `Connection: close`.
    pub connection_close_sent: u64,
    /// Requests accepted for forwarding.
    pub requests: u64,
    /// Requests answered with a backend's response.
    pub served: u64,
    /// Requests answered as rejected.
    pub rejected: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Requests closed without a final response, because the client disconnected or its time was
    /// over.
    pub client_disconnected: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts that the backend answered with an error.
    pub server_errors: u64,
    /// Attempts that the backend rejected without executing them.
    pub attempts_rejected: u64,
    /// Attempts that were not answered by their deadline.
    pub timed_out: u64,
    /// Attempts that failed before the backend could execute them: no connection was established,
    /// or it ended before the request was complete.
    pub connect_failed: u64,
    /// Attempts whose connection broke after the request may have been written.
    pub connection_reset: u64,
    /// Attempts that the node did not send, and those whose streamed response was not wanted any
    /// more or not read to the end by the client. Attempts that the balancer cancels are not
    /// counted.
    pub not_sent: u64,
    /// Responses whose streaming to the client began.
    pub streamed: u64,
    /// Streamed responses that ended early.
    pub stream_aborted: u64,
    /// Responses that were not completely written when the node ended their connection, although
    /// all of them had been received.
    pub responses_cut: u64,
    /// Connections to backends that were begun, including those that failed.
    pub backend_connects: u64,
    /// Requests given up without a log line of their own.
    pub unlogged: u64,
}

impl Counters {
    /// Counts the end of an attempt by its outcome. Successes are not counted.
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

    /// Whether no request was accepted, no client connection accepted, no attempt started and no
    /// response cut off.
    fn is_idle(&self) -> bool {
        self.requests + self.connections_accepted + self.attempts + self.responses_cut == 0
    }
}

/// Counts of the requests of one class.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests accepted for forwarding.
    pub requests: u32,
    /// Requests answered with a backend's response.
    pub served: u32,
    /// Requests served later than the class's latency objective.
    pub late: u32,
    /// Requests given up, by reason.
    pub given_up: BTreeMap<GiveUpReason, u32>,
}

/// The node's counters. Each group of counters is reset when it is read.
pub struct Metrics {
    counters: Cell<Counters>,
    classes: RefCell<FxHashMap<ClassId, ClassCounters>>,
    interval_start: Cell<Instant>,
    logged_by_reason: RefCell<FxHashMap<GiveUpReason, u32>>,
    rejected_messages: RefCell<FxHashMap<String, u32>>,
    logged_errors: Cell<u32>,
    /// Counts of actions that invariants have prevented, and of violations.
    pub invariants: InvariantCounts,
}

impl Metrics {
    /// Creates counters that are all zero, and begins their first interval.
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

    /// Updates the counters of the current interval with `change`.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Updates the counters of a class with `change`.
    pub fn count_class(&self, class: ClassId, change: impl FnOnce(&mut ClassCounters)) {
        change(self.classes.borrow_mut().entry(class).or_default());
    }

    /// Returns and resets the counters of all classes with a count, in the order of the settings.
    pub fn take_classes(&self) -> Vec<(ClassId, ClassCounters)> {
        let mut counters: Vec<_> = self.classes.borrow_mut().drain().collect();
        counters.sort_unstable_by_key(|(class, _)| *class);
        counters
    }

    /// Whether one more request that is given up for this reason may have a log line of its own.
    /// Counts the request as logged or unlogged accordingly.
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

    /// Whether one more failed exchange may have a log line of its own. Counts the line, but not an
    /// exchange that is left out.
    pub fn may_log_error(&self) -> bool {
        let logged = self.logged_errors.get();
        self.logged_errors.set(logged.saturating_add(1));
        logged < MAX_LINES_PER_REASON
    }

    /// Counts a client's message or connection that was rejected, by the text of the reason.
    pub fn count_rejected_message(&self, reason: impl Display) {
        *self
            .rejected_messages
            .borrow_mut()
            .entry(reason.to_string())
            .or_default() += 1;
    }

    /// Returns and resets the counts of rejected messages and connections, sorted by reason.
    pub fn take_rejected_messages(&self) -> Vec<(String, u32)> {
        let mut counts: Vec<_> = self.rejected_messages.borrow_mut().drain().collect();
        counts.sort_unstable();
        counts
    }

    /// Returns the counters and the length of their interval, and begins a new interval. Returns
    /// `None` if no request, client connection or attempt began in the interval and no response was
    /// cut off; counts of other events are then dropped.
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
