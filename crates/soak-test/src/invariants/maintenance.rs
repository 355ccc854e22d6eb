//! Records which backends operators have put into maintenance at which node, checks
//! [`Invariant::SafeDrain`] for them, and records the admin calls that failed.

use super::{Invariant, InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::plan::{BackendIndex, NodeIndex};
use std::time::{Duration, Instant};

/// Time within which an admin call must be answered.
pub const ADMIN_CALL_LIMIT: Duration = Duration::from_secs(1);

impl InvariantChecker {
    /// Records that a node has confirmed that a backend is in maintenance there. Only the first
    /// call since the last [`maintenance_ended`](Self::maintenance_ended) counts.
    pub fn maintenance_started(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.maintenance
            .entry((node, backend))
            .or_insert_with(Instant::now);
    }

    /// Records that a node is asked to use a backend again.
    pub fn maintenance_ended(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.maintenance.remove(&(node, backend));
    }

    /// Records a violation of [`Invariant::AdminCall`]: `call` is the path that was called, and
    /// `problem` says what is wrong with the answer.
    pub fn admin_call_failed(&mut self, node: NodeIndex, call: &str, problem: &str) {
        self.record_violation(
            Invariant::AdminCall,
            format!("node {node}: admin call {call}: {problem}"),
        );
    }

    /// Describes the problem of an attempt that reached a backend at `first_byte_at`, longer than
    /// the grace period after the node confirmed that the backend is in maintenance. `None` if the
    /// attempt is allowed.
    pub(super) fn maintenance_problem(
        &self,
        node: NodeIndex,
        backend: BackendIndex,
        first_byte_at: Instant,
    ) -> Option<String> {
        let confirmed = *self.maintenance.get(&(node, backend))?;
        let limit = confirmed + self.plan.drain_grace + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
        if first_byte_at <= limit {
            return None;
        }
        let elapsed_ms = (first_byte_at - confirmed).as_millis();
        Some(format!(
            "attempt sent to backend {backend} {elapsed_ms} ms after its maintenance was confirmed"
        ))
    }
}
