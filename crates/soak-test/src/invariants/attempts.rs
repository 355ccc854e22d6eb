//! Records attempts as backends see them and runs the checks of each attempt. Contains the checks
//! of [`Invariant::DeadlinePropagation`], and those of [`Invariant::NoLostRequest`] that concern
//! clients that have disconnected.

use super::requests::RequestRecord;
use super::{Invariant, InvariantChecker, Problem, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::http::Connection;
use crate::plan::BackendIndex;
use std::rc::Weak;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// No attempt may start later than this after its client has closed the connection.
const CLIENT_DISCONNECT_LIMIT: Duration = Duration::from_millis(100);
/// The `X-Timeout` that a backend is given may be this much longer than the time remaining to the
/// request.
const TIMEOUT_ALLOWANCE: Duration = Duration::from_millis(150);

/// Whether a backend may have executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It has not been executed and will not be.
    Never,
    /// It may have been executed, or may still be.
    Possible,
}

/// What a backend reports of an attempt that has reached it.
pub struct AttemptArrival {
    /// The backend that the attempt reached.
    pub backend: BackendIndex,
    /// When the backend saw its first byte.
    pub first_byte_at: Instant,
    /// How long the node waits for the response, by the attempt's `X-Timeout`. `None` if that is
    /// missing or invalid.
    pub timeout: Option<Duration>,
    /// The socket of the connection on which it came, to see whether that is still open.
    pub socket: Weak<TcpStream>,
}

/// Identifies an attempt that was reported to the checker.
#[derive(Clone, Debug)]
pub struct AttemptId {
    /// Id of the request, from its `X-Request-ID`.
    pub request: String,
    /// Index among the request's attempts, in order of arrival.
    index: usize,
}

/// What the checker knows of an attempt that has reached a backend.
pub(super) struct AttemptRecord {
    pub(super) backend: BackendIndex,
    pub(super) first_byte_at: Instant,
    /// [`Execution::Possible`] until the backend reports otherwise.
    pub(super) execution: Execution,
    /// Whether the attempt has ended at its backend, which responds to it.
    answered: bool,
    socket: Weak<TcpStream>,
}

impl AttemptRecord {
    /// Creates the record of an attempt that has just arrived.
    fn new(arrival: AttemptArrival) -> Self {
        AttemptRecord {
            backend: arrival.backend,
            first_byte_at: arrival.first_byte_at,
            execution: Execution::Possible,
            answered: false,
            socket: arrival.socket,
        }
    }

    /// Returns whether the backend may have executed the attempt, or may still do so.
    pub(super) fn may_have_executed(&self) -> bool {
        self.execution == Execution::Possible
    }

    /// Returns whether the node still waits for the response: the attempt has not ended at its
    /// backend and its connection is open.
    pub(super) fn is_in_flight(&self) -> bool {
        let socket = self.socket.upgrade();
        !self.answered && socket.is_some_and(|socket| Connection::is_open(&socket))
    }
}

impl InvariantChecker {
    /// Records that an attempt has reached a backend, and checks the invariants of attempts.
    /// Returns `None`, and records a violation, if no client sent the request.
    pub fn attempt_arrived(
        &mut self,
        request_id: &str,
        arrival: AttemptArrival,
    ) -> Option<AttemptId> {
        self.totals.attempts += 1;
        if !self.requests.contains_key(request_id) {
            let backend = arrival.backend;
            self.record_violation(
                Invariant::NoInventedMessage,
                format!("backend {backend} received request {request_id}, which no client sent"),
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
            self.record_request_violation(&problem, request_id);
        }
        Some(attempt)
    }

    /// Records that an attempt has ended at its backend, which is about to respond, and whether it
    /// may have been executed.
    pub fn attempt_ended(&mut self, attempt: &AttemptId, execution: Execution) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let record = &mut request.attempts[attempt.index];
        record.execution = execution;
        record.answered = true;
    }

    /// Returns what is wrong with one more attempt of a request; empty if it breaks no invariant.
    /// Counts the attempt for the check of slow start.
    fn attempt_problems(&mut self, request_id: &str, arrival: &AttemptArrival) -> Vec<Problem> {
        let Some(request) = self.requests.get(request_id) else {
            return Vec::new();
        };
        let node = request.node;
        let (backend, first_byte_at) = (arrival.backend, arrival.first_byte_at);
        let duplicate = self.duplicate_problem(request, backend, first_byte_at);
        let client_disconnected = client_disconnected_problem(request, first_byte_at);
        let deadline = deadline_problem(request, arrival);
        let drain = self.drain_problem(node, backend, first_byte_at);
        let maintenance = self.maintenance_problem(node, backend, first_byte_at);
        let slow_start = self.slow_start_problem(node, backend, first_byte_at);
        [
            Problem::from_check(Invariant::NoDuplicateExecution, duplicate),
            Problem::from_check(Invariant::NoLostRequest, client_disconnected),
            Problem::from_check(Invariant::DeadlinePropagation, deadline),
            Problem::from_check(Invariant::SafeDrain, drain),
            Problem::from_check(Invariant::SafeDrain, maintenance),
            Problem::from_check(Invariant::SlowStart, slow_start),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}

/// Describes the problem of an attempt that reached a backend too long after its client had
/// disconnected. `None` if the attempt is allowed.
fn client_disconnected_problem(request: &RequestRecord, first_byte_at: Instant) -> Option<String> {
    let disconnected_at = request.client_disconnected_at?;
    let limit = disconnected_at + CLIENT_DISCONNECT_LIMIT + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
    if first_byte_at <= limit {
        return None;
    }
    let elapsed_ms = (first_byte_at - disconnected_at).as_millis();
    Some(format!(
        "attempt sent {elapsed_ms} ms after its client disconnected"
    ))
}

/// Describes the problem of an attempt whose `X-Timeout` is missing, invalid or longer than the
/// time remaining to the request, which counts from the client's last byte. `None` if the attempt
/// is allowed.
fn deadline_problem(request: &RequestRecord, arrival: &AttemptArrival) -> Option<String> {
    let Some(timeout) = arrival.timeout else {
        return Some("attempt without a valid X-Timeout".to_owned());
    };
    let elapsed = request.sent.map_or(Duration::ZERO, |sent| {
        arrival.first_byte_at.saturating_duration_since(sent)
    });
    let remaining = request.timeout.saturating_sub(elapsed);
    if timeout <= remaining + TIMEOUT_ALLOWANCE + OBSERVER_ALLOWANCE {
        return None;
    }
    let (timeout_ms, remaining_ms) = (timeout.as_millis(), remaining.as_millis());
    Some(format!(
        "attempt with an X-Timeout of {timeout_ms} ms, with {remaining_ms} ms remaining"
    ))
}
