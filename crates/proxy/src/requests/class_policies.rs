//! What the node itself has to know of the classes of requests.

use super::attempts::Attempt;
use super::registry::RequestRecord;
use crate::send_invariants::{self, BackendIdentity, Invariant, PriorAttempt};
use balancer::{ClassId, Idempotency, Settings};
use std::time::Duration;
use tokio::time::Instant;

struct ClassPolicy {
    idempotency: Idempotency,
    latency_objective: Duration,
}

/// The classes' limits on retries, and their latency objectives.
pub struct ClassPolicies {
    /// By [`ClassId`].
    classes: Vec<ClassPolicy>,
    hedging_allowed: bool,
}

impl ClassPolicies {
    /// The policies of the settings' classes.
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

    /// Whether a request that is served now is later than its class's latency objective, without the
    /// extension for heavy requests.
    pub fn is_late(&self, record: &RequestRecord) -> bool {
        self.get(record.class)
            .is_some_and(|class| record.elapsed_since(record.accepted_at) > class.latency_objective)
    }

    /// Checks whether one more attempt of a request is allowed at a backend.
    ///
    /// # Errors
    ///
    /// Returns the invariant that forbids it.
    pub fn may_retry(
        &self,
        record: &RequestRecord,
        backend: BackendIdentity,
    ) -> Result<(), Invariant> {
        let prior_attempts: Vec<PriorAttempt> =
            record.attempts.iter().map(Attempt::as_prior).collect();
        send_invariants::may_retry(
            self.idempotency(record.class),
            self.hedging_allowed,
            backend,
            &prior_attempts,
        )
    }

    /// Until when one more attempt of a request may be sent, if an earlier one may have executed. The
    /// balancer looks at the idempotency window when it decides; connecting takes time after that.
    pub fn retry_until(&self, record: &RequestRecord) -> Option<Instant> {
        let executed = record
            .attempts
            .iter()
            .find(|attempt| attempt.as_prior().may_have_executed())?;
        let window = self.idempotency(record.class).window()?;
        Some(executed.started_at + window)
    }

    fn get(&self, class: ClassId) -> Option<&ClassPolicy> {
        self.classes.get(usize::from(class.0))
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.get(class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }
}
