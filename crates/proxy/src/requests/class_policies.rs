//! The settings of request classes that the node itself applies: which retries a class allows, and
//! from which latency on a response counts as late.

use super::attempts::Attempt;
use super::registry::RequestRecord;
use crate::send_invariants::{self, BackendKeyScopes, Invariant, PriorAttempt};
use balancer::{ClassId, Idempotency, Settings};
use std::time::Duration;
use tokio::time::Instant;

struct ClassPolicy {
    idempotency: Idempotency,
    latency_objective: Duration,
}

/// The idempotency and latency objective of each request class, and whether hedging is allowed.
pub struct ClassPolicies {
    /// Policies of all request classes, indexed by [`ClassId`].
    classes: Vec<ClassPolicy>,
    hedging_allowed: bool,
}

impl ClassPolicies {
    /// Copies the policies of all classes from the settings.
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|class| ClassPolicy {
            idempotency: class.idempotency,
            latency_objective: class.latency_objective,
        });
        ClassPolicies {
            classes: classes.collect(),
            hedging_allowed: settings.hedging_allowed,
        }
    }

    /// Whether a response sent now would exceed the latency objective of the request's class. The
    /// objective is not extended for requests with much work, unlike in the balancer. `false` for
    /// an unknown class.
    pub fn is_late(&self, record: &RequestRecord) -> bool {
        self.get(record.class)
            .is_some_and(|class| record.elapsed_since(record.accepted_at) > class.latency_objective)
    }

    /// Checks whether one more attempt of a request is allowed at a backend, given the request's
    /// earlier attempts.
    ///
    /// # Errors
    ///
    /// Returns [`Invariant::Hedging`] or [`Invariant::Idempotency`] if it is not allowed.
    pub fn may_retry(
        &self,
        record: &RequestRecord,
        backend: BackendKeyScopes,
    ) -> Result<(), Invariant> {
        let prior_attempts: Vec<PriorAttempt> = record
            .attempts
            .iter()
            .map(Attempt::to_prior_attempt)
            .collect();
        send_invariants::may_retry(
            self.idempotency(record.class),
            self.hedging_allowed,
            backend,
            &prior_attempts,
        )
    }

    /// Returns until when one more attempt of a request may be sent: the end of the key window,
    /// counted from the start of the first attempt that may have been executed. `None` if there is
    /// no such attempt or the class has no key window.
    ///
    /// The balancer checks the window when it decides on an attempt; connecting takes time after
    /// that.
    pub fn retry_until(&self, record: &RequestRecord) -> Option<Instant> {
        let executed = record
            .attempts
            .iter()
            .find(|attempt| attempt.to_prior_attempt().may_have_executed())?;
        let window = self.idempotency(record.class).window()?;
        Some(executed.started_at + window)
    }

    fn get(&self, class: ClassId) -> Option<&ClassPolicy> {
        self.classes.get(usize::from(class.0))
    }

    /// Returns the idempotency of a class. An unknown class counts as non-idempotent.
    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.get(class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }
}
