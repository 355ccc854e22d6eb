//! Backends that operators have taken out of use at a node, and the admin calls that do so.

use super::{Invariant, InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::plan::{BackendIndex, NodeIndex};
use std::time::{Duration, Instant};

/// An admin call is answered within this time.
pub const ADMIN_CALL_LIMIT: Duration = Duration::from_secs(1);

impl InvariantChecker {
    /// A node has confirmed that a backend is in maintenance there.
    pub fn maintenance_started(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.maintenance
            .entry((node, backend))
            .or_insert_with(Instant::now);
    }

    /// A node is asked to use a backend again.
    pub fn maintenance_ended(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.maintenance.remove(&(node, backend));
    }

    /// An admin call was not answered as it has to be.
    pub fn admin_call_failed(&mut self, node: NodeIndex, call: &str, problem: &str) {
        self.violated(
            Invariant::AdminCall,
            format!("node {node}: {call}: {problem}"),
        );
    }

    /// What is wrong with an attempt that began at `first_byte`, if the backend is in maintenance.
    pub(super) fn maintenance_problem(
        &self,
        node: NodeIndex,
        backend: BackendIndex,
        first_byte: Instant,
    ) -> Option<String> {
        let confirmed = *self.maintenance.get(&(node, backend))?;
        let limit = confirmed + self.plan.drain_grace + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
        if first_byte <= limit {
            return None;
        }
        let late = (first_byte - confirmed).as_millis();
        Some(format!(
            "sent to backend {backend}, {late} ms after its maintenance was confirmed"
        ))
    }
}
