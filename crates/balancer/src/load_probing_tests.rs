//! Tests of the choice of a backend by load probes.

use super::*;
use crate::test_common::{at, endpoint_snapshot, load_report, ms, settings};
use crate::{
    Action, AttemptOutcome, Balancer, ClassId, Event, LoadReport, RequestArrival, TenantId,
};

#[test]
fn the_idlest_candidate_is_chosen_and_hopeless_requests_are_rejected() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let probed = |held: &dyn Fn(usize) -> f64| {
        let mut balancer = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        balancer.handle(at(0), endpoint_snapshot(8), &mut actions);
        let work = Some(ms(100));
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        balancer.handle(
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
        assert_eq!(asked.len(), CANDIDATES_PER_REQUEST);
        actions.clear();
        for (k, backend) in asked.iter().enumerate() {
            let report = Some(LoadReport {
                in_flight: Some(held(k)),
                ..load_report(0.5, 0.0)
            });
            let p = LoadProbeResult {
                backend: *backend,
                outcome: AttemptOutcome::Success,
                latency: ms(1),
                load_report: report,
            };
            balancer.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
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

/// An estimated wait is an average, and a response that is late by a little is worth nothing. A
/// request's own work is no such estimate: at an idle backend a heavy one can be in time.
#[test]
fn estimated_waits_count_for_more_than_own_work() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let aim = probing.classes[1].latency_objective;
    let decided = |work: Duration, held: f64| {
        let mut balancer = Balancer::new(probing.clone(), 5, at(0)).expect("sound settings");
        let mut actions = vec![];
        balancer.handle(at(0), endpoint_snapshot(3), &mut actions);
        let (request, class, tenant) = (RequestId(1), ClassId(1), TenantId(0));
        let arrival = RequestArrival {
            request,
            class,
            tenant,
            remaining: 2 * aim,
            work: Some(work),
            body_pending: false,
        };
        balancer.handle(at(1), Event::RequestArrived(arrival), &mut actions);
        actions.clear();
        for backend in 0..3 {
            let report = Some(LoadReport {
                in_flight: Some(held),
                ..load_report(0.5, 0.0)
            });
            let p = LoadProbeResult {
                backend: BackendId(backend),
                outcome: AttemptOutcome::Success,
                latency: ms(1),
                load_report: report,
            };
            balancer.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
        }
        actions
    };
    let sent = |work, held| matches!(decided(work, held)[..], [Action::StartAttempt { .. }]);
    assert!(sent(aim.mul_f64(0.95), 0.0));
    assert!(sent(aim / 10, 7.0));
    assert!(!sent(aim / 10, 8.5));
}

/// What the node itself has sent since an answer is not in it and must be counted in, or all
/// requests of a moment would go to one backend.
#[test]
fn backends_that_answered_recently_are_not_probed_again() {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        ..settings()
    };
    let mut balancer = Balancer::new(probing, 5, at(0)).expect("sound settings");
    let mut actions = vec![];
    balancer.handle(at(0), endpoint_snapshot(3), &mut actions);
    let arrive = |balancer: &mut Balancer, now, id| {
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
        balancer.handle(now, Event::RequestArrived(arrival), &mut actions);
        actions
    };
    let probes = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::SendLoadProbe { .. }))
            .count()
    };
    assert_eq!(probes(&arrive(&mut balancer, at(1), 1)), 3);
    assert_eq!(probes(&arrive(&mut balancer, at(1), 2)), 0, "asked already");
    actions.clear();
    for backend in 0..3 {
        let report = Some(LoadReport {
            in_flight: Some(0.0),
            ..load_report(0.1, 0.0)
        });
        let p = LoadProbeResult {
            backend: BackendId(backend),
            outcome: AttemptOutcome::Success,
            latency: ms(1),
            load_report: report,
        };
        balancer.handle(at(2), Event::LoadProbeEnded(p), &mut actions);
    }
    actions.extend(arrive(&mut balancer, at(3), 3));
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
        probes(&arrive(&mut balancer, at(3000), 4)),
        3,
        "heard too long ago"
    );
}
