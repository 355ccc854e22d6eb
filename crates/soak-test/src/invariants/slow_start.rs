//! Checks [`Invariant::SlowStart`](super::Invariant::SlowStart): no backend in slow start receives
//! more than a multiple of its available capacity from nodes that were notified of its start.

use super::InvariantChecker;
use crate::plan::{BackendIndex, NodeIndex, CORES_PER_BACKEND, OVERLOAD_DURATION};
use std::collections::VecDeque;
use std::time::Instant;

/// Number of allowed requests below which the allowance for random variation is larger.
const SMALL_SAMPLE_SIZE: f64 = 30.0;

/// One attempt at a backend in slow start.
struct Arrival {
    at: Instant,
    /// The node that sent it.
    node: NodeIndex,
}

/// What the checker knows of a backend.
#[derive(Default)]
pub(super) struct BackendRecord {
    /// When it began to drain or was removed. `None` while it has not.
    pub(super) withdrawn: Option<Instant>,
    /// When it last started during the run. `None` if it has run since before the run, at full
    /// capacity.
    pub(super) started: Option<Instant>,
    /// Its attempts during slow start that are no more than [`OVERLOAD_DURATION`] older than the
    /// last one, in order of arrival.
    arrivals: VecDeque<Arrival>,
    /// Whether it was ever overloaded in this run; it is not checked again after that.
    overloaded: bool,
}

impl BackendRecord {
    /// Records an attempt, and forgets those that are too old to count together with it.
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
    /// Records that a backend starts or restarts now, and forgets what was known of its earlier
    /// start.
    pub fn backend_started(&mut self, backend: BackendIndex) {
        let record = &mut self.backends[backend.0];
        record.started = Some(Instant::now());
        record.arrivals.clear();
        for node in &mut self.nodes {
            node.forget_start(backend);
        }
    }

    /// Returns the fraction of its full capacity that a backend has at `now`: it grows linearly
    /// from the plan's initial capacity to 1 over the duration of slow start.
    fn available_capacity(&self, backend: BackendIndex, now: Instant) -> f64 {
        let Some(started) = self.backends[backend.0].started else {
            return 1.0;
        };
        let initial = self.plan.slow_start_initial_capacity;
        let age = (now - started).as_secs_f64() / self.plan.slow_start_duration.as_secs_f64();
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Counts an attempt that reached a backend at `now`, if the backend is in slow start, and
    /// describes the problem if that overloads the backend. `None` also if a third or more of the
    /// attempts came from nodes that had not been notified of the backend's start.
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
        if arrived as f64 <= allowed + random_variation_allowance(allowed) {
            return None;
        }
        record.overloaded = true;
        let from_notified_nodes = record
            .arrivals
            .iter()
            .filter(|arrival| self.nodes[arrival.node.0].was_notified_of_start(backend, arrival.at))
            .count();
        let mostly_notified = from_notified_nodes * 3 > arrived * 2;
        mostly_notified.then(|| {
            format!(
                "backend {backend} in slow start received {arrived} requests within the overload \
                 duration, {allowed:.0} are allowed"
            )
        })
    }
}

/// Returns by how many requests the allowed number may be exceeded by random variation.
fn random_variation_allowance(allowed: f64) -> f64 {
    if allowed < SMALL_SAMPLE_SIZE {
        3.0 * allowed.sqrt() + 3.0
    } else {
        2.0 * allowed.sqrt() + 2.0
    }
}
