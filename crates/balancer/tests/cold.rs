//! A fleet's sum at cold servers. No node knows of the others; what they send together has to stay
//! within what the settings allow. It steps modules through one fleet's arrivals and counts; it
//! simulates no server beyond a fixed pace.

mod common;
use balancer::*;
use common::{at, endpoint, endpoint_list, ms, settings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Requests a second that a warm server can do.
const PACE: f64 = 20.0;
/// The servers that are replaced start at this millisecond, and one after the other of the nodes
/// hears of it.
const REPLACED: u64 = 2000;
const HEARD_WITHIN: u64 = 1000;
const END: u64 = 5500;

/// The end of an attempt: when, at which node, of which request, which attempt, where.
type AttemptEnd = (u64, u32, u64, u32, BackendId);

/// Numbers for a test: the same at each run.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn site(nodes: u32, reports: LoadReporting) -> Settings {
    let mut site = settings();
    site.nodes = nodes;
    site.classes.truncate(1);
    site.load_reporting = reports;
    site.throughput_reported = false;
    site.protocol_limits.slow_start_initial_capacity = 0.3;
    site.protocol_limits.slow_start_duration = ms(8000);
    site
}

/// What is sent to a cold server in the worst window, over what the settings allow there and chance
/// beyond that; and the part of the arrivals that is refused while servers are cold.
struct Worst {
    over: f64,
    told: String,
    refused: f64,
}

/// Plays one fleet, nine in ten of whose servers are replaced at one moment. `busy` is the part of
/// what all could do warm that arrives.
fn play(nodes: u32, servers: u32, reports: LoadReporting, busy: f64, seed: u64) -> Worst {
    let site = site(nodes, reports);
    let mut chance = Chance(seed << 32 | u64::from(nodes) << 16 | u64::from(servers));
    let mut fleet: Vec<Balancer> = (0..nodes)
        .map(|k| {
            Balancer::new(site.clone(), seed * 1000 + u64::from(k), at(0)).expect("sound settings")
        })
        .collect();
    let staying = (servers / 10).max(1);
    let started = at(REPLACED);
    let before = |b: &mut Balancer| {
        let entries = (0..servers)
            .map(|s| endpoint(s, EndpointState::Active, None))
            .collect();
        b.handle(
            at(0),
            endpoint_list(ListUpdate::Snapshot, entries),
            &mut vec![],
        );
    };
    fleet.iter_mut().for_each(before);
    // Some nodes see several times the mean.
    let mut parts: Vec<f64> = (0..nodes)
        .map(|_| 0.3 + 3.0 * chance.next().powi(3))
        .collect();
    let sum: f64 = parts.iter().sum();
    parts.iter_mut().for_each(|p| *p /= sum);
    let heard: Vec<u64> = (0..nodes)
        .map(|_| REPLACED + (chance.next() * HEARD_WITHIN as f64) as u64)
        .collect();
    let mut knows = vec![false; nodes as usize];
    let rate = busy * PACE * f64::from(servers);
    let (mut now, mut next) = (0.0, 0u64);
    let mut sent: HashMap<BackendId, Vec<u64>> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<AttemptEnd>> = BinaryHeap::new();
    let (mut asked, mut refused) = (0u32, 0u32);
    loop {
        now -= (1.0 - chance.next()).ln() * 1000.0 / rate;
        let ms_now = now as u64;
        if ms_now >= END {
            break;
        }
        let mut node = 0;
        let mut mark = chance.next();
        while node + 1 < parts.len() && mark >= parts[node] {
            mark -= parts[node];
            node += 1;
        }
        let mut todo: Vec<(u64, usize, Event)> = Vec::new();
        while ends.peek().is_some_and(|e| e.0 .0 <= ms_now) {
            let Some(Reverse((when, node, request, attempt, server))) = ends.pop() else {
                break;
            };
            let full = chance.next() < 0.03;
            let outcome = if full {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Success
            };
            let told = (reports != LoadReporting::Absent).then(|| LoadReport {
                utilization: Some(busy.min(1.0)),
                queue_depth: Some(0.0),
                ..LoadReport::default()
            });
            let latency = Duration::from_secs_f64(1.0 / PACE);
            let closed = outcome == AttemptOutcome::Success;
            let request = RequestId(request);
            let ended = AttemptResult {
                request,
                attempt,
                backend: server,
                outcome,
                latency,
                request_closed: closed,
                load_report: told,
            };
            todo.push((when, node as usize, Event::AttemptEnded(ended)));
        }
        let arrival = RequestArrival {
            request: RequestId(next),
            class: ClassId(0),
            tenant: TenantId(0),
            remaining: ms(1000),
            work: None,
            body_pending: false,
        };
        next += 1;
        todo.push((ms_now, node, Event::RequestArrived(arrival)));
        for (when, node, event) in todo {
            if !knows[node] && when >= heard[node] {
                knows[node] = true;
                let old = (0..staying).map(|s| endpoint(s, EndpointState::Active, None));
                let new = (servers..2 * servers - staying)
                    .map(|s| endpoint(s, EndpointState::Active, Some(started)));
                let list = endpoint_list(ListUpdate::Snapshot, old.chain(new).collect());
                fleet[node].handle(at(when), list, &mut vec![]);
            }
            let arrived = matches!(event, Event::RequestArrived(_));
            let attempt = match &event {
                Event::AttemptEnded(e) => e.attempt + 1,
                _ => 0,
            };
            let mut actions = vec![];
            fleet[node].handle(at(when), event, &mut actions);
            for action in actions {
                match action {
                    Action::StartAttempt {
                        request,
                        backend: server,
                        ..
                    } => {
                        sent.entry(server).or_default().push(when);
                        let took = (1000.0 / PACE) as u64;
                        ends.push(Reverse((
                            when + took,
                            node as u32,
                            request.0,
                            attempt,
                            server,
                        )));
                    }
                    Action::Reject { .. } if arrived && when >= REPLACED + HEARD_WITHIN => {
                        refused += 1;
                    }
                    _ => {}
                }
            }
            asked += u32::from(arrived && when >= REPLACED + HEARD_WITHIN);
        }
    }
    let rules = &site.protocol_limits;
    let window = rules.overload_duration.as_millis() as u64;
    let mut worst = Worst {
        over: f64::MIN,
        told: String::new(),
        refused: f64::from(refused) / f64::from(asked),
    };
    for (server, times) in sent.iter().filter(|s| s.0 .0 >= servers) {
        for (k, &from) in times.iter().enumerate() {
            let count = times[k..]
                .iter()
                .take_while(|&&t| t < from + window)
                .count() as f64;
            let age = (from - REPLACED) as f64 / rules.slow_start_duration.as_millis() as f64;
            let warmth = (rules.slow_start_initial_capacity
                + (1.0 - rules.slow_start_initial_capacity) * age)
                .min(1.0);
            let budget =
                rules.overload_multiple * warmth * PACE * rules.overload_duration.as_secs_f64();
            let over = count - (budget + 2.0 * budget.sqrt() + 2.0);
            if over > worst.over {
                let told = format!(
                    "server {server}: {count} within {window} ms from {from} ms on, of {budget:.1}"
                );
                worst = Worst {
                    over,
                    told,
                    ..worst
                };
            }
        }
    }
    worst
}

#[test]
fn a_fleets_sum_at_cold_servers_stays_within_their_budget_and_chance() {
    for reports in [LoadReporting::Absent, LoadReporting::WithResponses] {
        for (nodes, servers, seeds) in [
            (1, 20, 3),
            (20, 60, 3),
            (20, 200, 1),
            (30, 60, 3),
            (30, 200, 1),
            (300, 180, 1),
        ] {
            for (busy, seed) in (0..seeds).flat_map(|seed| [(0.7, seed), (1.2, seed)]) {
                let worst = play(nodes, servers, reports, busy, seed);
                let told = format!(
                    "{reports:?}, {nodes} nodes, {servers} servers, {busy} busy, seed {seed}: {}, {:.3} refused",
                    worst.told, worst.refused
                );
                println!("{told}");
                assert!(worst.over <= 0.0, "{told}");
            }
        }
    }
}
