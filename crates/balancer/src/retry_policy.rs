//! Whether a request may be attempted again, and how many retries the node may send.

use crate::actions::GiveUpReason;
use crate::backend::Backend;
use crate::request::{Attempt, Request};
use crate::settings::{Idempotency, KeyScope, Settings};
use crate::time::Time;

/// Retries that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Most retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Fraction of the typical latency below which too little time is left for a retry.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.5;

/// Limits retries to a fraction of the requests, so that they do not feed an overload.
pub struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> Self {
        RetryBudget {
            retries: MAX_SAVED_RETRIES,
        }
    }

    /// Earns what a new request earns.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry.
    pub fn spend(&mut self) {
        self.retries -= 1.0;
    }

    /// Retries left.
    pub fn retries(&self) -> f64 {
        self.retries
    }

    fn is_exhausted(&self) -> bool {
        self.retries < 1.0
    }
}

/// Why a request whose attempt failed gets no retry, or `None` where it may have one.
/// `typical_latency` is in seconds.
pub fn reason_against_retry(
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

/// Whether the idempotency of a request lets its next attempt go to this backend, given the
/// attempts that may have been executed.
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

fn is_in_scope(scope: KeyScope, earlier: &Attempt, backend: &Backend) -> bool {
    match scope {
        KeyScope::All => true,
        KeyScope::Zone => backend.zone == earlier.zone,
        KeyScope::Cell => backend.cell == earlier.cell,
    }
}

/// Whether a request that is given up may be rejected, which tells the client that it was not
/// executed or may be repeated harmlessly.
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
