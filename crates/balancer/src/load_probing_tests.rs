//! Tests of load probing: which backends are probed, and which candidate receives the attempt.

use super::*;
use crate::test_common::{at, endpoint_snapshot, handle, load_report, ms, request, settings};
use crate::test_support::{attempted_backend, is_rejection};
use crate::{Action, AttemptOutcome, Balancer, Event, LoadReport, RequestArrival, Time};

/// Position of the class whose requests are not idempotent.
const CLASS: u8 = 1;
/// Work of a request that can be in time at a backend with little load.
const WORK: Duration = ms(100);

/// A balancer with this many active backends, which report load only to load probes.
fn probing_balancer(backends: u32) -> Balancer {
    let settings = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let mut balancer = Balancer::new(settings, 5, at(0)).expect("valid settings");
    handle(&mut balancer, at(0), endpoint_snapshot(backends));
    balancer
}

/// Handles the arrival of a request with this work, whose client waits for 900 ms.
fn arrive(balancer: &mut Balancer, now: Time, id: u64, work: Duration) -> Vec<Action> {
    let arrival = RequestArrival {
        remaining: ms(900),
        work: Some(work),
        ..request(id, CLASS)
    };
    handle(balancer, now, Event::RequestArrived(arrival))
}

/// Returns the backends to which load probes are sent.
fn probed_backends(actions: &[Action]) -> Vec<BackendId> {
    let probed = actions.iter().filter_map(|action| match action {
        Action::SendLoadProbe { backend } => Some(*backend),
        _ => None,
    });
    probed.collect()
}

/// A load report of utilization and requests in flight.
fn report_with(utilization: f64, in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        ..load_report(utilization, 0.0)
    }
}

/// Handles a successful answer to a load probe, at 2 ms.
fn answer_probe(balancer: &mut Balancer, backend: BackendId, report: LoadReport) -> Vec<Action> {
    let result = LoadProbeResult {
        backend,
        outcome: AttemptOutcome::Success,
        latency: ms(1),
        load_report: Some(report),
    };
    handle(balancer, at(2), Event::LoadProbeEnded(result))
}

/// Sends one request, answers each of its load probes with the requests in flight that `in_flight`
/// gives for its position, and returns the probed backends and the actions that follow.
fn probe_all(in_flight: impl Fn(usize) -> f64) -> (Vec<BackendId>, Vec<Action>) {
    let mut balancer = probing_balancer(8);
    let probed = probed_backends(&arrive(&mut balancer, at(1), 1, WORK));
    assert_eq!(probed.len(), CANDIDATES_PER_REQUEST);
    let mut actions = vec![];
    for (position, &backend) in probed.iter().enumerate() {
        let report = report_with(0.5, in_flight(position));
        actions.extend(answer_probe(&mut balancer, backend, report));
    }
    (probed, actions)
}

#[test]
fn the_least_loaded_candidate_is_chosen_and_late_requests_are_rejected() {
    let (probed, actions) = probe_all(|position| if position == 3 { 0.0 } else { 2.0 });
    assert!(
        matches!(actions[..], [Action::StartAttempt { backend, .. }] if backend == probed[3]),
        "{actions:?}"
    );
    let (_, actions) = probe_all(|_| 9.0);
    assert!(is_rejection(&actions), "{actions:?}");
}

/// An estimated wait is an average: the actual one may be longer, and a response that is only a
/// little late earns nothing, so the estimate is extended. A request's own work is not an estimate:
/// at an idle backend a heavy request can be in time.
#[test]
fn estimated_waits_are_extended_but_own_work_is_not() {
    let objective = settings().classes[usize::from(CLASS)].latency_objective;
    let is_sent = |work: Duration, in_flight: f64| {
        let mut balancer = probing_balancer(3);
        let arrival = RequestArrival {
            remaining: 2 * objective,
            work: Some(work),
            ..request(1, CLASS)
        };
        handle(&mut balancer, at(1), Event::RequestArrived(arrival));
        let mut actions = vec![];
        for backend in 0..3 {
            let report = report_with(0.5, in_flight);
            actions.extend(answer_probe(&mut balancer, BackendId(backend), report));
        }
        matches!(actions[..], [Action::StartAttempt { .. }])
    };
    assert!(is_sent(objective.mul_f64(0.95), 0.0));
    assert!(is_sent(objective / 10, 7.0));
    assert!(!is_sent(objective / 10, 8.5));
}

/// An answer does not include the attempts that this node has started since. Unless they are added
/// to it, all requests of the same moment go to one backend.
#[test]
fn backends_that_answered_recently_are_not_probed_again() {
    let mut balancer = probing_balancer(3);
    let first = arrive(&mut balancer, at(1), 1, WORK);
    assert_eq!(probed_backends(&first).len(), 3);
    let second = arrive(&mut balancer, at(1), 2, WORK);
    assert_eq!(
        probed_backends(&second).len(),
        0,
        "probes are in flight already"
    );
    let mut actions = vec![];
    for backend in 0..3 {
        let report = report_with(0.1, 0.0);
        actions.extend(answer_probe(&mut balancer, BackendId(backend), report));
    }
    actions.extend(arrive(&mut balancer, at(3), 3, WORK));
    let mut used: Vec<_> = actions.iter().filter_map(attempted_backend).collect();
    used.sort();
    assert_eq!(used, [0, 1, 2].map(BackendId), "{actions:?}");
    let late = arrive(&mut balancer, at(3000), 4, WORK);
    assert_eq!(probed_backends(&late).len(), 3, "the answers are too old");
}
