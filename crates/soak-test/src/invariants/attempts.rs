//! Attempts as backends see them, with [`Invariant::DeadlinePropagation`] and the part of
//! [`Invariant::NoLostRequest`] that concerns clients that have gone.

use super::requests::RequestRecord;
use super::{Invariant, InvariantChecker, Problem, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::http::Connection;
use crate::plan::BackendIndex;
use std::rc::Weak;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// No attempt starts later than this after its client has closed.
const CLIENT_GONE_LIMIT: Duration = Duration::from_millis(100);
/// The time that a backend is given may be this much longer than what is left.
const TIMEOUT_ALLOWANCE: Duration = Duration::from_millis(150);

/// What is known of whether an attempt was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It was not, and will not be.
    Never,
    /// It may have been, or may be yet.
    Possible,
}

/// An attempt that has reached a backend.
pub struct AttemptArrival {
    /// Position of the backend.
    pub backend: BackendIndex,
    /// When its first byte was seen.
    pub first_byte: Instant,
    /// How long the node waits, by its `X-Timeout`.
    pub timeout: Option<Duration>,
    /// The connection on which it came.
    pub socket: Weak<TcpStream>,
}

/// Names an attempt to the checker.
#[derive(Clone, Debug)]
pub struct AttemptId {
    /// Id of the request.
    pub request: String,
    /// Position among the request's attempts.
    index: usize,
}

/// What is known of an attempt.
pub(super) struct AttemptRecord {
    pub(super) backend: BackendIndex,
    pub(super) first_byte: Instant,
    pub(super) execution: Execution,
    answered: bool,
    socket: Weak<TcpStream>,
}

impl AttemptRecord {
    fn new(arrival: AttemptArrival) -> Self {
        AttemptRecord {
            backend: arrival.backend,
            first_byte: arrival.first_byte,
            execution: Execution::Possible,
            answered: false,
            socket: arrival.socket,
        }
    }

    pub(super) fn may_have_executed(&self) -> bool {
        self.execution == Execution::Possible
    }

    /// Whether the node still waits for its response.
    pub(super) fn is_in_flight(&self) -> bool {
        let socket = self.socket.upgrade();
        !self.answered && socket.is_some_and(|socket| Connection::is_open(&socket))
    }
}

impl InvariantChecker {
    /// An attempt has reached a backend. Returns `None` where no client sent the request.
    pub fn attempt_arrived(
        &mut self,
        request_id: &str,
        arrival: AttemptArrival,
    ) -> Option<AttemptId> {
        self.totals.attempts += 1;
        if !self.requests.contains_key(request_id) {
            let backend = arrival.backend;
            self.violated(
                Invariant::NoInventedMessage,
                format!("backend {backend} got request {request_id}, which no client sent"),
            );
            return None;
        }
        let problems = self.attempt_problems(request_id, &arrival);
        let request = self.requests.get_mut(request_id)?;
        request.attempts.push(AttemptRecord::new(arrival));
        let attempt = AttemptId {
            request: request_id.to_owned(),
            index: request.attempts.len() - 1,
        };
        for problem in problems {
            self.violated_by_request(&problem, request_id);
        }
        Some(attempt)
    }

    /// An attempt has ended at its backend.
    pub fn attempt_ended(&mut self, attempt: &AttemptId, execution: Execution) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let record = &mut request.attempts[attempt.index];
        record.execution = execution;
        record.answered = true;
    }

    /// What is wrong with one more attempt of a request.
    fn attempt_problems(&mut self, request_id: &str, arrival: &AttemptArrival) -> Vec<Problem> {
        let Some(request) = self.requests.get(request_id) else {
            return Vec::new();
        };
        let node = request.node;
        let (backend, first_byte) = (arrival.backend, arrival.first_byte);
        let duplicate = self.duplicate_problem(request, backend, first_byte);
        let client_gone = client_gone_problem(request, first_byte);
        let deadline = deadline_problem(request, arrival);
        let drain = self.drain_problem(node, backend, first_byte);
        let maintenance = self.maintenance_problem(node, backend, first_byte);
        let slow_start = self.slow_start_problem(node, backend, first_byte);
        [
            Problem::of(Invariant::NoDuplicateExecution, duplicate),
            Problem::of(Invariant::NoLostRequest, client_gone),
            Problem::of(Invariant::DeadlinePropagation, deadline),
            Problem::of(Invariant::SafeDrain, drain),
            Problem::of(Invariant::SafeDrain, maintenance),
            Problem::of(Invariant::SlowStart, slow_start),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}

fn client_gone_problem(request: &RequestRecord, first_byte: Instant) -> Option<String> {
    let gone = request.client_gone?;
    let limit = gone + CLIENT_GONE_LIMIT + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
    if first_byte <= limit {
        return None;
    }
    let late = (first_byte - gone).as_millis();
    Some(format!("attempt {late} ms after its client had gone"))
}

fn deadline_problem(request: &RequestRecord, arrival: &AttemptArrival) -> Option<String> {
    let Some(timeout) = arrival.timeout else {
        return Some("an attempt without X-Timeout".to_owned());
    };
    let elapsed = request.sent.map_or(Duration::ZERO, |sent| {
        arrival.first_byte.saturating_duration_since(sent)
    });
    let left = request.timeout.saturating_sub(elapsed);
    if timeout <= left + TIMEOUT_ALLOWANCE + OBSERVER_ALLOWANCE {
        return None;
    }
    let (timeout, left) = (timeout.as_millis(), left.as_millis());
    Some(format!("{timeout} ms given to a backend, {left} ms left"))
}
