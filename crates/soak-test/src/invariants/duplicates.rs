//! Checks [`Invariant::NoDuplicateExecution`](super::Invariant::NoDuplicateExecution) for attempts:
//! a request that may have been executed is sent again only as its class allows. Rejections are
//! checked in [`responses`](super::responses).

use super::attempts::AttemptRecord;
use super::requests::RequestRecord;
use super::{InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::plan::{BackendIndex, Idempotency, KeyScope};
use std::time::Instant;

impl InvariantChecker {
    /// Describes the problem of one more attempt of `request`, which reached `backend` at
    /// `first_byte_at`. `None` if the request's class and the plan's hedging allow it.
    pub(super) fn duplicate_problem(
        &self,
        request: &RequestRecord,
        backend: BackendIndex,
        first_byte_at: Instant,
    ) -> Option<String> {
        let any_in_flight = || request.attempts.iter().any(AttemptRecord::is_in_flight);
        if !self.plan.hedging_allowed && any_in_flight() {
            return Some("attempt sent while another is in flight, without hedging".to_owned());
        }
        let class = &self.plan.classes[request.class.0];
        let earlier = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())?;
        let problem = match class.idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::NonIdempotent => {
                "non-idempotent request sent again although it may have been executed"
            }
            Idempotency::Keyed
                if !self.are_in_same_scope(class.key_scope, earlier.backend, backend) =>
            {
                "keyed request sent again outside the scope of its key"
            }
            Idempotency::Keyed => {
                let window_end = earlier.first_byte_at + class.key_window;
                if first_byte_at <= window_end + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE {
                    return None;
                }
                "keyed request sent again after its key window"
            }
        };
        Some(problem.to_owned())
    }

    /// Returns whether two backends deduplicate each other's idempotency keys under `scope`.
    fn are_in_same_scope(
        &self,
        scope: KeyScope,
        first: BackendIndex,
        second: BackendIndex,
    ) -> bool {
        let (first, second) = (self.plan.locations[first.0], self.plan.locations[second.0]);
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => first.zone == second.zone,
            KeyScope::Cell => first.cell == second.cell,
        }
    }
}
