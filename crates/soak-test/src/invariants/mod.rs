//! What nodes have to guarantee, as seen from outside them: by clients, backends and discovery
//! together.
//!
//! [`InvariantChecker`] gets a call for each thing that one of them does or sees. Each invariant has a
//! module of its own, which adds its checks to the checker.

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

/// What delays of the observer itself may add to any time.
pub const OBSERVER_ALLOWANCE: Duration = Duration::from_millis(80);
/// Every time limit is this much longer on sockets than in the simulator.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);

/// What a node has to guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets one final response in time, and nothing starts for a client that has gone.
    NoLostRequest,
    /// Nothing is executed more often than its class allows, and a rejection promises no less.
    NoDuplicateExecution,
    /// No attempt starts at backends that drain, are removed or are in maintenance.
    SafeDrain,
    /// No backend in slow start is overloaded.
    SlowStart,
    /// Backends are given no more time than is left.
    DeadlinePropagation,
    /// No request reaches backends that no client sent, and no response clients that no backend made.
    NoInventedMessage,
    /// Peers that send no proper request get an error or a close in time.
    MalformedPeerRejected,
    /// A node starts, is ready in time, and ends only when it is signalled to.
    ProcessLifecycle,
    /// An admin call gets the right answer in time.
    AdminCall,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When, from the beginning of the traffic.
    pub at: Duration,
    /// What happened.
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

/// What is wrong with a request, an attempt or a response.
struct Problem {
    invariant: Invariant,
    description: String,
}

impl Problem {
    /// The problem that a check of this invariant has found, if it has found one.
    fn of(invariant: Invariant, description: Option<String>) -> Option<Self> {
        description.map(|description| Problem {
            invariant,
            description,
        })
    }
}

/// Totals of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with 429 or 503.
    pub rejected: u64,
    /// Requests answered otherwise.
    pub failed: u64,
    /// Attempts that reached backends.
    pub attempts: u64,
    /// Requests whose connection was closed unread, reset with its node, or left by their clients.
    pub unanswered: u64,
}

/// Checks the invariants of one run.
pub struct InvariantChecker {
    plan: Plan,
    traffic_started: Instant,
    requests: HashMap<String, RequestRecord>,
    nodes: Vec<NodeNotifications>,
    backends: Vec<BackendRecord>,
    discovery: DiscoveryTimeline,
    /// When a node confirmed that a backend is in maintenance there.
    maintenance: HashMap<(NodeIndex, BackendIndex), Instant>,
    totals: Totals,
    violations: Vec<Violation>,
    max_observer_lag: Duration,
}

impl InvariantChecker {
    /// The checker of a run that begins now.
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

    /// The traffic begins now.
    pub fn traffic_started(&mut self) {
        self.traffic_started = Instant::now();
    }

    /// Discovery behaves like this from now on.
    pub fn discovery_mode_changed(&mut self, mode: DiscoveryMode) {
        self.discovery.push(Instant::now(), mode);
    }

    /// The observer itself was late by this much.
    pub fn observer_lagged(&mut self, lag: Duration) {
        self.max_observer_lag = self.max_observer_lag.max(lag);
    }

    /// Notes a violated invariant.
    pub fn violated(&mut self, invariant: Invariant, description: String) {
        self.violations.push(Violation {
            invariant,
            at: self.traffic_started.elapsed(),
            description,
        });
    }

    /// Notes a violated invariant at a request, with the request's trace.
    fn violated_by_request(&mut self, problem: &Problem, request_id: &str) {
        let trace = self.trace(request_id);
        let description = format!("{}: {trace}", problem.description);
        self.violated(problem.invariant, description);
    }

    /// What was counted.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// The violated invariants, in order of time.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The longest time by which the observer itself was late.
    pub fn max_observer_lag(&self) -> Duration {
        self.max_observer_lag
    }
}
