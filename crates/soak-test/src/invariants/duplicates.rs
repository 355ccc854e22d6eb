//! [`Invariant::NoDuplicateExecution`](super::Invariant::NoDuplicateExecution) at attempts: what may
//! have been executed is repeated only as its class allows.

use super::attempts::AttemptRecord;
use super::requests::RequestRecord;
use super::{InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::plan::{BackendIndex, Idempotency, KeyScope};
use std::time::Instant;

impl InvariantChecker {
    /// What is wrong with one more attempt at a backend, if anything is.
    pub(super) fn duplicate_problem(
        &self,
        request: &RequestRecord,
        backend: BackendIndex,
        first_byte: Instant,
    ) -> Option<String> {
        let any_in_flight = || request.attempts.iter().any(AttemptRecord::is_in_flight);
        if !self.plan.hedging_allowed && any_in_flight() {
            return Some("another attempt is in flight".to_owned());
        }
        let class = &self.plan.classes[request.class.0];
        let earlier = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())?;
        let problem = match class.idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::NonIdempotent => {
                "a non-idempotent request is sent again that may have been executed"
            }
            Idempotency::Keyed if !self.in_scope(class.key_scope, earlier.backend, backend) => {
                "a keyed request is sent outside its key's scope"
            }
            Idempotency::Keyed => {
                let window_end = earlier.first_byte + class.key_window;
                if first_byte <= window_end + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE {
                    return None;
                }
                "a keyed request is sent again after its window"
            }
        };
        Some(problem.to_owned())
    }

    /// Whether two backends deduplicate each other's keys.
    fn in_scope(&self, scope: KeyScope, first: BackendIndex, second: BackendIndex) -> bool {
        let (first, second) = (self.plan.locations[first.0], self.plan.locations[second.0]);
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => first.zone == second.zone,
            KeyScope::Cell => first.cell == second.cell,
        }
    }
}
