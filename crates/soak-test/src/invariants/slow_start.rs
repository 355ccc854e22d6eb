//! [`Invariant::SlowStart`](super::Invariant::SlowStart): no backend in slow start gets more than a
//! multiple of its capacity from nodes that knew of its start.

use super::InvariantChecker;
use crate::plan::{BackendIndex, NodeIndex, CORES_PER_BACKEND, OVERLOAD_DURATION};
use std::collections::VecDeque;
use std::time::Instant;

/// Number of allowed requests below which the allowance for chance is larger.
const FEW_REQUESTS: f64 = 30.0;

/// One attempt at a backend in slow start.
struct Arrival {
    at: Instant,
    node: NodeIndex,
}

/// What is known of a backend.
#[derive(Default)]
pub(super) struct BackendRecord {
    /// When it began to drain or was removed.
    pub(super) taken_out: Option<Instant>,
    /// Its last start during the run.
    pub(super) started: Option<Instant>,
    /// Attempts within [`OVERLOAD_DURATION`], in order of time.
    arrivals: VecDeque<Arrival>,
    overloaded: bool,
}

impl BackendRecord {
    /// Notes an attempt, and forgets those that are too old to count with it.
    fn push_arrival(&mut self, at: Instant, node: NodeIndex) {
        self.arrivals.push_back(Arrival { at, node });
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| at - arrival.at > OVERLOAD_DURATION)
        {
            self.arrivals.pop_front();
        }
    }
}

impl InvariantChecker {
    /// A backend starts again.
    pub fn backend_started(&mut self, backend: BackendIndex) {
        let record = &mut self.backends[backend.0];
        record.started = Some(Instant::now());
        record.arrivals.clear();
        for node in &mut self.nodes {
            node.forget_start(backend);
        }
    }

    /// The fraction of its capacity that a backend has now.
    fn available_capacity(&self, backend: BackendIndex, now: Instant) -> f64 {
        let Some(started) = self.backends[backend.0].started else {
            return 1.0;
        };
        let initial = self.plan.slow_start_initial_capacity;
        let age = (now - started).as_secs_f64() / self.plan.slow_start_duration.as_secs_f64();
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Counts an attempt at a backend in slow start, and says whether it is overloaded by what nodes
    /// sent that knew of its start.
    pub(super) fn slow_start_problem(
        &mut self,
        node: NodeIndex,
        backend: BackendIndex,
        now: Instant,
    ) -> Option<String> {
        let available_capacity = self.available_capacity(backend, now);
        let record = &mut self.backends[backend.0];
        if available_capacity >= 1.0 || record.overloaded {
            return None;
        }
        record.push_arrival(now, node);
        let requests_per_second =
            CORES_PER_BACKEND as f64 / self.plan.service_time.as_secs_f64() * available_capacity;
        let allowed =
            self.plan.overload_multiple * requests_per_second * OVERLOAD_DURATION.as_secs_f64();
        let arrived = record.arrivals.len();
        if arrived as f64 <= allowed + chance_allowance(allowed) {
            return None;
        }
        record.overloaded = true;
        let informed = record
            .arrivals
            .iter()
            .filter(|arrival| self.nodes[arrival.node.0].knew_start(backend, arrival.at))
            .count();
        let mostly_informed = informed * 3 > arrived * 2;
        mostly_informed.then(|| {
            format!("backend {backend} in slow start got {arrived} of {allowed:.0} allowed")
        })
    }
}

/// How many more requests than allowed may come by chance.
fn chance_allowance(allowed: f64) -> f64 {
    if allowed < FEW_REQUESTS {
        3.0 * allowed.sqrt() + 3.0
    } else {
        2.0 * allowed.sqrt() + 2.0
    }
}
