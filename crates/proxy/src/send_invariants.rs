//! Invariants of the protocol that no decision may break: when an attempt may be sent, a client's
//! connection closed, the process ended.
//!
//! Every path asks immediately before the act, with the state of that moment; nothing here decides
//! what is sensible. What an invariant has prevented is counted, and so are violations: acts that the
//! balancer asked for although no invariant allows them. Builds with debug assertions panic on a
//! violation.

use balancer::{CellId, Idempotency, KeyScope, ZoneId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::time::Duration;
use tokio::time::Instant;

/// Greatest age of the remaining time that an attempt's `X-Timeout` header states, at its first byte.
/// The protocol allows 150 ms, transmission included.
const MAX_STATED_TIMEOUT_AGE: Duration = Duration::from_millis(100);

/// An invariant that can prevent an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// The backend is draining, removed or in maintenance, or its process has been replaced since the
    /// connection was opened.
    Drain,
    /// The client has its response, or has disconnected.
    RequestClosed,
    /// The deadline has passed, or the stated remaining time is out of date.
    Deadline,
    /// An earlier attempt may have executed, and the class allows no retry at this backend.
    Idempotency,
    /// The time is over in which backends recognize the idempotency key.
    IdempotencyWindow,
    /// Another attempt is in flight, and hedging is not allowed.
    Hedging,
    /// The connection has unread bytes or a request in progress.
    ConnectionClose,
    /// Requests are still open.
    ProcessExit,
}

/// The key scopes that a backend belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendIdentity {
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

/// Whether an attempt has executed at its backend, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt has not ended; it may execute at any time.
    InFlight,
    /// The attempt has ended, and may have executed or may still do so.
    Possible,
    /// The attempt has ended, and it is certain that it never executes.
    Never,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The backend it went to.
    pub backend: BackendIdentity,
    /// Whether it has executed there.
    pub execution: Execution,
}

impl PriorAttempt {
    /// Whether it may have executed, or may yet.
    pub fn may_have_executed(self) -> bool {
        self.execution != Execution::Never
    }
}

/// What is known of an attempt immediately before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The backend accepts requests, and its process is the one that was connected to.
    pub backend_accepts: bool,
    /// The client is still waiting for a response.
    pub client_waiting: bool,
    /// The attempt's deadline; `None` while the request's body is incomplete, as its time starts with
    /// the last byte.
    pub deadline: Option<Instant>,
    /// When the remaining time stated to the backend was computed; `None` before that.
    pub timeout_computed_at: Option<Instant>,
    /// End of the idempotency window, for a retry of an attempt that may have executed.
    pub retry_until: Option<Instant>,
}

/// Checks whether an attempt may be sent at this moment, as to what may have changed while it waited
/// for a connection.
///
/// # Errors
///
/// Returns the first invariant that forbids it.
pub fn may_send(now: Instant, facts: &AttemptFacts) -> Result<(), Invariant> {
    if !facts.backend_accepts {
        return Err(Invariant::Drain);
    }
    if !facts.client_waiting {
        return Err(Invariant::RequestClosed);
    }
    let is_outdated = facts
        .timeout_computed_at
        .is_some_and(|computed| now > computed + MAX_STATED_TIMEOUT_AGE);
    if is_outdated || facts.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(Invariant::Deadline);
    }
    if facts.retry_until.is_some_and(|until| now >= until) {
        return Err(Invariant::IdempotencyWindow);
    }
    Ok(())
}

/// Checks whether a class allows one more attempt at a backend, after those that were.
///
/// # Errors
///
/// Returns [`Invariant::Hedging`] or [`Invariant::Idempotency`] if it does not.
pub fn may_retry(
    idempotency: Idempotency,
    hedging_allowed: bool,
    backend: BackendIdentity,
    prior_attempts: &[PriorAttempt],
) -> Result<(), Invariant> {
    let is_in_flight = |attempt: &PriorAttempt| attempt.execution == Execution::InFlight;
    if !hedging_allowed && prior_attempts.iter().any(is_in_flight) {
        return Err(Invariant::Hedging);
    }
    let Some(executed) = prior_attempts
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
        } => executed.backend.zone == backend.zone,
        Idempotency::Keyed {
            scope: KeyScope::Cell,
            ..
        } => executed.backend.cell == backend.cell,
    };
    is_allowed.then_some(()).ok_or(Invariant::Idempotency)
}

/// Checks whether the node may close a client's connection of its own accord.
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

/// Counts by invariant, for the log.
#[derive(Default)]
pub struct InvariantCounts {
    prevented: RefCell<BTreeMap<Invariant, u32>>,
    violations: RefCell<BTreeMap<Invariant, u32>>,
}

impl InvariantCounts {
    /// Counts an act that an invariant has prevented.
    pub fn prevented(&self, invariant: Invariant) {
        *self.prevented.borrow_mut().entry(invariant).or_default() += 1;
    }

    /// Counts an act that was requested, or done, against an invariant.
    pub fn violated(&self, invariant: Invariant) {
        *self.violations.borrow_mut().entry(invariant).or_default() += 1;
    }

    /// Appends the counts to a log line and resets them; counts of zero are left out.
    ///
    /// # Errors
    ///
    /// Never fails: writing to a `String` does not.
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
