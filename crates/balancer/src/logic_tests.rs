//! Unit tests of the parts of the module: price step, share solution, draw, bounds.

#[path = "../tests/common/mod.rs"]
mod common;

use super::*;
use crate::*;
use common::{arrival, at, ended, entry, list, ms, report, settings};

fn input(price: f64, speed: f64) -> ShareInput {
    ShareInput {
        price,
        speed,
        max_share: f64::INFINITY,
    }
}

fn solved(inputs: &[ShareInput]) -> Vec<f64> {
    let mut shares = vec![];
    solve_shares(inputs, 0.0, 0.5, &mut shares);
    shares
}

fn utility(inputs: &[ShareInput], shares: &[f64]) -> f64 {
    inputs
        .iter()
        .zip(shares)
        .map(|(l, s)| (1.0 + s * l.speed).ln() - l.price * s)
        .sum()
}

/// The share of a backend in a class.
fn share(b: &Balancer, class: usize, backend: u32) -> f64 {
    let k = b
        .ready
        .iter()
        .position(|&i| b.backends[i].id == BackendId(backend))
        .expect("ready");
    b.allocations[class].shares[k]
}

fn balancer(backends: u32) -> Balancer {
    let mut b = Balancer::new(settings(), 7, at(0)).expect("sound settings");
    b.handle(at(0), list(backends), &mut vec![]);
    b
}

/// Sends one request and returns its backend.
fn sent(b: &mut Balancer, now: Time, id: u64) -> Option<BackendId> {
    let mut actions = vec![];
    b.handle(now, arrival(id, 0), &mut actions);
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { backend, .. } => Some(*backend),
        _ => None,
    })
}

#[test]
fn shares_are_feasible_and_optimal() {
    let mut rng = Balancer::new(settings(), 3, at(0)).expect("sound settings");
    for n in 1..30usize {
        let inputs: Vec<ShareInput> = (0..n)
            .map(|_| input(rng.random() * 2.0, 0.1 + 2.0 * rng.random()))
            .collect();
        let shares = solved(&inputs);
        assert!((shares.iter().sum::<f64>() - n as f64).abs() < 1e-4 * n as f64);
        assert!(shares.iter().all(|s| *s >= 0.0));
        // Independent check: no small move of share from one backend to another raises the sum of
        // utility less price.
        let best = utility(&inputs, &shares);
        for from in 0..n {
            for to in 0..n {
                let mut other = shares.clone();
                let moved = (0.01f64).min(other[from]);
                other[from] -= moved;
                other[to] += moved;
                assert!(
                    utility(&inputs, &other) <= best + 1e-6,
                    "{from} to {to} of {n}"
                );
            }
        }
    }
}

/// A cold backend gets little, is idle and grows cheap. The others must still get all that it can't
/// take, however dear they are beside it: on days of releases half of the requests were refused for
/// want of shares.
#[test]
fn a_cheap_bounded_server_does_not_close_the_others() {
    let cold = ShareInput {
        max_share: 0.1,
        ..input(0.0, 1.0)
    };
    let shares = solved(&[cold, input(1.5, 1.0), input(1.6, 1.0), input(1.7, 1.0)]);
    assert!(
        (shares.iter().sum::<f64>() - 4.0).abs() < 1e-3,
        "{shares:?}"
    );
    assert!(
        shares[0] <= 0.1 && shares[1] > shares[2] && shares[2] > shares[3] && shares[3] > 0.0,
        "{shares:?}"
    );
}

#[test]
fn shares_bear_extreme_prices_and_speeds() {
    assert!((solved(&[input(5.0, 1.0)])[0] - 1.0).abs() < 1e-5);
    let shares = solved(&[
        input(1e9, 1.0),
        input(0.0, 1e6),
        input(0.0, 0.01),
        input(3.0, 1.0),
    ]);
    assert!(
        (shares.iter().sum::<f64>() - 4.0).abs() < 1e-3,
        "{shares:?}"
    );
    assert_eq!(shares[0], 0.0);
    // Bounds that leave no room: what is left over is not forced on anyone.
    let tight: Vec<ShareInput> = (0..4)
        .map(|_| ShareInput {
            max_share: 0.5,
            ..input(0.1, 1.0)
        })
        .collect();
    assert_eq!(solved(&tight), vec![0.5; 4]);
    let closed = [ShareInput {
        max_share: 0.0,
        ..input(0.0, 1.0)
    }];
    assert_eq!(solved(&closed), vec![0.0]);
}

#[test]
fn price_follows_the_projected_step() {
    let mut b = balancer(4);
    b.mean_load = 1.0;
    b.record_load_report(at(0), BackendId(1), &report(0.8, 10.0));
    b.record_load_report(at(0), BackendId(2), &report(0.1, 10.0));
    let i = b.index[&BackendId(1)];
    b.update_price(i, at(200));
    assert!((b.backends[i].price - STEP * 0.2 * (0.8 - LOAD_FACTOR)).abs() < 1e-9);
    let k = b.index[&BackendId(2)];
    b.update_price(k, at(200));
    assert_eq!(b.backends[k].price, 0.0, "projected at zero");
    // A report moves the price for its life only.
    b.traffic_weighted_price = b.backends[i].price;
    b.update_price(i, at(600));
    let price = b.backends[i].price;
    b.traffic_weighted_price = price;
    b.update_price(i, at(5000));
    assert!((b.backends[i].price - price).abs() < 1e-9);
}

#[test]
fn new_servers_start_at_the_mean_price() {
    let mut b = balancer(2);
    b.mean_price = 0.4;
    let entries = vec![entry(9, EndpointState::Active, None)];
    b.handle(
        at(1),
        Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints: entries,
        },
        &mut vec![],
    );
    assert_eq!(b.backends[b.index[&BackendId(9)]].price, 0.4);
}

#[test]
fn draws_follow_shares() {
    let mut b = balancer(4);
    b.allocations[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    b.allocations[0].eligible_backends = 4.0;
    b.solved = Some(at(1));
    let mut counts = [0.0; 4];
    let asked = Vec::new();
    let (class, attempts) = (ClassId(0), Vec::new());
    let r = Request {
        class,
        arrived: at(1),
        ends: at(900),
        work: None,
        body_pending: false,
        open: true,
        begun: false,
        attempts,
        candidates: asked,
    };
    b.requests.insert(RequestId(1), r);
    for _ in 0..40_000 {
        counts[b
            .pick_backend(at(1), RequestId(1), false)
            .expect("all are ready")] += 1.0;
    }
    for (i, count) in counts.iter().enumerate() {
        assert!(
            (count / 40_000.0 - share(&b, 0, i as u32) / 4.0).abs() < 0.01,
            "{counts:?}"
        );
    }
}

/// Many nodes together: a cold backend's intake stays far inside its budget from its first second
/// on.
#[test]
fn cold_servers_are_not_rushed() {
    let (nodes, backends, rate) = (40u64, 20u32, 2.0);
    let rules = settings().protocol_limits;
    let started = at(1000);
    let mut all: Vec<Balancer> = (0..nodes)
        .map(|n| {
            Balancer::new(
                Settings {
                    nodes: nodes as u32,
                    ..settings()
                },
                n,
                at(0),
            )
            .expect("sound settings")
        })
        .collect();
    for b in &mut all {
        b.handle(at(0), list(backends), &mut vec![]);
        let entries = vec![entry(0, EndpointState::Active, Some(started))];
        b.handle(
            started,
            Event::EndpointList {
                update: ListUpdate::Delta,
                endpoints: entries,
            },
            &mut vec![],
        );
    }
    // Each node sends once every 1/rate of 50 ms; warm peers take total / backends a second.
    let (mut id, mut cold) = (0, vec![]);
    for tick in 0..400u64 {
        let now = at(1000 + tick * 10);
        for b in &mut all {
            id += 1;
            if sent(b, now, id) == Some(BackendId(0)) {
                cold.push(tick * 10);
            }
        }
    }
    let peer = nodes as f64 * 100.0 / f64::from(backends) * rate / 2.0;
    for from in (0..3000u64).step_by(100) {
        let window = cold
            .iter()
            .filter(|t| (from..from + 1000).contains(t))
            .count() as f64;
        let available_capacity = rules.slow_start_initial_capacity
            + (1.0 - rules.slow_start_initial_capacity) * from as f64 / 20_000.0;
        assert!(
            window < 0.5 * rules.overload_multiple * available_capacity * peer,
            "{window} at {from}"
        );
    }
    assert!(!cold.is_empty(), "it must get work to warm up");
}

/// Altiplano big-2: with dispersed prices up to ten of n shares gathered on one backend and broke
/// it.
#[test]
fn no_server_is_asked_for_more_than_its_part() {
    let mut b = balancer(4);
    for k in 0..200u64 {
        let now = at(k * 10);
        b.handle(now, arrival(k, 0), &mut vec![]);
        for s in 0..4 {
            b.record_load_report(now, BackendId(s), &report(0.9, 22.5));
        }
    }
    // Capacity 25 a second and backend; this node's part of it is a quarter, it asks for 100.
    for s in 1..4 {
        b.record_failure(at(2000), BackendId(s), AttemptOutcome::ServerError);
    }
    b.refresh_allocation(at(2000));
    let most =
        ADMIT * 25.0 * b.traffic_fraction * 4.0 / b.allocations[0].arrivals.add(at(2000), 0.0);
    assert!(
        b.allocations[0].shares.iter().all(|s| *s <= most * 1.01),
        "{:?} above {most}",
        b.allocations[0].shares
    );
    assert!(
        b.allocations[0].shed_threshold > 0.0,
        "what finds no place is turned away"
    );
}

/// A backend that fails fast reports little load; its failures must make it dear all the same.
#[test]
fn fast_failing_server_grows_dear() {
    let mut b = balancer(4);
    for s in 0..4 {
        b.record_load_report(at(0), BackendId(s), &report(0.5, 10.0));
    }
    b.refresh_allocation(at(50));
    let i = b.index[&BackendId(2)];
    let before = share(&b, 0, 2);
    b.record_failure(at(60), BackendId(2), AttemptOutcome::ServerError);
    b.record_failure(at(60), BackendId(2), AttemptOutcome::ServerError);
    b.refresh_allocation(at(120));
    assert!(b.backends[i].price > 0.9);
    assert!(
        share(&b, 0, 2) < 0.2 * before,
        "{:?}",
        b.allocations[0].shares
    );
}

/// Incident inc3826: three answers in a hundred could not be read, at every backend, and each
/// closed its backend for seconds, while the others were crowded. A backend is as dear as the part
/// of its answers that fail.
#[test]
fn a_rare_broken_answer_does_not_close_its_server() {
    let mut b = balancer(4);
    for k in 0..100u64 {
        for s in 0..4 {
            b.record_load_report(at(k), BackendId(s), &report(0.5, 10.0));
            b.record_response(at(k), BackendId(s), 0.05, None);
        }
    }
    b.refresh_allocation(at(150));
    let before = share(&b, 0, 2);
    b.record_failure(at(160), BackendId(2), AttemptOutcome::ConnectionReset);
    b.refresh_allocation(at(220));
    assert!(
        share(&b, 0, 2) > 0.8 * before,
        "{:?}",
        b.allocations[0].shares
    );
    assert!(
        b.backends[b.index[&BackendId(2)]].load.is_some(),
        "its load still counts"
    );
    for _ in 0..8 {
        b.record_failure(at(230), BackendId(2), AttemptOutcome::ConnectionReset);
    }
    b.refresh_allocation(at(300));
    assert!(
        share(&b, 0, 2) < 0.2 * before,
        "failing on and on closes it: {:?}",
        b.allocations[0].shares
    );
}

/// A large fleet, join+vast: the list gave every backend the same weight, while the kinds differ
/// three times in speed, and a node met a single backend too seldom to learn it. What answers of a
/// kind's other backends tell counts for it.
#[test]
fn a_server_never_met_is_valued_by_its_kind() {
    let settings = Settings {
        endpoint_weights_given: true,
        throughput_reported: false,
        ..settings()
    };
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(5), &mut vec![]);
    // Kinds go by id modulo 3. One backend of each of two is met, the second at three times the
    // time for its work.
    for k in 0..40u64 {
        b.record_response(at(k), BackendId(0), 0.02, Some(0.02));
        b.record_response(at(k), BackendId(1), 0.06, Some(0.02));
    }
    b.refresh_allocation(at(100));
    assert!(
        share(&b, 0, 4) < 0.7 * share(&b, 0, 3),
        "{:?}",
        b.allocations[0].shares
    );
    assert!(
        (share(&b, 0, 0) / share(&b, 0, 3) - 1.0).abs() < 0.05,
        "{:?}",
        b.allocations[0].shares
    );
    // A heavy request's long answer does not tell of a slow backend.
    let before = share(&b, 0, 0);
    (0..40).for_each(|_| b.record_response(at(100), BackendId(0), 0.2, Some(0.2)));
    b.refresh_allocation(at(200));
    assert!(
        share(&b, 0, 0) > 0.95 * before,
        "{:?}",
        b.allocations[0].shares
    );
}

/// join+vast: eighteen of sixty backends came cold within seconds and idled at a fifth of their
/// fellows' attempts, since the bound was the same for fast and slow. It follows a backend's speed,
/// and stays within what it can do by then.
#[test]
fn a_cold_servers_bound_follows_its_speed() {
    let settings = Settings {
        endpoint_weights_given: true,
        throughput_reported: false,
        ..settings()
    };
    let (fall, rules) = (
        settings.protocol_limits.overload_multiple,
        settings.protocol_limits.clone(),
    );
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(5), &mut vec![]);
    for k in 0..40u64 {
        b.record_response(at(k), BackendId(0), 0.02, Some(0.02));
        b.record_response(at(k), BackendId(1), 0.04, Some(0.02));
    }
    let entries = [3, 4]
        .map(|s| entry(s, EndpointState::Active, Some(at(90))))
        .to_vec();
    b.handle(
        at(100),
        Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints: entries,
        },
        &mut vec![],
    );
    (0..20).for_each(|k| b.handle(at(100 + 50 * k), arrival(k, 0), &mut vec![]));
    let (fast, slow) = (share(&b, 0, 3), share(&b, 0, 4));
    assert!(fast > 1.5 * slow && slow > 0.0, "{fast} and {slow}");
    let available_capacity =
        b.backends[b.index[&BackendId(3)]].available_capacity(&rules, at(1050));
    assert!(
        fast <= FAST * available_capacity * 1.01 && fast < 0.5 * fall * available_capacity,
        "{fast} at {available_capacity}"
    );
}

/// A hung backend reports nothing: its oldest unanswered send makes it dear.
#[test]
fn hung_server_grows_dear_and_comes_back() {
    let mut b = balancer(4);
    let hung = sent(&mut b, at(0), 1).expect("sent");
    let i = b.index[&hung];
    b.update_price(i, at(3000));
    let dear = b.backends[i].price;
    assert!(dear > 0.5, "{dear}");
    // Once it is answered the price drifts back: no lasting avoidance.
    b.handle(
        at(3000),
        ended(1, 0, hung, AttemptOutcome::Success, None),
        &mut vec![],
    );
    for k in 0..400 {
        b.update_price(i, at(3000 + 50 * k));
    }
    assert!(b.backends[i].price < 0.1);
}

#[test]
fn shedding_turns_away_the_least_worth_first() {
    let mut b = balancer(2);
    b.allocations[0]
        .recent_weights
        .extend([1.0, 1.0, 10.0, 10.0].map(|worth| (ClassId(0), worth)));
    b.set_thresholds(0, 0.3);
    let turned = |w: f64| b.shed_chance(ClassId(0), w);
    assert!(turned(1.0) > 3.0 * turned(10.0));
    assert!((f64::midpoint(turned(1.0), turned(10.0)) - 0.3).abs() < 0.02);
    b.set_thresholds(0, 0.0);
    assert_eq!(
        (
            b.allocations[0].shed_threshold,
            b.shed_chance(ClassId(0), 0.01)
        ),
        (0.0, 0.0)
    );
}

/// Of classes whose weights differ tenfold the cheapest was shed nearly whole before the
/// dearest was touched: with six in ten turned away a class of worth 1 beside others of 2 and 10
/// was let in at one in ten. What is let in goes to all classes alike for the most part; over the
/// rest worth decides, and no more is let in for that.
#[test]
fn no_class_is_shed_whole_for_the_others() {
    for refused in [0.2, 0.4, 0.6, 0.8] {
        let mut settings = Settings {
            throughput_reported: false,
            load_reporting: LoadReporting::Absent,
            ..settings()
        };
        settings.classes.truncate(3);
        for (class, worth) in settings.classes.iter_mut().zip([1.0, 2.0, 10.0]) {
            (class.idempotency, class.priority_weight) = (Idempotency::Idempotent, worth);
        }
        let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
        b.handle(at(0), list(40), &mut vec![]);
        let (mut asked, mut let_in) = ([0.0; 3], [0.0; 3]);
        for k in 0..6000u64 {
            let class = [0, 1, 0, 2, 0, 1, 0, 1, 0, 1][k as usize % 10];
            (b.allocations[0].shed_fraction, b.solved) = (refused, None);
            let mut actions = vec![];
            let Event::RequestArrived(a) = arrival(k, class) else {
                unreachable!("an arrival")
            };
            b.handle(at(k), Event::RequestArrived(a), &mut actions);
            asked[usize::from(class)] += 1.0;
            let_in[usize::from(class)] += f64::from(u8::from(matches!(
                actions[..],
                [Action::StartAttempt { .. }]
            )));
        }
        let part: Vec<f64> = let_in.iter().zip(asked).map(|(l, a)| l / a).collect();
        let all = let_in.iter().sum::<f64>() / asked.iter().sum::<f64>();
        assert!((all - (1.0 - refused)).abs() < 0.03, "{all} of {refused}");
        assert!(part[0] > 0.62 * all, "{part:?} at {refused}");
        assert!(
            part[0] < part[1] && part[1] < part[2],
            "worth still decides: {part:?}"
        );
    }
}

#[test]
fn probed_choice_takes_the_idlest_and_refuses_the_hopeless() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let probed = |held: &dyn Fn(usize) -> f64| {
        let mut b = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        b.handle(at(0), list(8), &mut actions);
        let work = Some(ms(100));
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        b.handle(
            at(1),
            Event::RequestArrived(RequestArrival {
                request,
                class,
                tenant,
                remaining: ms(900),
                work,
                body_pending: false,
            }),
            &mut actions,
        );
        let asked: Vec<BackendId> = actions
            .iter()
            .filter_map(|a| {
                if let Action::SendLoadProbe { backend } = a {
                    Some(*backend)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(asked.len(), PROBES);
        actions.clear();
        for (k, backend) in asked.iter().enumerate() {
            let report = Some(LoadReport {
                in_flight: Some(held(k)),
                ..report(0.5, 0.0)
            });
            let p = LoadProbeResult {
                backend: *backend,
                outcome: AttemptOutcome::Success,
                latency: ms(1),
                load_report: report,
            };
            b.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
        }
        (asked, actions)
    };
    let (asked, actions) = probed(&|k| if k == 3 { 0.0 } else { 2.0 });
    assert!(
        matches!(actions[..], [Action::StartAttempt { backend, .. }] if backend == asked[3]),
        "{actions:?}"
    );
    let (_, actions) = probed(&|_| 9.0);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
}

/// An estimated wait is an average, and what is late by a little is worth nothing and still takes
/// its room. A request's own work is no such guess: at an idle backend a heavy one can be in time.
#[test]
fn long_waits_are_taken_for_longer() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let aim = probing.classes[1].latency_objective;
    let decided = |work: Duration, held: f64| {
        let mut b = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        b.handle(at(0), list(3), &mut actions);
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        let arrival = RequestArrival {
            request,
            class,
            tenant,
            remaining: 2 * aim,
            work: Some(work),
            body_pending: false,
        };
        b.handle(at(1), Event::RequestArrived(arrival), &mut actions);
        actions.clear();
        for backend in 0..3 {
            let report = Some(LoadReport {
                in_flight: Some(held),
                ..report(0.5, 0.0)
            });
            let p = LoadProbeResult {
                backend: BackendId(backend),
                outcome: AttemptOutcome::Success,
                latency: ms(1),
                load_report: report,
            };
            b.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
        }
        actions
    };
    let sent = |work, held| matches!(decided(work, held)[..], [Action::StartAttempt { .. }]);
    assert!(sent(aim.mul_f64(0.95), 0.0));
    assert!(sent(aim / 10, 7.0));
    assert!(!sent(aim / 10, 8.5));
}

/// A probe costs the backend and the node, and is no use where its answer is known. What the node
/// itself has sent since is not in that answer and must be counted in, or all requests of a moment
/// go to one backend.
#[test]
fn what_was_just_heard_is_not_asked_again() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let mut b = Balancer::new(probing, 5, at(0)).expect("sound settings");
    let mut actions = vec![];
    b.handle(at(0), list(3), &mut actions);
    let arrive = |b: &mut Balancer, now, id| {
        let (request, class, tenant) = (RequestId(id), ClassId(1), TenantId(0));
        let arrival = RequestArrival {
            request,
            class,
            tenant,
            remaining: ms(900),
            work: Some(ms(100)),
            body_pending: false,
        };
        let mut actions = vec![];
        b.handle(now, Event::RequestArrived(arrival), &mut actions);
        actions
    };
    let probes = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::SendLoadProbe { .. }))
            .count()
    };
    assert_eq!(probes(&arrive(&mut b, at(1), 1)), 3);
    assert_eq!(probes(&arrive(&mut b, at(1), 2)), 0, "asked already");
    actions.clear();
    for backend in 0..3 {
        let report = Some(LoadReport {
            in_flight: Some(0.0),
            ..report(0.1, 0.0)
        });
        let p = LoadProbeResult {
            backend: BackendId(backend),
            outcome: AttemptOutcome::Success,
            latency: ms(1),
            load_report: report,
        };
        b.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
    }
    actions.extend(arrive(&mut b, at(3), 3));
    let sent = |a: &Action| {
        if let Action::StartAttempt { backend, .. } = a {
            Some(*backend)
        } else {
            None
        }
    };
    let mut sent: Vec<_> = actions.iter().filter_map(sent).collect();
    sent.sort();
    assert_eq!(
        sent,
        [BackendId(0), BackendId(1), BackendId(2)],
        "{actions:?}"
    );
    assert_eq!(
        probes(&arrive(&mut b, at(3000), 4)),
        3,
        "heard too long ago"
    );
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 0, at(0))
            .err()
            .map(|e| e.to_string())
            .unwrap_or_default()
    };
    assert!(bad(|s| s.classes.clear()).contains("classes"));
    assert!(bad(|s| s.zone = ZoneId(9)).contains("zone"));
    assert!(
        bad(|s| s.protocol_limits.slow_start_initial_capacity = -0.1)
            .contains("slow_start_initial_capacity")
    );
    assert!(bad(|s| s.protocol_limits.overload_multiple = f64::NAN).contains("overload_multiple"));
    assert!(
        bad(|s| s.classes[0].priority_weight = f64::INFINITY).contains("classes.priority_weight")
    );
    assert!(bad(|s| s.nodes = 0).contains("nodes"));
    assert_eq!(bad(|_| ()), "");
}

/// A rule without a time binds nobody: a fleet of cold backends serves all the same.
#[test]
fn without_a_fall_time_cold_servers_serve() {
    let mut settings = settings();
    settings.protocol_limits.overload_duration = Duration::ZERO;
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    let Event::EndpointList {
        update: kind,
        endpoints: mut entries,
    } = list(3)
    else {
        panic!("a list")
    };
    entries.iter_mut().for_each(|e| e.started_at = Some(at(1)));
    b.handle(
        at(1),
        Event::EndpointList {
            update: kind,
            endpoints: entries,
        },
        &mut vec![],
    );
    let mut actions = vec![];
    for k in 0..50 {
        let Event::RequestArrived(a) = arrival(k, 0) else {
            panic!("an arrival")
        };
        b.handle(
            at(2 + k),
            Event::RequestArrived(RequestArrival {
                work: Some(Duration::from_millis(5)),
                ..a
            }),
            &mut actions,
        );
    }
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::StartAttempt { .. })),
        "{actions:?}"
    );
}

#[test]
fn empty_list_refuses_and_recovers() {
    let mut b = balancer(0);
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 1), &mut actions);
    assert!(matches!(actions[..], [Action::Reject { .. }]));
    b.handle(at(2), list(3), &mut actions);
    assert!(sent(&mut b, at(100), 2).is_some());
}

/// What a broken watch misses counts as told within seconds, however seldom lists have to be asked
/// for. Only calls that fail in a row are spread ever wider.
#[test]
fn a_watch_that_has_served_is_opened_anew_at_once() {
    for seed in 0..50 {
        let mut settings = Settings {
            polled_discovery: true,
            ..settings()
        };
        settings.protocol_limits.poll_interval_limit = Duration::from_secs(30);
        let mut b = Balancer::new(settings, seed, at(0)).expect("sound settings");
        b.handle(at(0), list(3), &mut vec![]);
        let wait = |b: &mut Balancer| {
            let mut actions = vec![];
            b.handle(
                at(0),
                Event::EndpointList {
                    update: ListUpdate::Failed,
                    endpoints: vec![],
                },
                &mut actions,
            );
            match actions[..] {
                [Action::SetTimer { at: then, .. }] => (then - at(0)).as_secs_f64(),
                _ => panic!("{actions:?}"),
            }
        };
        for most in [0.25, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0] {
            assert!(wait(&mut b) <= most, "seed {seed}, {most}");
        }
        b.handle(at(0), list(3), &mut vec![]);
        assert!(wait(&mut b) <= 0.25, "seed {seed}");
    }
}

/// What calls that fail have missed counts as told 6 s after discovery had it and could be reached.
/// A call that was given up for its silence may have begun just before that, the next may fail as
/// well, and the one after it has to bring the list: whatever failed before, however seldom lists
/// have to be asked for, and at the first start too.
#[test]
fn two_more_calls_fit_into_the_time_in_which_a_change_counts_as_told() {
    const GIVEN_UP: u64 = 2500; // As the node does: `OPENING` in node/src/discovery.rs.
    const ANSWER: u64 = 500; // Left for the call that brings the list.
    let fail = |b: &mut Balancer, now: Time| -> Time {
        let mut actions = vec![];
        b.handle(
            now,
            Event::EndpointList {
                update: ListUpdate::Failed,
                endpoints: vec![],
            },
            &mut actions,
        );
        let [Action::SetTimer { at: then, timer }] = actions[..] else {
            panic!("{actions:?}")
        };
        let mut actions = vec![];
        b.handle(then, Event::TimerFired { timer }, &mut actions);
        assert_eq!(actions, [Action::RefreshEndpointList]);
        then
    };
    for seed in 0..200 {
        for ask_within in [1, 10, 30, 600] {
            for before in 0..8 {
                for (first, second) in [(0, 0), (0, GIVEN_UP), (GIVEN_UP, 0), (GIVEN_UP, GIVEN_UP)]
                {
                    let mut settings = Settings {
                        polled_discovery: true,
                        ..settings()
                    };
                    settings.protocol_limits.poll_interval_limit = Duration::from_secs(ask_within);
                    let mut b = Balancer::new(settings, seed, at(0)).expect("sound settings");
                    let mut now = at(10_000);
                    for _ in 0..before {
                        now = fail(&mut b, now);
                    }
                    let reachable = now;
                    now = fail(&mut b, now + ms(first));
                    now = fail(&mut b, now + ms(second));
                    let took = now + ms(ANSWER) - reachable;
                    assert!(
                        took <= ms(6000),
                        "seed {seed}, {before} failed before, {first} and {second} ms: {took:?}"
                    );
                }
            }
        }
    }
}

/// A process that knows no backend to send to can't serve before its first list: it asks soon,
/// however seldom lists have to be asked for. One that knows some keeps to them, and its call stays
/// spread out.
#[test]
fn a_process_that_knows_no_server_asks_soon() {
    let longest = |entries: &[Endpoint]| {
        let mut settings = Settings {
            polled_discovery: true,
            ..settings()
        };
        settings.protocol_limits.poll_interval_limit = Duration::from_secs(60);
        let waits = (0..200).map(|seed| {
            let mut b = Balancer::new(settings.clone(), seed, at(0)).expect("sound settings");
            let mut actions = vec![];
            let entries = entries.to_vec();
            b.handle(
                at(0),
                Event::EndpointList {
                    update: ListUpdate::Cached,
                    endpoints: entries,
                },
                &mut actions,
            );
            let [Action::SetTimer { at: then, .. }] = actions[..] else {
                panic!("{actions:?}")
            };
            then - at(0)
        });
        waits.max().expect("waits")
    };
    assert!(longest(&[]) <= ms(2000), "{:?}", longest(&[]));
    let leaving = [entry(1, EndpointState::Draining, None)];
    assert!(longest(&leaving) <= ms(2000), "{:?}", longest(&leaving));
    assert!(longest(&[entry(1, EndpointState::Active, None)]) > ms(3000));
}

/// A fleet whose discovery is out calls it again without end, at a bounded rate and not in step.
#[test]
fn a_fleet_does_not_storm_a_discovery_that_is_out() {
    const NODES: usize = 350;
    let settings = Settings {
        polled_discovery: true,
        nodes: NODES as u32,
        ..settings()
    };
    let mut calls = vec![0; 600]; // In each 50 ms of 30 s, with every call refused at once.
    for seed in 0..NODES as u64 {
        let mut b = Balancer::new(settings.clone(), seed, at(0)).expect("sound settings");
        b.handle(at(0), list(3), &mut vec![]);
        let mut now = at(0);
        loop {
            let mut actions = vec![];
            b.handle(
                now,
                Event::EndpointList {
                    update: ListUpdate::Failed,
                    endpoints: vec![],
                },
                &mut actions,
            );
            let [Action::SetTimer { at: then, timer }] = actions[..] else {
                panic!("{actions:?}")
            };
            b.handle(then, Event::TimerFired { timer }, &mut vec![]);
            now = then;
            let slot = ((now - at(0)).as_millis() / 50) as usize;
            match calls.get_mut(slot) {
                Some(count) => *count += 1,
                None => break,
            }
        }
    }
    let settled: usize = calls[100..].iter().sum();
    assert!(settled <= NODES * 25 * 6 / 5, "{settled} calls in 25 s");
    let most = calls[100..].iter().max().expect("slots");
    assert!(*most < NODES / 8, "{most} of {NODES} within 50 ms");
}

/// Placement: shares are solved over the open backends only, and nothing else is drawn, also when
/// all of those are down or were tried.
#[test]
fn bound_classes_keep_to_their_servers() {
    let mut b = Balancer::new(common::bound(), 7, at(0)).expect("sound settings");
    b.handle(at(0), list(9), &mut vec![]);
    b.refresh_allocation(at(0));
    let m = &b.allocations[1];
    assert_eq!(m.eligible_backends, 6.0);
    assert!(
        (m.shares.iter().sum::<f64>() - 6.0).abs() < 1e-3,
        "{:?}",
        m.shares
    );
    let open = (0..9).filter(|&s| share(&b, 1, s) > 0.0);
    assert_eq!(open.filter(|s| s % 3 != 1).count(), 6, "{:?}", m.shares);
    // Class 2 has backend 4 only: once that has turned it away nothing is left, and it is refused.
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 2), &mut actions);
    assert!(
        matches!(
            actions[..],
            [Action::StartAttempt {
                backend: BackendId(4),
                ..
            }]
        ),
        "{actions:?}"
    );
    actions.clear();
    b.handle(
        at(2),
        ended(1, 0, BackendId(4), AttemptOutcome::Rejected, None),
        &mut actions,
    );
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
    // Class 3 is open nowhere.
    actions.clear();
    b.handle(at(3), arrival(2, 3), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
    // The last gate holds whatever chose the backend.
    actions.clear();
    b.handle(at(4), arrival(3, 1), &mut vec![]);
    let request = b.requests.get_mut(&RequestId(3)).expect("held");
    request.attempts.clear();
    let wrong = b.index[&BackendId(1)];
    b.start_attempt(at(4), RequestId(3), Some(wrong), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
}

/// What tried or closed backends leave goes to warm ones: a cold backend's chance does not grow.
#[test]
fn cold_servers_do_not_take_what_others_leave() {
    let mut b = balancer(4);
    let entries = vec![entry(0, EndpointState::Active, Some(at(900)))];
    b.handle(
        at(1000),
        Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints: entries,
        },
        &mut vec![],
    );
    let mut counts = [0u32; 4];
    for k in 0..20_000 {
        let id = RequestId(k);
        let mut actions = vec![];
        b.handle(at(1000), arrival(k, 0), &mut actions);
        let Some(r) = b.requests.get_mut(&id) else {
            continue;
        };
        for a in &mut r.attempts {
            (a.ended, a.backend) = (true, BackendId(1 + (k % 2) as u32));
        }
        if let Some(i) = b.pick_backend(at(1000), id, false) {
            counts[b.backends[i].id.0 as usize] += 1;
        }
        b.requests.remove(&id);
    }
    let i = b
        .ready
        .iter()
        .position(|&i| b.backends[i].id == BackendId(0))
        .expect("ready");
    let share = b.allocations[0].shares[i] / 4.0;
    assert!(share > 0.005, "{share}");
    assert!(
        (f64::from(counts[0]) / 20_000.0 - share).abs() < 0.005,
        "{counts:?} for {share}"
    );
}

/// Reports of load and requests held, but of no rate: the node cannot measure capacity.
fn blind() -> Balancer {
    let settings = Settings {
        throughput_reported: false,
        ..settings()
    };
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(40), &mut vec![]);
    b
}

/// O, split+mass: a cut, or backends slowed by their own load, left a node with two or three of its
/// few, which then took all its traffic and slowed down as well, while it knew of hundreds. Servers
/// that are closed make room for others among the few; once they answer well they are enough again.
/// The same holds for what cold ones can't take. Where reports tell load the few stay as they are:
/// with more of them a large fleet heard too little of each.
#[test]
fn closed_and_cold_servers_make_room_for_others() {
    let settings = Settings {
        throughput_reported: false,
        load_reporting: LoadReporting::Absent,
        ..settings()
    };
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(40), &mut vec![]);
    // The most backends dealt with, once it has settled, and those that are sent to.
    let settle = |b: &mut Balancer, from: u64, bad: &[BackendId]| {
        let (mut most, mut used) = (0.0f64, std::collections::BTreeSet::new());
        for k in 0..400 {
            let (now, id) = (at(from + k * 100), from + k);
            let Some(backend) = sent(b, now, id) else {
                continue;
            };
            let outcome = if bad.contains(&backend) {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            };
            let end = AttemptResult {
                request_closed: true,
                latency: ms(50),
                load_report: None,
                ..plain_end(id, backend, outcome)
            };
            b.handle(now, Event::AttemptEnded(end), &mut vec![]);
            if k >= 200 {
                most = most.max(b.allocations[0].eligible_backends);
                used.insert(backend);
            }
        }
        (most, used)
    };
    let (few, first) = settle(&mut b, 1, &[]);
    let bad: Vec<BackendId> = first.iter().copied().take(5).collect();
    let (more, used) = settle(&mut b, 100_000, &bad);
    assert!(more >= few + 3.0, "{more} of {few}");
    assert!(
        used.iter().any(|s| !first.contains(s)),
        "{used:?} of {first:?}"
    );
    assert_eq!(settle(&mut b, 300_000, &[]).0, few);
    let mut told = blind();
    let (few, first) = settle(&mut told, 1, &[]);
    let bad: Vec<BackendId> = first.iter().copied().take(5).collect();
    assert_eq!(settle(&mut told, 100_000, &bad).0, few);
    // All cold: each takes a part only.
    let mut cold = Balancer::new(b.settings.clone(), 7, at(0)).expect("sound settings");
    let entries = (0..40)
        .map(|s| entry(s, EndpointState::Active, Some(at(0))))
        .collect();
    cold.handle(
        at(0),
        Event::EndpointList {
            update: ListUpdate::Snapshot,
            endpoints: entries,
        },
        &mut vec![],
    );
    cold.handle(at(1), arrival(1, 0), &mut vec![]);
    assert!(
        cold.allocations[0].eligible_backends > 2.0 * LEAST_OPEN,
        "{}",
        cold.allocations[0].eligible_backends
    );
}

/// Where no report tells load, what an attempt meets does: it ends with the aim, beyond which its
/// answer earns nothing. Where a late answer earns something, or reports tell load, it may take as
/// long as the client waits.
#[test]
fn attempts_that_can_earn_nothing_more_end_where_nothing_else_tells_load() {
    let limit = |reports: LoadReporting, late_worth: f64| {
        let mut settings = Settings {
            throughput_reported: false,
            load_reporting: reports,
            ..settings()
        };
        settings.classes[0].late_weight = late_worth;
        let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
        b.handle(at(0), list(40), &mut vec![]);
        let mut actions = vec![];
        b.handle(at(5), arrival(1, 0), &mut actions);
        let Some(&Action::StartAttempt {
            backend,
            timeout: first,
            ..
        }) = actions.first()
        else {
            panic!("{actions:?}")
        };
        actions.clear();
        b.handle(
            at(105),
            ended(1, 0, backend, AttemptOutcome::ServerError, None),
            &mut actions,
        );
        let Some(&Action::StartAttempt {
            timeout: second, ..
        }) = actions.first()
        else {
            panic!("{actions:?}")
        };
        (first, second)
    };
    let aim = settings().classes[0].latency_objective;
    assert_eq!(
        limit(LoadReporting::Absent, 0.0),
        (Some(aim), Some(aim.checked_sub(ms(100)).unwrap())),
        "of the whole request, not of each attempt"
    );
    assert_eq!(
        limit(LoadReporting::Absent, 0.3),
        (Some(ms(1000)), Some(ms(900)))
    );
    assert_eq!(
        limit(LoadReporting::WithResponses, 0.0),
        (Some(ms(1000)), Some(ms(900)))
    );
}

/// Etichete big-1: every node opened connections to every backend, whose tables filled up, and
/// heard of each too rarely to price it. A node deals with few backends, by an order of its own,
/// and with more as it sends more.
#[test]
fn nodes_deal_with_as_many_servers_as_they_hear_of() {
    let mut b = blind();
    let dealt = |b: &mut Balancer, from: u64, gap: u64| {
        for k in 0..200 {
            // Answered at once: one that answers nothing would make room for others.
            let (now, id) = (at(from + k * gap), from + k);
            let backend = sent(b, now, id).expect("an idle backend");
            b.handle(
                now,
                Event::AttemptEnded(plain_end(id, backend, AttemptOutcome::Success)),
                &mut vec![],
            );
        }
        b.allocations[0].eligible_backends
    };
    let slow = dealt(&mut b, 1, 500);
    assert_eq!(slow, LEAST_OPEN);
    // Ten times as many requests: it hears of more backends in time.
    let fast = dealt(&mut b, 200_000, 50);
    assert!(fast > 2.0 * slow, "{fast}");
    let mut other = Balancer::new(b.settings.clone(), 8, at(0)).expect("sound settings");
    other.handle(at(0), list(40), &mut vec![]);
    let first = |b: &Balancer| {
        b.ready[..5]
            .iter()
            .map(|&i| b.backends[i].id)
            .collect::<Vec<_>>()
    };
    assert_ne!(first(&b), first(&other));
}

/// Etichete quiet: proofs preferred the fast backends, the only ones for bookings, and crowded
/// them.
#[test]
fn bound_classes_leave_less_speed_to_the_others() {
    let mut settings = Settings {
        endpoint_weights_given: true,
        ..settings()
    };
    settings.classes.truncate(2);
    settings.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0)]);
    let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(3), &mut vec![]);
    for m in &mut b.allocations {
        m.work = 0.01;
    }
    for k in 0..100 {
        b.handle(at(1 + 10 * k), arrival(k, (k % 2) as u8), &mut vec![]);
    }
    assert!(
        share(&b, 0, 0) < 0.1,
        "bookings fill it: {:?}",
        b.allocations[0].shares
    );
    assert!((share(&b, 1, 0) - 1.0).abs() < 1e-3);
    assert!((share(&b, 0, 1) - share(&b, 0, 2)).abs() < 0.1);
}

/// Incident ie8f519: backends slowed by their own load answered nothing in time and so reported
/// nothing. What the node's own attempts meet sheds arrivals, stays shed without news, and lets
/// them in again.
#[test]
fn attempts_that_meet_load_shed_arrivals() {
    let mut b = blind();
    let shed = |b: &mut Balancer, from: u64, outcome: AttemptOutcome| {
        for k in 0..100 {
            let id = from + k;
            let now = at(from + 20 * k);
            if let Some(backend) = sent(b, now, id) {
                let end = AttemptResult {
                    latency: ms(900),
                    ..plain_end(id, backend, outcome)
                };
                let quick = AttemptResult {
                    latency: ms(100),
                    ..end
                };
                let end = if outcome == AttemptOutcome::Success {
                    quick
                } else {
                    end
                };
                b.handle(now, Event::AttemptEnded(end), &mut vec![]);
            }
        }
        b.allocations[0].shed_fraction
    };
    assert_eq!(shed(&mut b, 0, AttemptOutcome::Success), 0.0);
    let most = shed(&mut b, 10_000, AttemptOutcome::TimedOut);
    assert!(most > 0.6, "{most}");
    b.solved = None;
    b.refresh_allocation(at(13_000));
    assert!(
        b.allocations[0].shed_fraction > 0.8 * most,
        "no news leaves it"
    );
    let mut after = most;
    for round in 0..5 {
        after = shed(&mut b, 20_000 + 3000 * round, AttemptOutcome::Success);
    }
    assert!(after < 0.1, "{after}");
}

/// Incident inc3539: a report of a request or two waiting counted as that many capacities of load,
/// so that half-idle backends were dear and most arrivals were shed. What waits counts by the time
/// that it takes.
#[test]
fn a_short_queue_at_a_half_idle_server_sheds_nothing() {
    let shed = |waiting: f64| {
        let mut b = blind();
        b.latency = 0.05;
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = sent(&mut b, now, k) else {
                continue;
            };
            let end = plain_end(k, backend, AttemptOutcome::Success);
            let report = Some(LoadReport {
                queue_depth: Some(waiting),
                ..report(0.5, 0.0)
            });
            b.handle(
                now,
                Event::AttemptEnded(AttemptResult {
                    latency: ms(50),
                    load_report: report,
                    ..end
                }),
                &mut vec![],
            );
        }
        b.allocations[0].shed_fraction
    };
    assert_eq!(shed(2.0), 0.0);
    assert!(
        shed(30.0) > 0.5,
        "a queue as long as the aim is an overload"
    );
}

/// Where no report tells load an answer's time is all that speaks, and by the time that it takes
/// the whole aim the backends are long past what they can do: arrivals are shed before that. A
/// report that tells of room is believed.
#[test]
fn without_reports_slow_answers_shed_before_they_take_the_aim() {
    let shed = |reports: LoadReporting, part: f64| {
        let settings = Settings {
            throughput_reported: false,
            load_reporting: reports,
            ..settings()
        };
        let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
        b.handle(at(0), list(40), &mut vec![]);
        let latency = Duration::from_secs_f64(b.latency_objective(ClassId(0), None) * part);
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = sent(&mut b, now, k) else {
                continue;
            };
            let told = (reports != LoadReporting::Absent).then(|| report(0.5, 0.0));
            let end = AttemptResult {
                latency,
                load_report: told,
                ..plain_end(k, backend, AttemptOutcome::Success)
            };
            b.handle(now, Event::AttemptEnded(end), &mut vec![]);
        }
        b.allocations[0].shed_fraction
    };
    assert!(
        shed(LoadReporting::Absent, 0.65) > 0.6,
        "{}",
        shed(LoadReporting::Absent, 0.65)
    );
    assert!(
        shed(LoadReporting::Absent, 0.3) > 0.1,
        "{}",
        shed(LoadReporting::Absent, 0.3)
    );
    assert_eq!(shed(LoadReporting::Absent, 0.15), 0.0);
    assert_eq!(shed(LoadReporting::WithResponses, 0.85), 0.0);
}

/// Incident inc5571: with 0.85 as the most, half of the tries were shed by backends that turned
/// nobody away and answered in time. Arrivals are shed where busy part and wait together are more
/// than a whole capacity.
#[test]
fn busy_servers_that_answer_in_time_shed_nothing() {
    let shed = |busy: f64, waiting: f64| {
        let mut b = blind();
        b.latency = 0.05;
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = sent(&mut b, now, k) else {
                continue;
            };
            let report = Some(LoadReport {
                queue_depth: Some(waiting),
                ..report(busy, 0.0)
            });
            let end = AttemptResult {
                latency: ms(50),
                load_report: report,
                ..plain_end(k, backend, AttemptOutcome::Success)
            };
            b.handle(now, Event::AttemptEnded(end), &mut vec![]);
        }
        b.allocations[0].shed_fraction
    };
    assert_eq!(shed(0.95, 0.0), 0.0);
    assert!(
        shed(1.0, 4.0) > 0.3,
        "saturated and half the aim of waiting: {}",
        shed(1.0, 4.0)
    );
}

/// Incident inc5571: refused clients were told to wait 1.2 s, the longest that any would, where an
/// answer counts for 150 ms and the client itself waits for 840 ms: those that kept to it came back
/// for nothing.
#[test]
fn refused_clients_are_told_to_come_back_in_time() {
    let advised = |shed: f64, max_wait| {
        let mut b = blind();
        (b.settings.max_retry_after, b.latency) = (max_wait, 0.05);
        for k in 0..100 {
            b.allocations[0].shed_fraction = shed;
            let mut actions = vec![];
            b.handle(at(20 * k), arrival(k, 0), &mut actions);
            if let Some(Action::Reject {
                retry_after: wait, ..
            }) = actions.pop()
            {
                return wait;
            }
        }
        unreachable!("something is refused")
    };
    let (light, heavy) = (advised(0.2, Some(ms(1000))), advised(0.9, Some(ms(1000))));
    let aim = blind().settings.classes[0].latency_objective;
    assert!(
        Some(ms(50)) <= light && light < heavy && heavy <= Some(aim),
        "{light:?} {heavy:?}"
    );
    assert_eq!(
        advised(0.9, Some(ms(100))),
        Some(ms(100)),
        "no longer than the site has it"
    );
    assert_eq!(advised(0.9, None), None);
}

/// Incident inc3826: cores seen busy for one short report counted as half as much again, though the
/// same report said that nothing waited. The guess is for reports that don't tell.
#[test]
fn busy_cores_with_nothing_waiting_are_no_overload() {
    let load = |waiting| {
        let mut b = blind();
        b.record_load_report(
            at(0),
            BackendId(3),
            &LoadReport {
                queue_depth: waiting,
                ..report(1.0, 0.0)
            },
        );
        b.backends[b.index[&BackendId(3)]].load
    };
    assert_eq!(load(Some(0.0)), Some(1.0));
    assert_eq!(load(None), Some(1.0 + EXCESS));
}

/// Incident inc5571: a tenant's rate counted the tries by which its refused clients came back, up
/// to 4.9 times its quota, so that it was worth less for each refusal and refused the more.
#[test]
fn a_tenant_whose_clients_come_back_is_not_worth_less() {
    let tenants = vec![
        Tenant {
            quota_per_second: 60.0,
        },
        Tenant {
            quota_per_second: 60.0,
        },
    ];
    let mut b = Balancer::new(
        Settings {
            tenants,
            nodes: 1,
            ..blind().settings
        },
        7,
        at(0),
    )
    .expect("sound");
    b.handle(at(0), list(40), &mut vec![]);
    // Both are let in at the same rate; the second comes three times more, and is turned away.
    for k in 0..250u64 {
        for (n, (tenant, remaining)) in [(0, 1000), (1, 1000), (1, 0), (1, 0), (1, 0)]
            .into_iter()
            .enumerate()
        {
            let id = 5 * k + n as u64;
            let Event::RequestArrived(a) = arrival(id, 0) else {
                unreachable!("an arrival")
            };
            let a = RequestArrival {
                tenant: TenantId(tenant),
                remaining: ms(remaining),
                ..a
            };
            let mut actions = vec![];
            b.handle(at(20 * k), Event::RequestArrived(a), &mut actions);
            let Some(Action::StartAttempt { backend, .. }) = actions.pop() else {
                continue;
            };
            let end = AttemptResult {
                latency: ms(50),
                ..plain_end(id, backend, AttemptOutcome::Success)
            };
            b.handle(at(20 * k), Event::AttemptEnded(end), &mut vec![]);
        }
    }
    let worth = |b: &mut Balancer, tenant| b.worth(at(5000), ClassId(0), TenantId(tenant));
    assert_eq!(worth(&mut b, 0), worth(&mut b, 1));
}

fn plain_end(id: u64, backend: BackendId, outcome: AttemptOutcome) -> AttemptResult {
    let report = (outcome == AttemptOutcome::Success).then(|| report(0.3, 0.0));
    let Event::AttemptEnded(end) = ended(id, 0, backend, outcome, report) else {
        unreachable!("an end")
    };
    end
}

/// Etichete big-1-small: reports lag by most of a second, and a node with much of the traffic chose
/// the busier backends. What it has out itself beyond the usual makes a backend dearer at once.
#[test]
fn own_attempts_out_count_before_reports_do() {
    let mut b = blind();
    for k in 0..60 {
        let backend = sent(&mut b, at(k * 20), k).expect("sent");
        b.handle(
            at(k * 20 + 10),
            ended(k, 0, backend, AttemptOutcome::Success, None),
            &mut vec![],
        );
    }
    let held = b.backends[b.ready[0]].id;
    let i = b.index[&held];
    b.solved = None;
    b.refresh_allocation(at(1200));
    let before = share(&b, 0, held.0);
    b.backends[i].in_flight = vec![at(1200); 3];
    b.solved = None;
    b.refresh_allocation(at(1200));
    assert!(
        share(&b, 0, held.0) < 0.7 * before,
        "{} from {before}",
        share(&b, 0, held.0)
    );
}

/// Incident inc3539: shares were solved once in 50 ms, in which a node sends a dozen requests and
/// more, and all of them followed what it had out before the first: they filled one backend, while
/// others idled.
#[test]
fn requests_of_one_tick_do_not_gather_on_one_server() {
    let mut b = blind();
    b.handle(at(0), list(8), &mut vec![]);
    for k in 0..100 {
        let backend = sent(&mut b, at(50 * k), k).expect("sent");
        b.handle(
            at(50 * k),
            ended(k, 0, backend, AttemptOutcome::Success, None),
            &mut vec![],
        );
    }
    let cheap = b.ready[0];
    b.ready[1..]
        .iter()
        .for_each(|&i| b.backends[i].price = b.backends[cheap].price + 0.6);
    for k in 0..20 {
        sent(&mut b, at(5000), 100 + k);
    }
    assert!(
        (2..=8).contains(&b.backends[cheap].in_flight.len()),
        "{} of 20",
        b.backends[cheap].in_flight.len()
    );
}

/// Incident ia21743: new connections failed, open ones served on, and backends that nobody reached
/// looked idle to probes. A backend without an open connection is dearer, and later, by how often
/// new ones fail.
#[test]
fn open_connections_count_where_new_ones_fail() {
    let mut b = blind();
    b.refresh_allocation(at(0));
    let (near, far) = (b.backends[b.ready[0]].id, b.backends[b.ready[1]].id);
    let k = b.index[&near];
    b.backends[k].connected = Some(at(0));
    b.solved = None;
    b.refresh_allocation(at(50));
    assert!(
        (share(&b, 0, near.0) - share(&b, 0, far.0)).abs() < 1e-3,
        "as long as new ones succeed"
    );
    for id in 0..40 {
        if let Some(backend) = sent(&mut b, at(60), id).filter(|s| *s != near) {
            b.handle(
                at(61),
                ended(id, 0, backend, AttemptOutcome::ConnectFailed, None),
                &mut vec![],
            );
        }
    }
    assert!(b.connect_failure_fraction > 0.9);
    for s in &mut b.backends {
        (s.price, s.in_flight) = (0.0, vec![]);
    }
    b.solved = None;
    b.refresh_allocation(at(200));
    assert!(
        share(&b, 0, near.0) > 3.0 * share(&b, 0, far.0),
        "{:?}",
        b.allocations[0].shares
    );
    // Once the connection has surely closed it is as far as the others.
    b.refresh_allocation(at(70_000));
    let (near, far) = (share(&b, 0, near.0), share(&b, 0, far.0));
    assert!(
        b.connect_failure_fraction < 0.1 && near < 2.0 * far,
        "{} {near} {far} {:?}",
        b.connect_failure_fraction,
        b.allocations[0].shares
    );
}

/// The design on the ordinary path, for a small and a large fleet: prices move by the projected
/// step on the reported load, draws follow the solved shares, and the work for a request is
/// bounded: shares are solved once a tick.
#[test]
fn the_ordinary_path_follows_prices_and_shares() {
    for backends in [6u32, 300] {
        let settings = Settings {
            nodes: 1,
            endpoint_weights_given: true,
            ..settings()
        };
        let mut b = Balancer::new(settings, 7, at(0)).expect("sound settings");
        b.handle(at(0), list(backends), &mut vec![]);
        let (mut drawn, mut meant) = (vec![0.0; backends as usize], vec![0.0; backends as usize]);
        let (mut solved, mut last) = (0, None);
        for k in 0..40_000u64 {
            let now = at(k / 4);
            for s in 0..backends {
                if k % 400 == 0 {
                    b.record_load_report(
                        now,
                        BackendId(s),
                        &report(0.4 + 0.4 * f64::from(s % 2), 1000.0),
                    );
                }
            }
            let backend = sent(&mut b, now, k).expect("nothing is refused");
            solved += u32::from(std::mem::replace(&mut last, b.solved) != b.solved);
            drawn[backend.0 as usize] += 1.0;
            for (&i, share) in b.ready.iter().zip(&b.allocations[0].shares) {
                meant[b.backends[i].id.0 as usize] += share / f64::from(backends);
            }
            b.handle(
                now,
                ended(k, 0, backend, AttemptOutcome::Success, None),
                &mut vec![],
            );
        }
        // Ten seconds of ticks, however many requests and backends.
        assert!(solved <= 201, "{solved} solutions for {backends} backends");
        for s in 0..backends as usize {
            let noise = 5.0 * meant[s].sqrt() + 5.0;
            assert!(
                (drawn[s] - meant[s]).abs() < noise,
                "backend {s}: {} for {}",
                drawn[s],
                meant[s]
            );
        }
        let price = |s: u32| b.backends[b.index[&BackendId(s)]].price;
        assert!(
            price(1) > 0.05 && price(0) == 0.0,
            "{} {}",
            price(1),
            price(0)
        );
    }
}

/// A client may take seconds to send a large body. Meanwhile nothing is out at the backend: it
/// grows neither dear nor loaded, and the request's time has not begun. When it had, one upload in
/// four shed the rest of the traffic.
#[test]
fn a_request_that_is_still_coming_counts_from_its_last_byte() {
    let mut b = balancer(4);
    let mut actions = vec![];
    let Event::RequestArrived(a) = arrival(1, 0) else {
        unreachable!()
    };
    b.handle(
        at(0),
        Event::RequestArrived(RequestArrival {
            body_pending: true,
            ..a
        }),
        &mut actions,
    );
    let Some(Action::StartAttempt { backend, .. }) = actions.pop() else {
        panic!("{actions:?}")
    };
    let i = b.index[&backend];
    let price = b.backends[i].price;
    b.update_price(i, at(5000));
    assert!(b.backends[i].in_flight.is_empty() && b.backends[i].price <= price);
    b.handle(
        at(5000),
        Event::RequestBodyReceived { request: a.request },
        &mut actions,
    );
    assert_eq!(b.backends[i].in_flight, [at(5000)]);
    // Its first backend turns it away at once: there is all the time for another.
    b.handle(
        at(5001),
        ended(1, 0, backend, AttemptOutcome::Rejected, None),
        &mut actions,
    );
    assert!(
        matches!(actions[..], [Action::StartAttempt { .. }]),
        "{actions:?}"
    );
    assert!(b.backends[i].in_flight.is_empty());
}

/// How long a large answer takes to pass on is the client's doing.
#[test]
fn a_passed_on_answer_counts_by_its_first_bytes() {
    let blind = Settings {
        throughput_reported: false,
        ..settings()
    };
    let mut b = Balancer::new(blind, 7, at(0)).expect("sound settings");
    b.handle(at(0), list(4), &mut vec![]);
    let backend = sent(&mut b, at(0), 1).expect("a backend");
    b.handle(
        at(20),
        Event::ResponseStarted {
            request: RequestId(1),
            attempt: 0,
            latency: ms(20),
        },
        &mut vec![],
    );
    let Event::AttemptEnded(end) = ended(1, 0, backend, AttemptOutcome::Success, None) else {
        unreachable!()
    };
    let end = AttemptResult {
        latency: ms(30_000),
        request_closed: true,
        ..end
    };
    b.handle(at(30_000), Event::AttemptEnded(end), &mut vec![]);
    assert_eq!(b.allocations[0].shed_fraction, 0.0);
    assert!(b.requests.is_empty());
}

/// A cold backend is idle because its bound keeps requests from it. Were it cheap for that, all
/// would rush it once it is warm: where backends were put back one of ten drew nine tenths of the
/// requests.
#[test]
fn a_cold_server_grows_no_cheaper_than_the_others() {
    let mut b = balancer(4);
    let i = b.index[&BackendId(1)];
    let warm = b.settings.protocol_limits.slow_start_duration;
    b.backends[i].started = Some(at(0));
    (b.traffic_weighted_price, b.mean_load) = (1.0, 1.0);
    b.backends[i].price = 1.0;
    for tick in 0..warm.as_millis() as u64 / 100 {
        b.record_load_report(at(tick * 100), BackendId(1), &report(0.05, 10.0));
    }
    assert!(b.backends[i].price >= 1.0, "{}", b.backends[i].price);
    // Once it is warm its price follows its load.
    let later = at(warm.as_millis() as u64 + 100);
    b.record_load_report(later, BackendId(1), &report(0.05, 10.0));
    b.update_price(i, later + ms(400));
    assert!(b.backends[i].price < 1.0);
}
