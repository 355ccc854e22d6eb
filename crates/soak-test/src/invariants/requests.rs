//! Records requests as their clients see them, and formats the trace of a request for the
//! description of a violation.

use super::attempts::AttemptRecord;
use super::{Invariant, InvariantChecker, Problem};
use crate::plan::{ClassIndex, NodeIndex};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// What the checker knows of a request.
pub(super) struct RequestRecord {
    /// Its class in the plan.
    pub(super) class: ClassIndex,
    /// The node to which it was sent.
    pub(super) node: NodeIndex,
    /// When its client had written its last byte. `None` while it has not.
    pub(super) sent: Option<Instant>,
    /// How long its client waits for the response after the last byte, by its `X-Timeout`.
    pub(super) timeout: Duration,
    /// When its client closed the connection without a response. `None` while it has not.
    pub(super) client_disconnected_at: Option<Instant>,
    /// Its attempts, in the order in which they reached backends.
    pub(super) attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Returns whether any of its attempts may have been executed, or may still be.
    pub(super) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_executed)
    }
}

impl InvariantChecker {
    /// Records that a client begins to write a request, for whose response it waits for `timeout`.
    pub fn request_started(
        &mut self,
        id: &str,
        class: ClassIndex,
        node: NodeIndex,
        timeout: Duration,
    ) {
        self.totals.requests += 1;
        let request = RequestRecord {
            class,
            node,
            sent: None,
            timeout,
            client_disconnected_at: None,
            attempts: Vec::new(),
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Records that a client has written a request's last byte, from which the deadline counts.
    pub fn request_sent(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent = Some(Instant::now());
        }
    }

    /// Records that a client has closed its connection without a response.
    pub fn client_disconnected(&mut self, id: &str) {
        self.totals.unanswered += 1;
        if let Some(request) = self.requests.get_mut(id) {
            request.client_disconnected_at = Some(Instant::now());
        }
    }

    /// Returns whether any backend has restarted since an attempt of this request reached it.
    pub fn backend_restarted(&self, id: &str) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        request.attempts.iter().any(|attempt| {
            let started = self.backends[attempt.backend.0].started;
            started.is_some_and(|started| started >= attempt.first_byte_at)
        })
    }

    /// Records that a response that the node had begun to forward ended early because the backend
    /// or the network failed, which the client can detect. This is no violation.
    pub fn response_interrupted(&mut self) {
        self.totals.failed += 1;
    }

    /// Counts a request as unanswered: it was not read, or its node was killed, so that its client
    /// may send it again. This is no violation.
    pub fn request_unanswered(&mut self) {
        self.totals.unanswered += 1;
    }

    /// Records a violation of [`Invariant::NoLostRequest`]: a request has no complete response, and
    /// nothing that its client did excuses that. `reason` says how the request was lost.
    pub fn request_lost(&mut self, id: &str, reason: &str) {
        let problem = Problem {
            invariant: Invariant::NoLostRequest,
            description: reason.to_owned(),
        };
        self.record_request_violation(&problem, id);
    }

    /// Returns whether any attempt of a request has reached a backend.
    pub fn was_forwarded(&self, id: &str) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.attempts.is_empty())
    }

    /// Formats what happened to a request so far. Times count from the start of the traffic.
    pub(super) fn trace(&self, id: &str) -> String {
        let Some(request) = self.requests.get(id) else {
            return format!("request {id}, which no client sent");
        };
        let class = self.plan.classes[request.class.0].name;
        let mut trace = format!("request {id} ({class}) at node {}", request.node);
        if let Some(sent) = request.sent {
            let (sent, timeout) = (self.trace_time(sent), request.timeout.as_millis());
            let _ = write!(trace, ", sent at {sent}, timeout {timeout} ms");
        }
        if let Some(disconnected_at) = request.client_disconnected_at {
            let _ = write!(
                trace,
                ", client disconnected at {}",
                self.trace_time(disconnected_at)
            );
        }
        for attempt in &request.attempts {
            let _ = write!(
                trace,
                ", attempt reached backend {} at {} (execution: {:?})",
                attempt.backend,
                self.trace_time(attempt.first_byte_at),
                attempt.execution
            );
        }
        trace
    }

    /// Formats a time for a trace, in milliseconds from the start of the traffic (0 for earlier
    /// times).
    fn trace_time(&self, at: Instant) -> String {
        let elapsed = at.saturating_duration_since(self.traffic_started);
        format!("{:.0} ms", elapsed.as_secs_f64() * 1e3)
    }
}
