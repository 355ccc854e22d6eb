//! What clients do with their requests, and the trace of a request.

use super::attempts::AttemptRecord;
use super::{Invariant, InvariantChecker, Problem};
use crate::plan::{ClassIndex, NodeIndex};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// What is known of a request.
pub(super) struct RequestRecord {
    /// Position of its class in the plan.
    pub(super) class: ClassIndex,
    /// Position of the node to which it was sent.
    pub(super) node: NodeIndex,
    /// When its client had written its last byte.
    pub(super) sent: Option<Instant>,
    /// How long its client waits.
    pub(super) timeout: Duration,
    /// When its client closed the connection without a response.
    pub(super) client_gone: Option<Instant>,
    pub(super) attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Whether any attempt may have been executed.
    pub(super) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_executed)
    }
}

impl InvariantChecker {
    /// A client begins to write a request.
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
            client_gone: None,
            attempts: Vec::new(),
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// A client has written a request's last byte.
    pub fn request_sent(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent = Some(Instant::now());
        }
    }

    /// A client has closed its connection without a response.
    pub fn client_disconnected(&mut self, id: &str) {
        self.totals.unanswered += 1;
        if let Some(request) = self.requests.get_mut(id) {
            request.client_gone = Some(Instant::now());
        }
    }

    /// Whether a backend has restarted since an attempt of this request reached it.
    pub fn backend_restarted(&self, id: &str) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        request.attempts.iter().any(|attempt| {
            let started = self.backends[attempt.backend.0].started;
            started.is_some_and(|started| started >= attempt.first_byte)
        })
    }

    /// A response that the node had begun to forward ended early, for the backend's or the network's
    /// sake, and the client can tell.
    pub fn response_interrupted(&mut self) {
        self.totals.failed += 1;
    }

    /// A request was not read, or its node was killed: its client may send it again.
    pub fn request_unread(&mut self) {
        self.totals.unanswered += 1;
    }

    /// A request has no response, which nothing that its client did excuses.
    pub fn request_lost(&mut self, id: &str, why: &str) {
        let problem = Problem {
            invariant: Invariant::NoLostRequest,
            description: why.to_owned(),
        };
        self.violated_by_request(&problem, id);
    }

    /// Whether any attempt of a request has reached a backend.
    pub fn was_forwarded(&self, id: &str) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.attempts.is_empty())
    }

    /// What became of a request, as text. Times are from the beginning of the traffic.
    pub(super) fn trace(&self, id: &str) -> String {
        let Some(request) = self.requests.get(id) else {
            return format!("request {id}, which no client sent");
        };
        let class = self.plan.classes[request.class.0].name;
        let mut trace = format!("request {id} ({class}) at node {}", request.node);
        if let Some(sent) = request.sent {
            let (sent, timeout) = (self.trace_time(sent), request.timeout.as_millis());
            let _ = write!(trace, ", sent {sent}, timeout {timeout} ms");
        }
        if let Some(gone) = request.client_gone {
            let _ = write!(trace, ", client gone {}", self.trace_time(gone));
        }
        for attempt in &request.attempts {
            let _ = write!(
                trace,
                ", attempt at backend {} {} (execution: {:?})",
                attempt.backend,
                self.trace_time(attempt.first_byte),
                attempt.execution
            );
        }
        trace
    }

    fn trace_time(&self, at: Instant) -> String {
        let elapsed = at.saturating_duration_since(self.traffic_started);
        format!("{:.0} ms", elapsed.as_secs_f64() * 1e3)
    }
}
