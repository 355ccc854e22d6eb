//! Decides whether a request may be attempted again and at which backends, and limits the retries
//! that the node sends.

use crate::actions::GiveUpReason;
use crate::backend::Backend;
use crate::request::{Attempt, Request};
use crate::settings::{Idempotency, KeyScope, Settings};
use crate::time::Time;

/// Retries that each arriving request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Upper bound of the retries that the retry budget holds.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Shortest time that must be left for a retry, as a fraction of the typical latency.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.5;

/// Limits this node's retries to a fraction of its requests, so that they do not make an overload
/// worse.
pub struct RetryBudget {
    /// Retries left, at most [`MAX_SAVED_RETRIES`].
    retries: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        RetryBudget {
            retries: MAX_SAVED_RETRIES,
        }
    }

    /// Adds the retries that an arriving request earns, up to the budget's upper bound.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget.
    pub fn spend(&mut self) {
        self.retries -= 1.0;
    }

    /// Returns the number of retries left; fractions of a retry add up.
    pub fn retries(&self) -> f64 {
        self.retries
    }

    fn is_exhausted(&self) -> bool {
        self.retries < 1.0
    }
}

/// Returns the reason why a request whose attempt failed gets no retry, or `None` if it may be
/// retried.
///
/// The request must have enough time left until its latency objective and be within its deadline,
/// it must have attempts left, and the budget must hold at least one whole retry. The first of
/// these that fails is the reason. `typical_latency` is in seconds.
pub fn retry_denial_reason(
    now: Time,
    request: &Request,
    settings: &Settings,
    budget: &RetryBudget,
    typical_latency: f64,
) -> Option<GiveUpReason> {
    let class = settings.class(request.class);
    let elapsed = (now - request.arrived_at).as_secs_f64();
    let time_left = class.objective_seconds(request.work) - elapsed;
    if time_left < MIN_TIME_LEFT_LATENCIES * typical_latency || request.deadline <= now {
        return Some(GiveUpReason::InsufficientTime);
    }
    if request.attempts.len() as u32 >= settings.max_attempts {
        return Some(GiveUpReason::AttemptsExhausted);
    }
    budget
        .is_exhausted()
        .then_some(GiveUpReason::RetryBudgetExhausted)
}

/// Whether the idempotency of a request allows its next attempt to go to this backend, given the
/// earlier attempts that may have been executed. If there are none, any backend is allowed. The
/// window and the scope of an idempotency key count from the first of them.
pub fn may_execute_at(
    now: Time,
    request: &Request,
    idempotency: Idempotency,
    backend: &Backend,
) -> bool {
    let Some(earlier) = request.first_possible_execution() else {
        return true;
    };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            now - earlier.started_at < window && is_in_scope(scope, earlier, backend)
        }
    }
}

/// Whether this backend deduplicates requests with the key of an earlier attempt.
fn is_in_scope(scope: KeyScope, earlier: &Attempt, backend: &Backend) -> bool {
    match scope {
        KeyScope::All => true,
        KeyScope::Zone => backend.zone == earlier.zone,
        KeyScope::Cell => backend.cell == earlier.cell,
    }
}

/// Whether a request that is given up may be answered by a rejection, which tells the client that
/// the request was not executed or may be repeated harmlessly.
pub fn may_reject(request: &Request, idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: KeyScope::All,
            ..
        } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
            request.first_possible_execution().is_none()
        }
    }
}
