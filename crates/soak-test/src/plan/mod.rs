//! What one seed runs: settings, sizes and faults. All of it is drawn before anything starts, so that a
//! seed runs the same faults again.

mod fault;
mod operations;
mod positions;
mod request_class;
mod settings;

pub use fault::{BackendBehavior, Fault, ScheduledFault, SystemCallFault};
pub use positions::{BackendIndex, ClassIndex, NodeIndex};
pub use request_class::{Idempotency, KeyScope, RequestClass};

use fault::{FAULTY_BEHAVIORS, SYSTEM_CALL_FAULTS};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Multiple of its present capacity above which a backend in slow start is usually overloaded.
const USUAL_OVERLOAD_MULTIPLE: f64 = 3.0;
/// A backend in slow start that is overloaded for this long fails.
pub const OVERLOAD_DURATION: Duration = Duration::from_secs(1);
/// Requests that a backend works on at a time.
pub const CORES_PER_BACKEND: usize = 2;
/// Zones of the cluster.
pub const ZONE_NAMES: [&str; 2] = ["east", "west"];
/// Steps of the wall clock, in seconds.
const WALL_CLOCK_STEPS: [i64; 4] = [3600, -3600, 5, -5];

/// What a plan is made of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Faults of nodes, backends, discovery and clients.
    #[default]
    Faults,
    /// Besides these, what operators do: upgrades and maintenance. Clients send large messages, come
    /// in crowds, and use the connections that they have for as long as these are open.
    Operations,
}

/// Where a backend is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLocation {
    /// Position of its zone in [`ZONE_NAMES`].
    pub zone: usize,
    /// Number of its cell.
    pub cell: u16,
}

/// What one seed runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// What the plan is made of.
    pub scenario: Scenario,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of backends.
    pub backends: usize,
    /// Where each backend is.
    pub locations: Vec<BackendLocation>,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Endpoint lists are pushed, not polled.
    pub discovery_pushed: bool,
    /// Two attempts of one request may be in flight together.
    pub hedging_allowed: bool,
    /// Responses carry load reports.
    pub load_reports: bool,
    /// Requests per second at each node.
    pub requests_per_second: f64,
    /// Time in which a core of a warm backend serves a request.
    pub service_time: Duration,
    /// Time in which nodes have to stop sending to a draining backend.
    pub drain_grace: Duration,
    /// Fraction of its capacity that a backend has when it starts.
    pub slow_start_initial_capacity: f64,
    /// Time from its start until a backend has its full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its present capacity above which a backend in slow start is overloaded.
    pub overload_multiple: f64,
    /// Connections to backends are closed after this time without a request.
    pub idle_timeout: Duration,
    /// How long there is traffic.
    pub traffic_duration: Duration,
    /// What goes wrong, in order of time.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Draws what a seed runs.
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

    /// Draws one to three clusters of faults that begin within the same second.
    fn draw_faults(&mut self, random: &mut SmallRng) {
        for _ in 0..random.random_range(1..=3) {
            let cluster = random.random_range(0.5..self.traffic_duration.as_secs_f64() * 0.6);
            for _ in 0..random.random_range(2..=4) {
                let at = Duration::from_secs_f64(cluster + random.random_range(0.0..1.0));
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

    fn draw_fault(&self, random: &mut SmallRng) -> Fault {
        // Both are drawn for every fault, so that a seed's draws don't depend on its kind.
        let nodes = draw_positions(random, self.nodes, NodeIndex);
        let backends = draw_positions(random, self.backends / 2, BackendIndex);
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

    /// Whether a backend is not listed at first.
    pub fn joins_later(&self, backend: BackendIndex) -> bool {
        self.faults.iter().any(|scheduled| {
            matches!(&scheduled.fault, Fault::JoinBackends(joining) if joining.contains(&backend))
        })
    }

    /// The longest that a client waits.
    pub fn longest_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default()
    }
}

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

fn draw_slow_discovery_or_reset(random: &mut SmallRng) -> Fault {
    if random.random_bool(0.5) {
        Fault::DiscoverySlow(draw_milliseconds(random, 100..=1500))
    } else {
        Fault::ResetWatches
    }
}

fn draw_client_fault(random: &mut SmallRng) -> Fault {
    if random.random_bool(0.5) {
        Fault::ImpatientClients
    } else {
        Fault::MalformedPeers
    }
}

fn location(backend: usize) -> BackendLocation {
    BackendLocation {
        zone: backend % ZONE_NAMES.len(),
        cell: (backend / 3) as u16,
    }
}

fn draw_milliseconds(random: &mut SmallRng, range: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn choose<T: Copy>(random: &mut SmallRng, choices: &[T]) -> T {
    *choices.choose(random).expect("there are choices")
}

/// Up to half of `count` positions, in random order.
fn draw_positions<T>(random: &mut SmallRng, count: usize, position: impl Fn(usize) -> T) -> Vec<T> {
    let amount = random.random_range(1..=count.div_ceil(2));
    rand::seq::index::sample(random, count, amount)
        .into_iter()
        .map(position)
        .collect()
}
