//! Tests of load shedding, priority weights and tenant quotas.

use super::*;
use crate::test_common::{at, handle, load_report, ms, request};
use crate::test_support::{
    attempt_result, attempted_backend, balancer_of_unknown_capacity, balancer_with,
    balancer_with_backends, refresh_now, send_request, set_shed_fraction, set_typical_latency,
    shed_fraction, unknown_capacity_settings, unreported_load_settings,
};
use crate::{
    Action, AttemptOutcome, AttemptResult, Balancer, Event, Idempotency, LoadReport,
    RequestArrival, Tenant,
};
use std::time::Duration;

/// Sends `count` requests, one every 20 ms; each attempt ends immediately with the given outcome,
/// latency and load report. Returns the shed fraction after the last of them. `first_request` is
/// both the id of the first request and the time of its arrival in milliseconds.
fn shed_after(
    balancer: &mut Balancer,
    first_request: u64,
    count: u64,
    outcome: AttemptOutcome,
    latency: Duration,
    load_report: Option<LoadReport>,
) -> f64 {
    for position in 0..count {
        let id = first_request + position;
        let now = at(first_request + 20 * position);
        if let Some(backend) = send_request(balancer, now, id) {
            let result = AttemptResult {
                latency,
                load_report,
                ..attempt_result(id, backend, outcome)
            };
            handle(balancer, now, Event::AttemptEnded(result));
        }
    }
    shed_fraction(balancer)
}

#[test]
fn shedding_rejects_low_weights_first() {
    let mut balancer = balancer_with_backends(2);
    let admission = &mut balancer.admission;
    let class = ClassId(0);
    for weight in [1.0, 1.0, 10.0, 10.0] {
        admission.group_mut(class).record_arrival(class, weight);
    }
    admission.set_thresholds(0, 0.3);
    let low = admission.shed_probability(class, 1.0);
    let high = admission.shed_probability(class, 10.0);
    assert!(low > 3.0 * high);
    assert!((f64::midpoint(low, high) - 0.3).abs() < 0.02);
    admission.set_thresholds(0, 0.0);
    assert_eq!(admission.group(class).shed_threshold, 0.0);
    assert_eq!(admission.shed_probability(class, 0.01), 0.0);
}

/// Most of the admitted traffic goes to all classes alike; priority weight decides about the rest.
/// The total that is admitted stays the same.
#[test]
fn no_class_is_shed_entirely_for_the_others() {
    const CLASS_OF_REQUEST: [u8; 10] = [0, 1, 0, 2, 0, 1, 0, 1, 0, 1];
    for shed_fraction in [0.2, 0.4, 0.6, 0.8] {
        let mut settings = unreported_load_settings();
        settings.classes.truncate(3);
        for (class, weight) in settings.classes.iter_mut().zip([1.0, 2.0, 10.0]) {
            class.idempotency = Idempotency::Idempotent;
            class.priority_weight = weight;
        }
        let mut balancer = balancer_with(settings, 40);
        let (mut arrived, mut admitted) = ([0.0; 3], [0.0; 3]);
        for id in 0..6000u64 {
            let class = CLASS_OF_REQUEST[id as usize % CLASS_OF_REQUEST.len()];
            set_shed_fraction(&mut balancer, shed_fraction);
            balancer.allocation.invalidate();
            let event = Event::RequestArrived(request(id, class));
            let actions = handle(&mut balancer, at(id), event);
            arrived[usize::from(class)] += 1.0;
            if let [Action::StartAttempt { .. }] = actions[..] {
                admitted[usize::from(class)] += 1.0;
            }
        }
        let overall = admitted.iter().sum::<f64>() / arrived.iter().sum::<f64>();
        let [low, middle, high] = [0, 1, 2].map(|class| admitted[class] / arrived[class]);
        assert!(
            (overall - (1.0 - shed_fraction)).abs() < 0.03,
            "{overall} at {shed_fraction}"
        );
        assert!(
            low > 0.62 * overall,
            "{low} of {overall} at {shed_fraction}"
        );
        assert!(
            low < middle && middle < high,
            "weight still decides: {low} {middle} {high}"
        );
    }
}

/// Backends that are slowed by their own load may answer no request in time and so report no load.
/// Arrivals are then shed by the outcomes of this node's own attempts. The shed fraction hardly
/// changes while no attempt ends, and falls again once attempts succeed in time.
#[test]
fn attempts_at_loaded_backends_shed_arrivals() {
    let mut balancer = balancer_of_unknown_capacity();
    let answer_in_time = |balancer: &mut Balancer, first_request| {
        let report = Some(load_report(0.3, 0.0));
        let success = AttemptOutcome::Success;
        shed_after(balancer, first_request, 100, success, ms(100), report)
    };
    assert_eq!(answer_in_time(&mut balancer, 0), 0.0);
    let timed_out = AttemptOutcome::TimedOut;
    let peak = shed_after(&mut balancer, 10_000, 100, timed_out, ms(900), None);
    assert!(peak > 0.6, "{peak}");
    refresh_now(&mut balancer, at(13_000));
    assert!(
        shed_fraction(&balancer) > 0.8 * peak,
        "without further attempts it stays"
    );
    let mut after = peak;
    for round in 0..5 {
        after = answer_in_time(&mut balancer, 20_000 + 3000 * round);
    }
    assert!(after < 0.1, "{after}");
}

/// Returns the shed fraction after 200 responses, each with a latency of 50 ms and a report of this
/// utilization and queue depth.
fn shed_with_reports(utilization: f64, queue_depth: f64) -> f64 {
    let mut balancer = balancer_of_unknown_capacity();
    set_typical_latency(&mut balancer, ms(50));
    let report = LoadReport {
        queue_depth: Some(queue_depth),
        ..load_report(utilization, 0.0)
    };
    let success = AttemptOutcome::Success;
    shed_after(&mut balancer, 0, 200, success, ms(50), Some(report))
}

/// Waiting requests count towards the load by the time that it takes to serve them.
#[test]
fn a_short_queue_at_a_half_idle_backend_sheds_nothing() {
    assert_eq!(shed_with_reports(0.5, 2.0), 0.0);
    assert!(
        shed_with_reports(0.5, 30.0) > 0.5,
        "a queue that takes longer than the objective is an overload"
    );
}

/// Arrivals are shed where utilization and waiting requests together exceed a backend's capacity.
#[test]
fn busy_backends_that_answer_in_time_shed_nothing() {
    assert_eq!(shed_with_reports(0.95, 0.0), 0.0);
    let overloaded = shed_with_reports(1.0, 4.0);
    assert!(
        overloaded > 0.3,
        "full utilization and a queue that takes half the objective: {overloaded}"
    );
}

/// Where no load is reported, the latency of responses is the only sign of it, and once latency
/// reaches the objective the backends are overloaded already. Reports that indicate spare capacity
/// are believed: beside them a latency below the objective sheds nothing.
#[test]
fn without_reports_slow_responses_shed_before_they_reach_the_objective() {
    let shed = |load_reporting: LoadReporting, latency_in_objectives: f64| {
        let settings = Settings {
            load_reporting,
            ..unknown_capacity_settings()
        };
        let objective = settings.classes[0].latency_objective.as_secs_f64();
        let latency = Duration::from_secs_f64(objective * latency_in_objectives);
        let has_reports = load_reporting != LoadReporting::Absent;
        let report = has_reports.then(|| load_report(0.5, 0.0));
        let mut balancer = balancer_with(settings, 40);
        let success = AttemptOutcome::Success;
        shed_after(&mut balancer, 0, 200, success, latency, report)
    };
    let slow = shed(LoadReporting::Absent, 0.65);
    assert!(slow > 0.6, "{slow}");
    let slower_than_usual = shed(LoadReporting::Absent, 0.3);
    assert!(slower_than_usual > 0.1, "{slower_than_usual}");
    assert_eq!(shed(LoadReporting::Absent, 0.15), 0.0);
    assert_eq!(shed(LoadReporting::WithResponses, 0.85), 0.0);
}

#[test]
fn rejected_clients_that_come_back_do_not_lower_their_tenants_weight() {
    /// Remaining time of a request that is admitted.
    const SERVED: Duration = ms(1000);
    /// Remaining time of a request that is rejected since its deadline has passed.
    const REJECTED: Duration = Duration::ZERO;
    /// Arrivals of each round. Both tenants are admitted at the same rate; the second sends three
    /// more requests, which are rejected.
    const ARRIVALS: [(TenantId, Duration); 5] = [
        (TenantId(0), SERVED),
        (TenantId(1), SERVED),
        (TenantId(1), REJECTED),
        (TenantId(1), REJECTED),
        (TenantId(1), REJECTED),
    ];
    let tenant = Tenant {
        quota_per_second: 60.0,
    };
    let settings = Settings {
        tenants: vec![tenant.clone(), tenant],
        nodes: 1,
        ..unknown_capacity_settings()
    };
    let mut balancer = balancer_with(settings, 40);
    for round in 0..250u64 {
        let now = at(20 * round);
        for (id, (tenant, remaining)) in (5 * round..).zip(ARRIVALS) {
            let arrival = RequestArrival {
                tenant,
                remaining,
                ..request(id, 0)
            };
            let actions = handle(&mut balancer, now, Event::RequestArrived(arrival));
            let Some(backend) = actions.last().and_then(attempted_backend) else {
                continue;
            };
            let result = AttemptResult {
                latency: ms(50),
                ..attempt_result(id, backend, AttemptOutcome::Success)
            };
            handle(&mut balancer, now, Event::AttemptEnded(result));
        }
    }
    let mut weight_of = |tenant| {
        let admission = &mut balancer.admission;
        admission.record_arrival(at(5000), ClassId(0), TenantId(tenant))
    };
    assert_eq!(weight_of(0), weight_of(1));
}
