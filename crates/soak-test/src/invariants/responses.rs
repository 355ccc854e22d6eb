//! Final responses: they come in time, successes are made by a backend, and rejections promise a
//! harmless retry only where that holds.

use super::requests::RequestRecord;
use super::{Invariant, InvariantChecker, Problem, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::http::Message;
use crate::plan::{Idempotency, KeyScope};
use std::time::{Duration, Instant};

/// Larger bodies are streamed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// A final response comes no later than this after its deadline.
pub const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);

impl InvariantChecker {
    /// A client has its final response.
    pub fn response_received(&mut self, id: &str, status: u16, response: &Message) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let problems = [
            late_problem(request, status, response),
            Problem::of(
                Invariant::NoInventedMessage,
                invention_problem(id, status, &response.body),
            ),
            Problem::of(
                Invariant::NoDuplicateExecution,
                self.rejection_problem(request, status),
            ),
        ];
        for problem in problems.into_iter().flatten() {
            self.violated_by_request(&problem, id);
        }
        match status {
            200 => self.totals.served += 1,
            429 | 503 => self.totals.rejected += 1,
            _ => self.totals.failed += 1,
        }
    }

    /// A response of this many bytes differs from what its backend sent.
    pub fn response_altered(&mut self, id: &str, bytes: usize, expected_bytes: usize) {
        let problem = Problem {
            invariant: Invariant::NoInventedMessage,
            description: format!("a response of {bytes} bytes, of at least {expected_bytes}"),
        };
        self.violated_by_request(&problem, id);
    }

    fn rejection_problem(&self, request: &RequestRecord, status: u16) -> Option<String> {
        let is_rejection = matches!(status, 429 | 503);
        (is_rejection && !self.may_be_rejected(request))
            .then(|| "rejected although it may have been executed".to_owned())
    }

    /// Whether a rejection's promise holds, that a retry is harmless.
    fn may_be_rejected(&self, request: &RequestRecord) -> bool {
        let class = &self.plan.classes[request.class.0];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => class.key_scope == KeyScope::All || !request.may_have_executed(),
            Idempotency::NonIdempotent => !request.may_have_executed(),
        }
    }
}

fn invention_problem(id: &str, status: u16, body: &[u8]) -> Option<String> {
    let made_by_backend = body.starts_with(format!("{id} ").as_bytes());
    (status == 200 && !made_by_backend)
        .then(|| "served with what no backend made for it".to_owned())
}

/// Of a response that is too large to be buffered only the first bytes are timed.
fn late_problem(request: &RequestRecord, status: u16, response: &Message) -> Option<Problem> {
    let deadline = request.sent? + request.timeout;
    let limit = deadline + RESPONSE_ALLOWANCE + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
    let came_at = if response.body.len() > MAX_BUFFERED_BYTES {
        response.first_byte
    } else {
        Instant::now()
    };
    (came_at > limit).then(|| Problem {
        invariant: Invariant::NoLostRequest,
        description: format!("the response {status} came too late"),
    })
}
