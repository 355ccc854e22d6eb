//! Draws the plan of a seed: its settings, sizes and faults. All of it is drawn before anything
//! starts, so that a seed always runs the same faults.

mod fault;
mod indices;
mod operations;
mod request_class;
mod settings;

pub use fault::{BackendBehavior, Fault, ScheduledFault, SystemCallFault};
pub use indices::{BackendIndex, ClassIndex, NodeIndex};
pub use request_class::{Idempotency, KeyScope, RequestClass};

use fault::{FAULTY_BEHAVIORS, SYSTEM_CALL_FAULTS};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Multiple of its available capacity above which a backend in slow start is overloaded, unless the
/// plan has a crowd.
const USUAL_OVERLOAD_MULTIPLE: f64 = 3.0;
/// Duration of overload after which a backend in slow start fails.
pub const OVERLOAD_DURATION: Duration = Duration::from_secs(1);
/// Number of requests that a backend executes at the same time.
pub const CORES_PER_BACKEND: usize = 2;
/// Names of the zones among which nodes and backends are divided.
pub const ZONE_NAMES: [&str; 2] = ["east", "west"];
/// The steps of the wall clock that a plan draws from, in seconds. Their order decides what a seed
/// draws.
const WALL_CLOCK_STEPS: [i64; 4] = [3600, -3600, 5, -5];

/// Which kinds of faults and operations a plan contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Faults of nodes, backends, discovery and clients.
    #[default]
    Faults,
    /// The same faults and, in addition, upgrades and maintenance by operators. Clients send large
    /// messages, come in surges, and use their connections for as long as these are open.
    Operations,
}

/// The zone and cell of a backend, which decide with which others it deduplicates keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLocation {
    /// Index of its zone in [`ZONE_NAMES`].
    pub zone: usize,
    /// Number of its cell, from 0.
    pub cell: u16,
}

/// What the run of one seed does: its settings, sizes and faults.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed from which the plan was drawn.
    pub seed: u64,
    /// Which kinds of faults and operations the plan contains.
    pub scenario: Scenario,
    /// Number of nodes, each a proxy process of its own.
    pub nodes: usize,
    /// Number of backends, including those that join later.
    pub backends: usize,
    /// Location of each backend, by [`BackendIndex`].
    pub locations: Vec<BackendLocation>,
    /// Request classes, by [`ClassIndex`].
    pub classes: Vec<RequestClass>,
    /// Whether changes of the endpoint list are pushed to nodes; otherwise nodes only poll.
    pub discovery_pushed: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Whether the backends' responses carry load reports; otherwise backends never report load.
    pub load_reports: bool,
    /// Usual rate of client requests at each node, in requests per second.
    pub requests_per_second: f64,
    /// Time in which a core of a backend serves a request.
    pub service_time: Duration,
    /// Grace period after which nodes must not start attempts at a backend, from the moment at
    /// which they were notified of its drain or removal, or confirmed its maintenance.
    pub drain_grace: Duration,
    /// Fraction of its full capacity, from 0 to 1, that a backend has when it starts.
    pub slow_start_initial_capacity: f64,
    /// Time from its start until a backend has its full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its available capacity above which a backend in slow start is overloaded.
    pub overload_multiple: f64,
    /// Time without a request after which a connection to a backend is closed.
    pub idle_timeout: Duration,
    /// How long clients send requests.
    pub traffic_duration: Duration,
    /// The faults, in order of time.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Draws the plan of a seed in [`Scenario::Faults`], with `nodes` nodes.
    ///
    /// The order and number of draws must not change, since a seed names its plan.
    pub fn draw(seed: u64, nodes: usize, traffic_duration: Duration) -> Self {
        let random = &mut SmallRng::seed_from_u64(seed);
        let backends = random.random_range(6..=10);
        let classes = draw_classes(random);
        let mut plan = Plan {
            seed,
            scenario: Scenario::Faults,
            nodes,
            backends,
            locations: (0..backends).map(location).collect(),
            classes,
            discovery_pushed: random.random_bool(0.4),
            hedging_allowed: random.random_bool(0.5),
            load_reports: random.random_bool(0.7),
            requests_per_second: random.random_range(25.0..80.0),
            service_time: draw_milliseconds(random, 15..=40),
            drain_grace: draw_milliseconds(random, 400..=800),
            slow_start_initial_capacity: random.random_range(0.1..0.4),
            slow_start_duration: draw_milliseconds(random, 3000..=6000),
            overload_multiple: USUAL_OVERLOAD_MULTIPLE,
            idle_timeout: draw_milliseconds(random, 800..=4000),
            traffic_duration,
            faults: Vec::new(),
        };
        plan.draw_faults(random);
        plan
    }

    /// Draws one to three bursts of two to four faults. The faults of a burst begin within one
    /// second.
    fn draw_faults(&mut self, random: &mut SmallRng) {
        for _ in 0..random.random_range(1..=3) {
            let burst_start = random.random_range(0.5..self.traffic_duration.as_secs_f64() * 0.6);
            for _ in 0..random.random_range(2..=4) {
                let at = Duration::from_secs_f64(burst_start + random.random_range(0.0..1.0));
                let duration = Duration::from_secs_f64(random.random_range(0.5..3.0));
                let fault = self.draw_fault(random);
                self.faults.push(ScheduledFault {
                    at,
                    duration,
                    fault,
                });
            }
        }
        self.faults.sort_by_key(|fault| fault.at);
    }

    /// Draws a kind of fault and what it affects.
    fn draw_fault(&self, random: &mut SmallRng) -> Fault {
        // Both are drawn for every fault, so that these draws don't depend on the kind of the
        // fault.
        let nodes = draw_indices(random, self.nodes, NodeIndex);
        let backends = draw_indices(random, self.backends / 2, BackendIndex);
        match random.random_range(0..17) {
            0 | 1 => Fault::TerminateNodes(nodes),
            2 => Fault::KillNodes(nodes),
            3 | 4 => Fault::ReloadNodes((0..self.nodes).map(NodeIndex).collect()),
            5 | 6 => Fault::DrainBackends(backends),
            7 => Fault::RemoveBackends(backends),
            8 => Fault::RestartBackends(backends),
            9 => Fault::Misbehave(backends, choose(random, &FAULTY_BEHAVIORS)),
            10 => Fault::DiscoveryDown,
            11 => Fault::DiscoverySilent,
            12 => draw_slow_discovery_or_reset(random),
            13 => Fault::FailSystemCalls(nodes, choose(random, &SYSTEM_CALL_FAULTS)),
            14 => Fault::PauseNodes(nodes),
            15 => Fault::StepWallClock(nodes, choose(random, &WALL_CLOCK_STEPS)),
            _ => draw_client_fault(random),
        }
    }

    /// Returns whether a backend joins during the run and is not listed by discovery until then.
    pub fn joins_later(&self, backend: BackendIndex) -> bool {
        self.faults.iter().any(|scheduled| {
            matches!(&scheduled.fault, Fault::JoinBackends(joining) if joining.contains(&backend))
        })
    }

    /// Returns the longest deadline of the request classes: no client sets a longer timeout.
    pub fn longest_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default()
    }
}

/// Draws the request classes, one for each [`Idempotency`]. All have the same key scope.
fn draw_classes(random: &mut SmallRng) -> Vec<RequestClass> {
    let key_scope = choose(random, &[KeyScope::All, KeyScope::Zone, KeyScope::Cell]);
    let mut draw_class = |name, idempotency| RequestClass {
        name,
        idempotency,
        key_scope,
        key_window: draw_milliseconds(random, 400..=2500),
        deadline: draw_milliseconds(random, 250..=2000),
    };
    vec![
        draw_class("read", Idempotency::Idempotent),
        draw_class("post", Idempotency::Keyed),
        draw_class("pay", Idempotency::NonIdempotent),
    ]
}

/// Draws, with equal probability, slow discovery or a reset of all watches.
fn draw_slow_discovery_or_reset(random: &mut SmallRng) -> Fault {
    if random.random_bool(0.5) {
        Fault::DiscoverySlow(draw_milliseconds(random, 100..=1500))
    } else {
        Fault::ResetWatches
    }
}

/// Draws, with equal probability, impatient clients or malformed peers.
fn draw_client_fault(random: &mut SmallRng) -> Fault {
    if random.random_bool(0.5) {
        Fault::ImpatientClients
    } else {
        Fault::MalformedPeers
    }
}

/// Returns the location of the backend at this index: zones alternate, and a cell has three
/// backends.
fn location(backend: usize) -> BackendLocation {
    BackendLocation {
        zone: backend % ZONE_NAMES.len(),
        cell: (backend / 3) as u16,
    }
}

/// Draws a whole number of milliseconds in `range`.
fn draw_milliseconds(random: &mut SmallRng, range: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Draws one of `choices`, which must not be empty.
fn choose<T: Copy>(random: &mut SmallRng, choices: &[T]) -> T {
    *choices.choose(random).expect("there are choices")
}

/// Draws from one to half (rounded up) of the indices below `count`, in random order.
fn draw_indices<T>(random: &mut SmallRng, count: usize, to_index: impl Fn(usize) -> T) -> Vec<T> {
    let amount = random.random_range(1..=count.div_ceil(2));
    rand::seq::index::sample(random, count, amount)
        .into_iter()
        .map(to_index)
        .collect()
}
