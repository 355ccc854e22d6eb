//! Checks final responses: they come in time, the body of a successful one was sent by a backend,
//! and a rejection promises that a retry is harmless only if it is.

use super::requests::RequestRecord;
use super::{Invariant, InvariantChecker, Problem, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::http::Message;
use crate::plan::{Idempotency, KeyScope};
use std::time::{Duration, Instant};

/// Largest response body, in bytes, that a node buffers; larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Time after the request's deadline by which the final response must have come.
pub const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);

impl InvariantChecker {
    /// Records that a client has received its final response, and checks the invariants of
    /// responses.
    pub fn response_received(&mut self, id: &str, status: u16, response: &Message) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let problems = [
            late_response_problem(request, status, response),
            Problem::from_check(
                Invariant::NoInventedMessage,
                invented_response_problem(id, status, &response.body),
            ),
            Problem::from_check(
                Invariant::NoDuplicateExecution,
                self.rejection_problem(request, status),
            ),
        ];
        for problem in problems.into_iter().flatten() {
            self.record_request_violation(&problem, id);
        }
        match status {
            200 => self.totals.served += 1,
            429 | 503 => self.totals.rejected += 1,
            _ => self.totals.failed += 1,
        }
    }

    /// Records a violation of [`Invariant::NoInventedMessage`]: a response body of `bytes` bytes
    /// differs from what the backend sent, which was at least `expected_bytes` long.
    pub fn response_altered(&mut self, id: &str, bytes: usize, expected_bytes: usize) {
        let problem = Problem {
            invariant: Invariant::NoInventedMessage,
            description: format!(
                "altered response body of {bytes} bytes, expected at least {expected_bytes}"
            ),
        };
        self.record_request_violation(&problem, id);
    }

    /// Describes the problem of a rejection (429 or 503) of a request for which a retry may not be
    /// harmless. `None` for any other response.
    fn rejection_problem(&self, request: &RequestRecord, status: u16) -> Option<String> {
        let is_rejection = matches!(status, 429 | 503);
        (is_rejection && !self.is_retry_harmless(request))
            .then(|| "rejected although it may have been executed".to_owned())
    }

    /// Returns whether the promise of a rejection holds: that it is harmless to send the request
    /// again. After a possible execution this holds for a keyed request only if every backend
    /// deduplicates its key, and for a non-idempotent request never.
    fn is_retry_harmless(&self, request: &RequestRecord) -> bool {
        let class = &self.plan.classes[request.class.0];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => class.key_scope == KeyScope::All || !request.may_have_executed(),
            Idempotency::NonIdempotent => !request.may_have_executed(),
        }
    }
}

/// Describes the problem of a 200 response whose body does not begin with the request's id, as the
/// bodies of backends do. `None` for any other response.
fn invented_response_problem(id: &str, status: u16, body: &[u8]) -> Option<String> {
    let made_by_backend = body.starts_with(format!("{id} ").as_bytes());
    (status == 200 && !made_by_backend)
        .then(|| "response 200 with a body that no backend sent for this request".to_owned())
}

/// Returns the problem of a response that came too late after the request's deadline. `None` if it
/// came in time. A response that is too large to be buffered counts as come with its first byte,
/// any other with its last.
fn late_response_problem(
    request: &RequestRecord,
    status: u16,
    response: &Message,
) -> Option<Problem> {
    let deadline = request.sent? + request.timeout;
    let limit = deadline + RESPONSE_ALLOWANCE + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
    let came_at = if response.body.len() > MAX_BUFFERED_BYTES {
        response.first_byte_at
    } else {
        Instant::now()
    };
    (came_at > limit).then(|| Problem {
        invariant: Invariant::NoLostRequest,
        description: format!("response {status} came too late"),
    })
}
