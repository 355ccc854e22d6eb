//! Tests of the attempts that all nodes together send to backends that are warming up.
//!
//! No node sees the decisions of the others, yet the attempts of all have to stay within the limit
//! that the settings give. The tests distribute arrivals over the nodes, with one balancer for
//! each, and count attempts and rejections. Backends are not simulated, except that each attempt
//! takes a fixed time and a fixed fraction is rejected.

mod common;

use balancer::*;
use common::{at, endpoint, endpoint_list, handle, ms, request, settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

/// Requests per second that a warm backend can serve; its inverse is the time that each attempt
/// takes.
const BACKEND_RATE: f64 = 20.0;
/// When most backends are replaced, in milliseconds from the start of a run.
const REPLACED_AT_MS: u64 = 2000;
/// Time in milliseconds after the replacement within which all nodes are notified of it, each at a
/// random moment.
const NOTIFIED_WITHIN_MS: u64 = 1000;
/// Duration of a run in milliseconds.
const RUN_DURATION_MS: u64 = 5500;
/// Fraction of the attempts that backends reject, drawn at random.
const REJECTED_FRACTION: f64 = 0.03;

/// A `SplitMix64` generator: the same state gives the same numbers in each run.
struct TestRandom(u64);

impl TestRandom {
    /// Returns the next number, uniform in [0, 1).
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Which backends there are in a run, and what the nodes know of their starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackendSetup {
    /// All are warm at the start. Nine in ten are replaced by new ones at [`REPLACED_AT_MS`].
    Replaced,
    /// None is replaced. Each has probably been running for long, but may have started as late as
    /// the nodes.
    ProbablyWarm,
}

/// The parameters of one run.
#[derive(Clone, Copy)]
struct Scenario {
    /// Whether backends are replaced.
    backend_setup: BackendSetup,
    /// Number of nodes, which all send to the same backends.
    nodes: u32,
    /// Number of backends that are listed at any one time.
    backends: u32,
    /// How load reports reach the nodes, if at all.
    load_reporting: LoadReporting,
    /// Rate of the arrivals as a fraction of the rate that all backends together serve when warm.
    offered_load: f64,
    /// Seeds the arrivals and, with the number of the node, each balancer.
    seed: u64,
}

impl Scenario {
    /// Returns the settings of every node.
    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.nodes = self.nodes;
        settings.classes.truncate(1);
        settings.load_reporting = self.load_reporting;
        settings.throughput_reported = false;
        settings.protocol_limits.slow_start_initial_capacity = 0.3;
        settings.protocol_limits.slow_start_duration = ms(8000);
        settings
    }

    /// Returns the number of backends that are not replaced.
    fn retained(&self) -> u32 {
        (self.backends / 10).max(1)
    }

    /// Returns the list of all backends before any is replaced.
    fn first_list(&self) -> Event {
        let started_at = match self.backend_setup {
            BackendSetup::Replaced => None,
            BackendSetup::ProbablyWarm => Some(at(0)),
        };
        let endpoints = (0..self.backends).map(|id| Endpoint {
            likely_started_at: None,
            ..endpoint(id, EndpointState::Active, started_at)
        });
        endpoint_list(ListUpdate::Snapshot, endpoints.collect())
    }

    /// Returns the list of the backends that are not replaced and of the new ones.
    fn replaced_list(&self) -> Event {
        let retained = (0..self.retained()).map(|id| endpoint(id, EndpointState::Active, None));
        let started_at = Some(at(REPLACED_AT_MS));
        let new = (self.backends..2 * self.backends - self.retained())
            .map(|id| endpoint(id, EndpointState::Active, started_at));
        endpoint_list(ListUpdate::Snapshot, retained.chain(new).collect())
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scenario {
            backend_setup,
            nodes,
            backends,
            load_reporting,
            offered_load,
            seed,
        } = self;
        write!(
            formatter,
            "{backend_setup:?}, {load_reporting:?}, {nodes} nodes, {backends} backends, offered load {offered_load}, seed {seed}"
        )
    }
}

/// One node of a run.
struct Node {
    balancer: Balancer,
    /// Fraction of all arrivals that this node receives.
    traffic_fraction: f64,
    /// When it is notified of the new backends, in milliseconds from the start of the run.
    notified_at: u64,
    /// Whether it has been notified; true from the start if no backends are replaced.
    is_notified: bool,
}

/// The end of an attempt. The order is by time first, so that the earliest is the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    /// Milliseconds from the start of the run.
    time: u64,
    /// Position of the node that made the attempt.
    node: usize,
    request: RequestId,
    /// Number of the attempt within the request, counted from 0.
    attempt: u32,
    backend: BackendId,
}

/// An event for one node.
struct NodeEvent {
    /// Milliseconds from the start of the run.
    time: u64,
    /// Position of the node.
    node: usize,
    event: Event,
}

/// The state of a run: the nodes, the attempts in flight and what has been counted.
struct NodeGroup {
    scenario: Scenario,
    random: TestRandom,
    nodes: Vec<Node>,
    /// When attempts started at each backend, in milliseconds from the start of the run.
    attempt_times: BTreeMap<BackendId, Vec<u64>>,
    /// The ends of the attempts in flight, the earliest first.
    attempt_ends: BinaryHeap<Reverse<AttemptEnd>>,
    /// Number of requests that arrived after the time within which all nodes are notified of the
    /// new backends; if no backends are replaced, of all requests.
    arrived: u32,
    /// Number of those requests that were rejected on arrival.
    rejected: u32,
}

impl NodeGroup {
    /// Creates the nodes of a run, each with the first list, its part of the traffic and the moment
    /// at which it is notified.
    fn new(scenario: Scenario) -> Self {
        let Scenario {
            nodes,
            backends,
            seed,
            ..
        } = scenario;
        let run_seed = seed << 32 | u64::from(nodes) << 16 | u64::from(backends);
        let mut random = TestRandom(run_seed);
        // Some nodes receive several times the mean traffic.
        let weights: Vec<f64> = (0..nodes)
            .map(|_| 0.3 + 3.0 * random.uniform().powi(3))
            .collect();
        let sum: f64 = weights.iter().sum();
        let nodes = (0..).zip(weights).map(|(number, weight): (u64, f64)| {
            let delay = random.uniform() * NOTIFIED_WITHIN_MS as f64;
            let seed = seed * 1000 + number;
            let balancer = Balancer::new(scenario.settings(), seed, at(0));
            let mut balancer = balancer.expect("valid settings");
            handle(&mut balancer, at(0), scenario.first_list());
            Node {
                balancer,
                traffic_fraction: weight / sum,
                notified_at: REPLACED_AT_MS + delay as u64,
                is_notified: scenario.backend_setup == BackendSetup::ProbablyWarm,
            }
        });
        let nodes = nodes.collect();
        NodeGroup {
            scenario,
            random,
            nodes,
            attempt_times: BTreeMap::new(),
            attempt_ends: BinaryHeap::new(),
            arrived: 0,
            rejected: 0,
        }
    }

    /// Feeds Poisson arrivals, and the ends of the attempts that are due before each, until the run
    /// is over.
    fn run(&mut self) {
        let rate = self.scenario.offered_load * BACKEND_RATE * f64::from(self.scenario.backends);
        let mut now = 0.0;
        for id in 0.. {
            now -= (1.0 - self.random.uniform()).ln() * 1000.0 / rate;
            let time = now as u64;
            if time >= RUN_DURATION_MS {
                break;
            }
            let node = self.draw_node();
            let mut events = self.take_attempt_ends(time);
            events.push(NodeEvent {
                time,
                node,
                event: Event::RequestArrived(request(id, 0)),
            });
            for event in events {
                self.feed(event);
            }
        }
    }

    /// Draws the node of the next arrival by the nodes' fractions of the traffic.
    fn draw_node(&mut self) -> usize {
        let mut point = self.random.uniform();
        for (number, node) in self.nodes.iter().enumerate() {
            if point < node.traffic_fraction {
                return number;
            }
            point -= node.traffic_fraction;
        }
        self.nodes.len() - 1
    }

    /// Removes the ends of attempts that are due by `time`, in milliseconds, and returns their
    /// events in the order of time. Whether the backend rejected an attempt is drawn here.
    fn take_attempt_ends(&mut self, time: u64) -> Vec<NodeEvent> {
        let mut events = vec![];
        while let Some(&Reverse(end)) = self.attempt_ends.peek() {
            if end.time > time {
                break;
            }
            self.attempt_ends.pop();
            let is_rejected = self.random.uniform() < REJECTED_FRACTION;
            events.push(NodeEvent {
                time: end.time,
                node: end.node,
                event: Event::AttemptEnded(self.result_of(&end, is_rejected)),
            });
        }
        events
    }

    /// Returns the result of an attempt: a rejection or a success.
    fn result_of(&self, end: &AttemptEnd, is_rejected: bool) -> AttemptResult {
        let has_reports = self.scenario.load_reporting != LoadReporting::Absent;
        AttemptResult {
            request: end.request,
            attempt: end.attempt,
            backend: end.backend,
            outcome: if is_rejected {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Success
            },
            latency: Duration::from_secs_f64(1.0 / BACKEND_RATE),
            request_closed: !is_rejected,
            load_report: has_reports.then(|| LoadReport {
                utilization: Some(self.scenario.offered_load.min(1.0)),
                queue_depth: Some(0.0),
                ..LoadReport::default()
            }),
        }
    }

    /// Passes an event to its node, after the replaced list if that is due, and records the
    /// attempts and rejections that follow.
    fn feed(&mut self, NodeEvent { time, node, event }: NodeEvent) {
        let number = node;
        let node = &mut self.nodes[number];
        if !node.is_notified && time >= node.notified_at {
            node.is_notified = true;
            handle(&mut node.balancer, at(time), self.scenario.replaced_list());
        }
        let is_arrival = matches!(event, Event::RequestArrived(_));
        let attempt = match &event {
            Event::AttemptEnded(result) => result.attempt + 1,
            _ => 0,
        };
        let counted_from = match self.scenario.backend_setup {
            BackendSetup::Replaced => REPLACED_AT_MS + NOTIFIED_WITHIN_MS,
            BackendSetup::ProbablyWarm => 0,
        };
        let is_counted = is_arrival && time >= counted_from;
        self.arrived += u32::from(is_counted);
        for action in handle(&mut node.balancer, at(time), event) {
            match action {
                Action::StartAttempt {
                    request, backend, ..
                } => {
                    self.attempt_times.entry(backend).or_default().push(time);
                    self.attempt_ends.push(Reverse(AttemptEnd {
                        time: time + (1000.0 / BACKEND_RATE) as u64,
                        node: number,
                        request,
                        attempt,
                        backend,
                    }));
                }
                Action::Reject { .. } if is_counted => self.rejected += 1,
                _ => {}
            }
        }
    }

    /// Returns the fraction of the counted arrivals that were rejected on arrival.
    fn rejected_fraction(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.arrived)
    }

    /// Returns the window at a new backend with the largest [`excess`](Window::excess); windows
    /// begin at each attempt.
    fn worst_window(&self) -> Window {
        let limits = self.scenario.settings().protocol_limits;
        let duration = limits.overload_duration.as_millis() as u64;
        let new_backends = self
            .attempt_times
            .range(BackendId(self.scenario.backends)..);
        let windows = new_backends.flat_map(|(&backend, times)| {
            let limits = &limits;
            times.iter().enumerate().map(move |(position, &from)| {
                let is_within = |time: &&u64| **time < from + duration;
                Window {
                    backend,
                    from,
                    attempts: times[position..].iter().take_while(is_within).count(),
                    limit: attempts_allowed(limits, from),
                }
            })
        });
        windows
            .max_by(|one, other| one.excess().total_cmp(&other.excess()))
            .expect("attempts at new backends")
    }
}

/// Returns the number of attempts that a new backend can take without being overloaded in the
/// overload duration that begins at `from`, in milliseconds from the start of the run.
fn attempts_allowed(limits: &ProtocolLimits, from: u64) -> f64 {
    let slow_start = limits.slow_start_duration.as_millis() as f64;
    let age = (from - REPLACED_AT_MS) as f64 / slow_start;
    let initial = limits.slow_start_initial_capacity;
    let available_capacity = (initial + (1.0 - initial) * age).min(1.0);
    let duration = limits.overload_duration.as_secs_f64();
    limits.overload_multiple * available_capacity * BACKEND_RATE * duration
}

/// The attempts that all nodes start at a new backend within one overload duration.
struct Window {
    backend: BackendId,
    /// Its start, in milliseconds from the start of the run.
    from: u64,
    /// Number of attempts that all nodes start at the backend within the window.
    attempts: usize,
    /// Number of attempts that the backend can take without being overloaded.
    limit: f64,
}

impl Window {
    /// Returns the number of attempts beyond the limit plus an allowance for chance: two standard
    /// deviations of a Poisson count with the limit as its mean, plus 2.
    fn excess(&self) -> f64 {
        self.attempts as f64 - (self.limit + 2.0 * self.limit.sqrt() + 2.0)
    }
}

impl fmt::Display for Window {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Window {
            backend,
            from,
            attempts,
            limit,
        } = self;
        write!(
            formatter,
            "backend {backend}: {attempts} attempts from {from} ms on, {limit:.1} allowed"
        )
    }
}

/// The tested sizes: nodes, backends, and the number of seeds with which each size is run.
const SIZES: [(u32, u32, u64); 6] = [
    (1, 20, 3),
    (20, 60, 3),
    (20, 200, 1),
    (30, 60, 3),
    (30, 200, 1),
    (300, 180, 1),
];

/// Nodes that start beside backends that are probably warm reject less than 10 % of the requests on
/// arrival, also where each node receives few. Some rejections are expected: backends reject a few
/// attempts, and the nodes shed a few requests in response.
#[test]
fn nodes_that_start_beside_probably_warm_backends_shed_little() {
    const MAX_REJECTED_FRACTION: f64 = 0.1;
    for load_reporting in [LoadReporting::Absent, LoadReporting::WithResponses] {
        for (nodes, backends, seeds) in SIZES {
            for seed in 0..seeds {
                let scenario = Scenario {
                    backend_setup: BackendSetup::ProbablyWarm,
                    nodes,
                    backends,
                    load_reporting,
                    offered_load: 0.7,
                    seed,
                };
                let mut node_group = NodeGroup::new(scenario);
                node_group.run();
                let rejected = node_group.rejected_fraction();
                println!("{scenario}: {rejected:.3} rejected");
                assert!(rejected < MAX_REJECTED_FRACTION, "{scenario}: {rejected}");
            }
        }
    }
}

/// All nodes together keep within a warming backend's limit up to chance, below and above the
/// backends' full capacity, with and without load reports.
#[test]
fn all_nodes_together_stay_within_the_limit_of_warming_backends_up_to_chance() {
    for load_reporting in [LoadReporting::Absent, LoadReporting::WithResponses] {
        for (nodes, backends, seeds) in SIZES {
            for (seed, offered_load) in (0..seeds).flat_map(|seed| [(seed, 0.7), (seed, 1.2)]) {
                let scenario = Scenario {
                    backend_setup: BackendSetup::Replaced,
                    nodes,
                    backends,
                    load_reporting,
                    offered_load,
                    seed,
                };
                let mut node_group = NodeGroup::new(scenario);
                node_group.run();
                let worst = node_group.worst_window();
                let rejected = node_group.rejected_fraction();
                println!("{scenario}: {worst}, {rejected:.3} rejected");
                assert!(worst.excess() <= 0.0, "{scenario}: {worst}");
            }
        }
    }
}
