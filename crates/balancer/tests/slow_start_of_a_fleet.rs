//! What a fleet of nodes together sends to warming backends.
//!
//! No node knows of the others; what they send together has to stay within what the settings allow.
//! The test steps balancers through one fleet's arrivals and counts; it simulates no backend beyond
//! a fixed rate.

mod common;

use balancer::*;
use common::{at, endpoint, endpoint_list, handle, ms, request, settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

/// Requests per second that a warm backend can do.
const BACKEND_RATE: f64 = 20.0;
/// When most backends are replaced, in milliseconds.
const REPLACED_AT: u64 = 2000;
/// Milliseconds within which the nodes are notified of that, one after the other.
const NOTIFIED_WITHIN: u64 = 1000;
/// Milliseconds that a run takes.
const END: u64 = 5500;
/// Fraction of the attempts that backends reject.
const REJECTED_FRACTION: f64 = 0.03;

/// Random numbers for a test: the same in each run.
struct TestRandom(u64);

impl TestRandom {
    /// Uniform in [0, 1).
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What is known of the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Backends {
    /// All are warm; nine in ten are replaced at one moment.
    Replaced,
    /// All are probably warm when the nodes start, and stay.
    ProbablyWarm,
}

/// One run of a fleet.
#[derive(Clone, Copy)]
struct Scenario {
    known: Backends,
    nodes: u32,
    backends: u32,
    load_reporting: LoadReporting,
    /// Fraction of what all backends could do warm that arrives.
    utilization: f64,
    seed: u64,
}

impl Scenario {
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

    /// Backends that are not replaced.
    fn staying(&self) -> u32 {
        (self.backends / 10).max(1)
    }

    /// All backends before any is replaced.
    fn first_list(&self) -> Event {
        let started_at = match self.known {
            Backends::Replaced => None,
            Backends::ProbablyWarm => Some(at(0)),
        };
        let endpoints = (0..self.backends).map(|id| Endpoint {
            likely_started_at: None,
            ..endpoint(id, EndpointState::Active, started_at)
        });
        endpoint_list(ListUpdate::Snapshot, endpoints.collect())
    }

    /// Those that stay, and new ones in the place of the others.
    fn replaced_list(&self) -> Event {
        let staying = (0..self.staying()).map(|id| endpoint(id, EndpointState::Active, None));
        let started_at = Some(at(REPLACED_AT));
        let new = (self.backends..2 * self.backends - self.staying())
            .map(|id| endpoint(id, EndpointState::Active, started_at));
        endpoint_list(ListUpdate::Snapshot, staying.chain(new).collect())
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scenario {
            known,
            nodes,
            backends,
            load_reporting,
            utilization,
            seed,
        } = self;
        write!(
            formatter,
            "{known:?}, {load_reporting:?}, {nodes} nodes, {backends} backends, {utilization} busy, seed {seed}"
        )
    }
}

struct Node {
    balancer: Balancer,
    /// Fraction of the arrivals that come here.
    traffic_fraction: f64,
    /// When it is notified of the new backends, in milliseconds.
    notified_at: u64,
    is_notified: bool,
}

/// The end of an attempt; the earliest is the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    /// Milliseconds.
    time: u64,
    node: usize,
    request: RequestId,
    attempt: u32,
    backend: BackendId,
}

/// An event at a node, in milliseconds.
struct NodeEvent {
    time: u64,
    node: usize,
    event: Event,
}

/// A fleet in the course of a run.
struct Fleet {
    scenario: Scenario,
    random: TestRandom,
    nodes: Vec<Node>,
    /// Times of the attempts at each backend, in milliseconds.
    attempts: BTreeMap<BackendId, Vec<u64>>,
    ends: BinaryHeap<Reverse<AttemptEnd>>,
    /// Requests that arrive once all nodes know of the new backends, if there are any.
    arrived: u32,
    /// Those of them that are rejected on arrival.
    rejected: u32,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let Scenario {
            nodes,
            backends,
            seed,
            ..
        } = scenario;
        let seed_of_run = seed << 32 | u64::from(nodes) << 16 | u64::from(backends);
        let mut random = TestRandom(seed_of_run);
        // Some nodes see several times the mean.
        let weights: Vec<f64> = (0..nodes)
            .map(|_| 0.3 + 3.0 * random.uniform().powi(3))
            .collect();
        let sum: f64 = weights.iter().sum();
        let nodes = (0..).zip(weights).map(|(number, weight): (u64, f64)| {
            let delay = random.uniform() * NOTIFIED_WITHIN as f64;
            let seed = seed * 1000 + number;
            let balancer = Balancer::new(scenario.settings(), seed, at(0));
            let mut balancer = balancer.expect("valid settings");
            handle(&mut balancer, at(0), scenario.first_list());
            Node {
                balancer,
                traffic_fraction: weight / sum,
                notified_at: REPLACED_AT + delay as u64,
                is_notified: scenario.known == Backends::ProbablyWarm,
            }
        });
        let nodes = nodes.collect();
        Fleet {
            scenario,
            random,
            nodes,
            attempts: BTreeMap::new(),
            ends: BinaryHeap::new(),
            arrived: 0,
            rejected: 0,
        }
    }

    fn run(&mut self) {
        let rate = self.scenario.utilization * BACKEND_RATE * f64::from(self.scenario.backends);
        let mut now = 0.0;
        for id in 0.. {
            now -= (1.0 - self.random.uniform()).ln() * 1000.0 / rate;
            let time = now as u64;
            if time >= END {
                break;
            }
            let node = self.draw_node();
            let mut events = self.ends_until(time);
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

    /// The node of the next arrival.
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

    /// The ends of the attempts that are due by a time.
    fn ends_until(&mut self, time: u64) -> Vec<NodeEvent> {
        let mut events = vec![];
        while let Some(&Reverse(end)) = self.ends.peek() {
            if end.time > time {
                break;
            }
            self.ends.pop();
            let is_rejected = self.random.uniform() < REJECTED_FRACTION;
            events.push(NodeEvent {
                time: end.time,
                node: end.node,
                event: Event::AttemptEnded(self.result_of(&end, is_rejected)),
            });
        }
        events
    }

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
                utilization: Some(self.scenario.utilization.min(1.0)),
                queue_depth: Some(0.0),
                ..LoadReport::default()
            }),
        }
    }

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
        let counted_from = match self.scenario.known {
            Backends::Replaced => REPLACED_AT + NOTIFIED_WITHIN,
            Backends::ProbablyWarm => 0,
        };
        let is_counted = is_arrival && time >= counted_from;
        self.arrived += u32::from(is_counted);
        for action in handle(&mut node.balancer, at(time), event) {
            match action {
                Action::StartAttempt {
                    request, backend, ..
                } => {
                    self.attempts.entry(backend).or_default().push(time);
                    self.ends.push(Reverse(AttemptEnd {
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

    fn rejected_fraction(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.arrived)
    }

    /// The window at a new backend that exceeds the limit and chance by most.
    fn worst_window(&self) -> Window {
        let limits = self.scenario.settings().protocol_limits;
        let duration = limits.overload_duration.as_millis() as u64;
        let new_backends = self.attempts.range(BackendId(self.scenario.backends)..);
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

/// Attempts that a new backend bears in the overload duration from a time in milliseconds on.
fn attempts_allowed(limits: &ProtocolLimits, from: u64) -> f64 {
    let slow_start = limits.slow_start_duration.as_millis() as f64;
    let age = (from - REPLACED_AT) as f64 / slow_start;
    let initial = limits.slow_start_initial_capacity;
    let available_capacity = (initial + (1.0 - initial) * age).min(1.0);
    let duration = limits.overload_duration.as_secs_f64();
    limits.overload_multiple * available_capacity * BACKEND_RATE * duration
}

/// The attempts at a new backend within one overload duration.
struct Window {
    backend: BackendId,
    /// Its start in milliseconds.
    from: u64,
    attempts: usize,
    /// Attempts that the backend bears.
    limit: f64,
}

impl Window {
    /// Attempts beyond the limit and what chance may add to it.
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
            "backend {backend}: {attempts} from {from} ms on, of {limit:.1}"
        )
    }
}

/// Nodes, backends and number of seeds.
const SIZES: [(u32, u32, u64); 6] = [
    (1, 20, 3),
    (20, 60, 3),
    (20, 200, 1),
    (30, 60, 3),
    (30, 200, 1),
    (300, 180, 1),
];

/// Also where each node sees few requests. Backends reject a few, which sheds a few more.
#[test]
fn a_fleet_that_starts_beside_probably_warm_backends_sheds_little() {
    const MAX_REJECTED_FRACTION: f64 = 0.1;
    for load_reporting in [LoadReporting::Absent, LoadReporting::WithResponses] {
        for (nodes, backends, seeds) in SIZES {
            for seed in 0..seeds {
                let scenario = Scenario {
                    known: Backends::ProbablyWarm,
                    nodes,
                    backends,
                    load_reporting,
                    utilization: 0.7,
                    seed,
                };
                let mut fleet = Fleet::new(scenario);
                fleet.run();
                let rejected = fleet.rejected_fraction();
                println!("{scenario}: {rejected:.3} rejected");
                assert!(rejected < MAX_REJECTED_FRACTION, "{scenario}: {rejected}");
            }
        }
    }
}

#[test]
fn a_fleet_keeps_to_the_limit_of_warming_backends_up_to_chance() {
    for load_reporting in [LoadReporting::Absent, LoadReporting::WithResponses] {
        for (nodes, backends, seeds) in SIZES {
            for (seed, utilization) in (0..seeds).flat_map(|seed| [(seed, 0.7), (seed, 1.2)]) {
                let scenario = Scenario {
                    known: Backends::Replaced,
                    nodes,
                    backends,
                    load_reporting,
                    utilization,
                    seed,
                };
                let mut fleet = Fleet::new(scenario);
                fleet.run();
                let worst = fleet.worst_window();
                let rejected = fleet.rejected_fraction();
                println!("{scenario}: {worst}, {rejected:.3} rejected");
                assert!(worst.excess() <= 0.0, "{scenario}: {worst}");
            }
        }
    }
}
