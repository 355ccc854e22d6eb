//! Tests of load shedding, priority weights and quotas.

use super::*;
use crate::estimators::LatencyQuantile;
use crate::test_common::{at, endpoint_snapshot, load_report, ms, request, settings};
use crate::test_support::{
    attempt_result, balancer_of, balancer_of_unknown_capacity, balancer_with, refresh_now,
    send_request, set_shed_fraction, shed_fraction,
};
use crate::{
    Action, AttemptOutcome, AttemptResult, Balancer, Event, Idempotency, LoadReport,
    RequestArrival, Tenant,
};
use std::time::Duration;

#[test]
fn shedding_rejects_low_weights_first() {
    let mut balancer = balancer_of(2);
    for weight in [1.0, 1.0, 10.0, 10.0] {
        balancer
            .admission
            .group_mut(ClassId(0))
            .record_arrival(ClassId(0), weight);
    }
    balancer.admission.set_thresholds(0, 0.3);
    let turned = |w: f64| balancer.admission.shed_probability(ClassId(0), w);
    assert!(turned(1.0) > 3.0 * turned(10.0));
    assert!((f64::midpoint(turned(1.0), turned(10.0)) - 0.3).abs() < 0.02);
    balancer.admission.set_thresholds(0, 0.0);
    assert_eq!(
        (
            balancer.admission.group(ClassId(0)).shed_threshold,
            balancer.admission.shed_probability(ClassId(0), 0.01)
        ),
        (0.0, 0.0)
    );
}

/// What is admitted goes to all classes alike for the most part; over the rest priority weight
/// decides, and no more is admitted for that.
#[test]
fn no_class_is_shed_entirely_for_the_others() {
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
        let mut balancer = balancer_with(settings, 40);
        let (mut asked, mut let_in) = ([0.0; 3], [0.0; 3]);
        for k in 0..6000u64 {
            let class = [0, 1, 0, 2, 0, 1, 0, 1, 0, 1][k as usize % 10];
            set_shed_fraction(&mut balancer, refused);
            balancer.allocation.invalidate();
            let mut actions = vec![];
            let a = request(k, class);
            balancer.handle(at(k), Event::RequestArrived(a), &mut actions);
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

/// Backends slowed by their own load may answer nothing in time and so report nothing. What the
/// node's own attempts meet sheds arrivals, which stays without news, and lets them in again.
#[test]
fn attempts_that_meet_load_shed_arrivals() {
    let mut balancer = balancer_of_unknown_capacity();
    let shed = |balancer: &mut Balancer, from: u64, outcome: AttemptOutcome| {
        for k in 0..100 {
            let id = from + k;
            let now = at(from + 20 * k);
            if let Some(backend) = send_request(balancer, now, id) {
                let end = AttemptResult {
                    latency: ms(900),
                    ..attempt_result(id, backend, outcome)
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
                balancer.handle(now, Event::AttemptEnded(end), &mut vec![]);
            }
        }
        shed_fraction(balancer)
    };
    assert_eq!(shed(&mut balancer, 0, AttemptOutcome::Success), 0.0);
    let most = shed(&mut balancer, 10_000, AttemptOutcome::TimedOut);
    assert!(most > 0.6, "{most}");
    refresh_now(&mut balancer, at(13_000));
    assert!(shed_fraction(&balancer) > 0.8 * most, "no news leaves it");
    let mut after = most;
    for round in 0..5 {
        after = shed(
            &mut balancer,
            20_000 + 3000 * round,
            AttemptOutcome::Success,
        );
    }
    assert!(after < 0.1, "{after}");
}

/// What waits counts by the time that it takes.
#[test]
fn a_short_queue_at_a_half_idle_backend_sheds_nothing() {
    let shed = |waiting: f64| {
        let mut balancer = balancer_of_unknown_capacity();
        balancer.fleet.typical_latency = LatencyQuantile::new(0.05);
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = send_request(&mut balancer, now, k) else {
                continue;
            };
            let end = attempt_result(k, backend, AttemptOutcome::Success);
            let report = Some(LoadReport {
                queue_depth: Some(waiting),
                ..load_report(0.5, 0.0)
            });
            balancer.handle(
                now,
                Event::AttemptEnded(AttemptResult {
                    latency: ms(50),
                    load_report: report,
                    ..end
                }),
                &mut vec![],
            );
        }
        shed_fraction(&balancer)
    };
    assert_eq!(shed(2.0), 0.0);
    assert!(
        shed(30.0) > 0.5,
        "a queue as long as the aim is an overload"
    );
}

/// Where no load is reported a response's latency is all that tells it, and by the time that it
/// reaches the objective the backends are overloaded. A report that tells of capacity is believed.
#[test]
fn without_reports_slow_responses_shed_before_they_reach_the_objective() {
    let shed = |reports: LoadReporting, part: f64| {
        let settings = Settings {
            throughput_reported: false,
            load_reporting: reports,
            ..settings()
        };
        let mut balancer = balancer_with(settings, 40);
        let latency = Duration::from_secs_f64(
            balancer.settings.class(ClassId(0)).objective_seconds(None) * part,
        );
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = send_request(&mut balancer, now, k) else {
                continue;
            };
            let told = (reports != LoadReporting::Absent).then(|| load_report(0.5, 0.0));
            let end = AttemptResult {
                latency,
                load_report: told,
                ..attempt_result(k, backend, AttemptOutcome::Success)
            };
            balancer.handle(now, Event::AttemptEnded(end), &mut vec![]);
        }
        shed_fraction(&balancer)
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

/// Arrivals are shed where utilization and waiting together are more than a whole capacity.
#[test]
fn busy_backends_that_answer_in_time_shed_nothing() {
    let shed = |busy: f64, waiting: f64| {
        let mut balancer = balancer_of_unknown_capacity();
        balancer.fleet.typical_latency = LatencyQuantile::new(0.05);
        for k in 0..200 {
            let now = at(20 * k);
            let Some(backend) = send_request(&mut balancer, now, k) else {
                continue;
            };
            let report = Some(LoadReport {
                queue_depth: Some(waiting),
                ..load_report(busy, 0.0)
            });
            let end = AttemptResult {
                latency: ms(50),
                load_report: report,
                ..attempt_result(k, backend, AttemptOutcome::Success)
            };
            balancer.handle(now, Event::AttemptEnded(end), &mut vec![]);
        }
        shed_fraction(&balancer)
    };
    assert_eq!(shed(0.95, 0.0), 0.0);
    assert!(
        shed(1.0, 4.0) > 0.3,
        "saturated and half the aim of waiting: {}",
        shed(1.0, 4.0)
    );
}

#[test]
fn rejected_clients_that_come_back_do_not_lower_their_tenants_weight() {
    let tenants = vec![
        Tenant {
            quota_per_second: 60.0,
        },
        Tenant {
            quota_per_second: 60.0,
        },
    ];
    let mut balancer = Balancer::new(
        Settings {
            tenants,
            nodes: 1,
            ..(*balancer_of_unknown_capacity().settings).clone()
        },
        7,
        at(0),
    )
    .expect("sound");
    balancer.handle(at(0), endpoint_snapshot(40), &mut vec![]);
    // Both are let in at the same rate; the second comes three times more, and is turned away.
    for k in 0..250u64 {
        for (n, (tenant, remaining)) in [(0, 1000), (1, 1000), (1, 0), (1, 0), (1, 0)]
            .into_iter()
            .enumerate()
        {
            let id = 5 * k + n as u64;
            let a = request(id, 0);
            let a = RequestArrival {
                tenant: TenantId(tenant),
                remaining: ms(remaining),
                ..a
            };
            let mut actions = vec![];
            balancer.handle(at(20 * k), Event::RequestArrived(a), &mut actions);
            let Some(Action::StartAttempt { backend, .. }) = actions.pop() else {
                continue;
            };
            let end = AttemptResult {
                latency: ms(50),
                ..attempt_result(id, backend, AttemptOutcome::Success)
            };
            balancer.handle(at(20 * k), Event::AttemptEnded(end), &mut vec![]);
        }
    }
    let worth = |balancer: &mut Balancer, tenant| {
        balancer
            .admission
            .record_arrival(at(5000), ClassId(0), TenantId(tenant))
    };
    assert_eq!(worth(&mut balancer, 0), worth(&mut balancer, 1));
}
