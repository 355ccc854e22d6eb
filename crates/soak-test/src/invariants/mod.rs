//! Checks the invariants of nodes from the outside: by what clients, backends, discovery and
//! operators do and see.
//!
//! Each of them calls [`InvariantChecker`] for every event that it causes or observes. The checks
//! are divided among the submodules, each of which adds an `impl` block to the checker.

mod attempts;
mod discovery_timeline;
mod drain;
mod duplicates;
mod maintenance;
mod requests;
mod responses;
mod slow_start;

pub use attempts::{AttemptArrival, AttemptId, Execution};
pub use maintenance::ADMIN_CALL_LIMIT;
pub use responses::RESPONSE_ALLOWANCE;

use crate::discovery_mode::DiscoveryMode;
use crate::plan::{BackendIndex, NodeIndex, Plan};
use discovery_timeline::DiscoveryTimeline;
use drain::NodeNotifications;
use requests::RequestRecord;
use slow_start::BackendRecord;
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Added to every time limit: the delay that the soak test itself, as the observer, may add to a
/// measured time.
pub const OBSERVER_ALLOWANCE: Duration = Duration::from_millis(80);
/// Added to time limits, which are this much longer on sockets than in the simulator.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);

/// A guarantee that every node must keep under all faults of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets one final response in time, and no attempt starts for a client that has
    /// disconnected.
    NoLostRequest,
    /// No request may be executed more often than its class allows, or have two attempts in flight
    /// without hedging. A request is rejected (429 or 503) only if its client may send it again
    /// without exceeding what its class allows.
    NoDuplicateExecution,
    /// No attempt starts at a backend that drains, is removed or is in maintenance, later than the
    /// grace period after the node was notified of that or confirmed the maintenance.
    SafeDrain,
    /// No backend in slow start is overloaded by nodes that were notified of its start.
    SlowStart,
    /// Each attempt carries an `X-Timeout`, of no more than the time remaining to the request.
    DeadlinePropagation,
    /// No request reaches a backend unless a client sent it, and no successful response reaches a
    /// client unless a backend sent it. Bodies arrive unaltered.
    NoInventedMessage,
    /// A peer that sends a malformed or incomplete request gets an error response or a closed
    /// connection in time.
    MalformedPeerRejected,
    /// A node's process starts, is ready in time, and exits only when it is signalled to. At the
    /// end of the run it exits in time.
    ProcessLifecycle,
    /// An admin call gets the right answer in time: any error other than 404 (the backend is not
    /// listed) only if the operator state could not be stored.
    AdminCall,
}

/// One violation of an invariant, as it is printed in the run's report.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// When the violation was noticed, from the start of the traffic; before the traffic, from the
    /// start of the run.
    pub at: Duration,
    /// What happened, with the trace of the request if it concerns one.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.3} s: {}",
            self.invariant,
            self.at.as_secs_f64(),
            self.description
        )
    }
}

/// A violation that a check has found in a request, an attempt or a response, not yet recorded.
struct Problem {
    invariant: Invariant,
    description: String,
}

impl Problem {
    /// Turns the result of a check of `invariant` into a problem. `None` if the check found
    /// nothing.
    fn from_check(invariant: Invariant, description: Option<String>) -> Option<Self> {
        description.map(|description| Problem {
            invariant,
            description,
        })
    }
}

/// Counts of requests and attempts over one run, for its report. A request that is reported as lost
/// counts in `requests` alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Requests that clients began to send.
    pub requests: u64,
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with 429 or 503.
    pub rejected: u64,
    /// Requests answered with any other status, or with a response that was interrupted.
    pub failed: u64,
    /// Attempts that reached backends, including any whose request no client sent.
    pub attempts: u64,
    /// Requests that the node left unread, whose node was killed, or whose client disconnected
    /// before the response.
    pub unanswered: u64,
}

/// Checks the invariants of one run: records what clients, backends, discovery and operators
/// report, and collects the violations.
pub struct InvariantChecker {
    plan: Plan,
    traffic_started: Instant,
    requests: HashMap<String, RequestRecord>,
    nodes: Vec<NodeNotifications>,
    backends: Vec<BackendRecord>,
    discovery: DiscoveryTimeline,
    /// When a node confirmed that it has put a backend into maintenance; holds only backends that
    /// are in maintenance.
    maintenance: HashMap<(NodeIndex, BackendIndex), Instant>,
    totals: Totals,
    violations: Vec<Violation>,
    max_observer_lag: Duration,
}

impl InvariantChecker {
    /// Creates the checker of a run of `plan` that starts now. Until
    /// [`traffic_started`](Self::traffic_started) is called, times count from this moment.
    pub fn new(plan: &Plan) -> Self {
        let now = Instant::now();
        InvariantChecker {
            plan: plan.clone(),
            traffic_started: now,
            requests: HashMap::new(),
            nodes: vec![NodeNotifications::new(now); plan.nodes],
            backends: (0..plan.backends)
                .map(|_| BackendRecord::default())
                .collect(),
            discovery: DiscoveryTimeline::new(now),
            maintenance: HashMap::new(),
            totals: Totals::default(),
            violations: Vec::new(),
            max_observer_lag: Duration::ZERO,
        }
    }

    /// Records that the traffic starts now. The times of violations and traces count from this
    /// moment.
    pub fn traffic_started(&mut self) {
        self.traffic_started = Instant::now();
    }

    /// Records that discovery behaves as `mode` says from now on.
    pub fn discovery_mode_changed(&mut self, mode: DiscoveryMode) {
        self.discovery.push(Instant::now(), mode);
    }

    /// Records that the soak test itself, as the observer, was late by `lag`. Only the maximum is
    /// kept.
    pub fn observer_lagged(&mut self, lag: Duration) {
        self.max_observer_lag = self.max_observer_lag.max(lag);
    }

    /// Records a violation of `invariant` that is noticed now.
    pub fn record_violation(&mut self, invariant: Invariant, description: String) {
        self.violations.push(Violation {
            invariant,
            at: self.traffic_started.elapsed(),
            description,
        });
    }

    /// Records a violation that concerns a request, and appends the request's trace to its
    /// description.
    fn record_request_violation(&mut self, problem: &Problem, request_id: &str) {
        let trace = self.trace(request_id);
        let description = format!("{}: {trace}", problem.description);
        self.record_violation(problem.invariant, description);
    }

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the violations so far, in the order in which they were noticed.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the longest time by which the observer itself was late. The run proves nothing if it
    /// is long.
    pub fn max_observer_lag(&self) -> Duration {
        self.max_observer_lag
    }
}
