//! Protocol invariants that no decision may break: when an attempt may be sent, when a client
//! connection may be closed, and when the process may exit.
//!
//! Each code path runs the check immediately before the action, with the state at that moment. The
//! checks don't decide whether an action is useful, only whether it is allowed. Actions that an
//! invariant has prevented are counted, and so are violations: actions that the balancer requested
//! although an invariant forbids them. Builds with debug assertions panic on a violation.

use balancer::{CellId, Idempotency, KeyScope, ZoneId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum age of the remaining time stated in an attempt's `X-Timeout` header when the first byte
/// of the attempt is written. The protocol allows 150 ms including transmission.
const MAX_STATED_TIMEOUT_AGE: Duration = Duration::from_millis(100);

/// An invariant, named after what it protects. Each variant says when it prevents an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Prevents an attempt if the backend is draining, removed or in maintenance, or if its process
    /// has been replaced since the connection was opened.
    Drain,
    /// Prevents an attempt if the client has its response or has disconnected.
    RequestClosed,
    /// Prevents an attempt if its deadline has passed or the stated remaining time is out of date.
    Deadline,
    /// Prevents an attempt if an earlier one may have been executed and the class does not allow a
    /// retry at this backend.
    Idempotency,
    /// Prevents a retry after the time for which backends remember the idempotency key.
    IdempotencyWindow,
    /// Prevents an attempt if another one is in flight and hedging is not allowed.
    Hedging,
    /// Prevents closing a client connection that has unread bytes or a request in progress.
    ConnectionClose,
    /// Prevents the exit of the process while requests are open.
    ProcessExit,
}

/// The key scopes that a backend belongs to, besides the scope of all backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendKeyScopes {
    /// Zone of the backend.
    pub zone: ZoneId,
    /// Cell of the backend.
    pub cell: CellId,
}

/// Whether a backend has executed an attempt, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt has not ended; it may be executed at any time.
    InFlight,
    /// The attempt has ended; it may have been executed or may still be.
    Possible,
    /// The attempt has ended; it is certain that it was not and will not be executed.
    Never,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Key scopes of the backend that the attempt was sent to.
    pub backend: BackendKeyScopes,
    /// Whether the backend has executed the attempt.
    pub execution: Execution,
}

impl PriorAttempt {
    /// Whether the attempt may have been executed or may still be.
    pub fn may_have_executed(self) -> bool {
        self.execution != Execution::Never
    }
}

/// The conditions for sending an attempt, as they are immediately before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// Whether the backend accepts requests, and its process is the one that was connected to.
    pub backend_accepts: bool,
    /// Whether the client still waits for a response.
    pub client_waiting: bool,
    /// Deadline of the attempt; `None` if the request's body is still being received, since the
    /// attempt's time then starts with the last byte of the body.
    pub deadline: Option<Instant>,
    /// When the remaining time stated to the backend was computed; `None` before that, and whenever
    /// there is no deadline.
    pub timeout_computed_at: Option<Instant>,
    /// End of the key window, for a retry after an attempt that may have been executed; `None` if
    /// no window limits the attempt.
    pub retry_until: Option<Instant>,
}

/// Checks whether an attempt may be sent at the time `now`. Covers the conditions that may have
/// changed while the attempt waited for a connection.
///
/// # Errors
///
/// Returns the first invariant that forbids it.
pub fn may_send(now: Instant, conditions: &SendConditions) -> Result<(), Invariant> {
    if !conditions.backend_accepts {
        return Err(Invariant::Drain);
    }
    if !conditions.client_waiting {
        return Err(Invariant::RequestClosed);
    }
    let is_outdated = conditions
        .timeout_computed_at
        .is_some_and(|computed_at| now > computed_at + MAX_STATED_TIMEOUT_AGE);
    if is_outdated || conditions.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(Invariant::Deadline);
    }
    if conditions.retry_until.is_some_and(|until| now >= until) {
        return Err(Invariant::IdempotencyWindow);
    }
    Ok(())
}

/// Checks whether a request may have one more attempt at a backend, given its earlier attempts.
///
/// # Errors
///
/// Returns [`Invariant::Hedging`] if an attempt is in flight and hedging is not allowed, and
/// [`Invariant::Idempotency`] if an attempt may have been executed and the class does not allow
/// a retry at this backend.
pub fn may_retry(
    idempotency: Idempotency,
    hedging_allowed: bool,
    backend: BackendKeyScopes,
    prior_attempts: &[PriorAttempt],
) -> Result<(), Invariant> {
    let is_in_flight = |attempt: &PriorAttempt| attempt.execution == Execution::InFlight;
    if !hedging_allowed && prior_attempts.iter().any(is_in_flight) {
        return Err(Invariant::Hedging);
    }
    let Some(maybe_executed) = prior_attempts
        .iter()
        .find(|attempt| attempt.may_have_executed())
    else {
        return Ok(());
    };
    let is_allowed = match idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: KeyScope::All,
            ..
        } => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed {
            scope: KeyScope::Zone,
            ..
        } => maybe_executed.backend.zone == backend.zone,
        Idempotency::Keyed {
            scope: KeyScope::Cell,
            ..
        } => maybe_executed.backend.cell == backend.cell,
    };
    is_allowed.then_some(()).ok_or(Invariant::Idempotency)
}

/// Checks whether the node may close a client connection on its own initiative.
///
/// # Errors
///
/// Returns [`Invariant::ConnectionClose`] if a request is in progress or bytes are unread.
pub fn may_close(request_in_progress: bool, has_unread_bytes: bool) -> Result<(), Invariant> {
    if request_in_progress || has_unread_bytes {
        Err(Invariant::ConnectionClose)
    } else {
        Ok(())
    }
}

/// Checks whether the process may exit.
///
/// # Errors
///
/// Returns [`Invariant::ProcessExit`] if requests are open.
pub fn may_exit(open_requests: usize) -> Result<(), Invariant> {
    match open_requests {
        0 => Ok(()),
        _ => Err(Invariant::ProcessExit),
    }
}

/// Counts of prevented actions and of violations by invariant, for the log.
#[derive(Default)]
pub struct InvariantCounts {
    prevented: RefCell<BTreeMap<Invariant, u32>>,
    violations: RefCell<BTreeMap<Invariant, u32>>,
}

impl InvariantCounts {
    /// Counts an action that an invariant has prevented.
    pub fn prevented(&self, invariant: Invariant) {
        *self.prevented.borrow_mut().entry(invariant).or_default() += 1;
    }

    /// Counts an action that was requested, or taken, although an invariant forbids it.
    pub fn violated(&self, invariant: Invariant) {
        *self.violations.borrow_mut().entry(invariant).or_default() += 1;
    }

    /// Appends the counts to a log line and resets them. Counts of zero are left out.
    ///
    /// # Errors
    ///
    /// Returns no error in practice, since writing to a `String` cannot fail.
    pub fn write_to(&self, line: &mut String) -> fmt::Result {
        for (key, counts) in [
            ("prevented", &self.prevented),
            ("violations", &self.violations),
        ] {
            for (invariant, count) in std::mem::take(&mut *counts.borrow_mut()) {
                write!(line, " {key}_{invariant:?}={count}")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "send_invariants_tests.rs"]
mod tests;
