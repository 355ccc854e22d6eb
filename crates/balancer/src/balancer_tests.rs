//! Tests of a request's life cycle: attempts and their timeouts, rejections, bodies that are still
//! being received, and streamed responses.

use super::*;
use crate::test_common::{
    at, attempt_ended, handle, load_report, ms, request, request_arrived, settings,
};
use crate::test_support::{
    active_backends, backend_state, balancer_with, balancer_with_backends, end_attempt,
    record_load_report, send_request, set_shed_fraction, set_typical_latency, shares,
    shed_fraction, unknown_capacity_settings, update_price,
};
use crate::{AttemptOutcome, AttemptResult, BackendId, LoadReporting};

/// Returns the backend and the timeout of the attempt that the first action starts; panics if the
/// first action is another one.
fn started_attempt(actions: &[Action]) -> (BackendId, Option<Duration>) {
    let Some(&Action::StartAttempt {
        backend, timeout, ..
    }) = actions.first()
    else {
        panic!("{actions:?}")
    };
    (backend, timeout)
}

/// Without load reports, an attempt that outlasts the latency objective is the only sign that its
/// backend is overloaded. Where a late response earns something, or load is reported, an attempt
/// may take as long as the client waits.
#[test]
fn attempts_time_out_at_the_objective_where_no_load_is_reported() {
    let timeouts = |load_reporting, late_weight| {
        let mut settings = Settings {
            load_reporting,
            ..unknown_capacity_settings()
        };
        settings.classes[0].late_weight = late_weight;
        let mut balancer = balancer_with(settings, 40);
        let actions = handle(&mut balancer, at(5), request_arrived(1, 0));
        let (backend, first_timeout) = started_attempt(&actions);
        let outcome = AttemptOutcome::ServerError;
        let actions = end_attempt(&mut balancer, at(105), 1, backend, outcome);
        let (_, second_timeout) = started_attempt(&actions);
        [first_timeout, second_timeout]
    };
    let objective = settings().classes[0].latency_objective;
    assert_eq!(
        timeouts(LoadReporting::Absent, 0.0),
        [Some(objective), objective.checked_sub(ms(100))],
        "the objective of the whole request, not of each attempt"
    );
    let as_long_as_the_client_waits = [Some(ms(1000)), Some(ms(900))];
    assert_eq!(
        timeouts(LoadReporting::Absent, 0.3),
        as_long_as_the_client_waits
    );
    assert_eq!(
        timeouts(LoadReporting::WithResponses, 0.0),
        as_long_as_the_client_waits
    );
}

/// Returns the Retry-After of the first rejection while `shed_fraction` of the arrivals is shed.
fn retry_after(shed_fraction: f64, max_retry_after: Option<Duration>) -> Option<Duration> {
    let settings = Settings {
        max_retry_after,
        ..unknown_capacity_settings()
    };
    let mut balancer = balancer_with(settings, 40);
    set_typical_latency(&mut balancer, ms(50));
    for id in 0..100 {
        set_shed_fraction(&mut balancer, shed_fraction);
        let actions = handle(&mut balancer, at(20 * id), request_arrived(id, 0));
        if let Some(Action::Reject { retry_after, .. }) = actions.last() {
            return *retry_after;
        }
    }
    unreachable!("no request of 100 was rejected")
}

/// If a client came back later than the latency objective, its response would no longer count.
#[test]
fn retry_after_lies_within_the_latency_objective() {
    let objective = settings().classes[0].latency_objective;
    let light = retry_after(0.2, Some(ms(1000)));
    let heavy = retry_after(0.9, Some(ms(1000)));
    assert!(
        Some(ms(50)) <= light && light < heavy && heavy <= Some(objective),
        "{light:?} {heavy:?}"
    );
    assert_eq!(
        retry_after(0.9, Some(ms(100))),
        Some(ms(100)),
        "no longer than the settings allow"
    );
    assert_eq!(retry_after(0.9, None), None);
}

/// Prices move by the projected dual step on the reported load, draws follow the solved shares, and
/// shares are solved once per price interval, in a small and in a large fleet.
#[test]
fn draws_follow_prices_and_shares_solved_once_per_interval() {
    for backends in [6u32, 300] {
        let settings = Settings {
            nodes: 1,
            endpoint_weights_given: true,
            ..settings()
        };
        let mut balancer = balancer_with(settings, backends);
        let mut drawn = vec![0.0; backends as usize];
        let mut expected = vec![0.0; backends as usize];
        let (mut solutions, mut last_refresh) = (0, None);
        for id in 0..40_000u64 {
            let now = at(id / 4);
            if id % 400 == 0 {
                for backend in 0..backends {
                    let report = load_report(0.4 + 0.4 * f64::from(backend % 2), 1000.0);
                    record_load_report(&mut balancer, now, BackendId(backend), &report);
                }
            }
            let backend = send_request(&mut balancer, now, id).expect("nothing is rejected");
            drawn[backend.0 as usize] += 1.0;
            let refreshed_at = balancer.allocation.refreshed_at;
            if refreshed_at != last_refresh {
                solutions += 1;
                last_refresh = refreshed_at;
            }
            for (active, share) in active_backends(&balancer).iter().zip(shares(&balancer, 0)) {
                expected[active.0 as usize] += share / f64::from(backends);
            }
            end_attempt(&mut balancer, now, id, backend, AttemptOutcome::Success);
        }
        // One solution per price interval of 50 ms over 10 s, however many requests and backends.
        assert!(
            solutions <= 201,
            "{solutions} solutions of the shares for {backends} backends"
        );
        for (backend, (drawn, expected)) in drawn.iter().zip(&expected).enumerate() {
            let noise = 5.0 * expected.sqrt() + 5.0;
            assert!(
                (drawn - expected).abs() < noise,
                "backend {backend}: {drawn} draws, {expected} expected"
            );
        }
        let [idle, busy] = [0, 1].map(|id| backend_state(&balancer, BackendId(id)).price);
        assert!(busy > 0.05 && idle == 0.0, "{busy} {idle}");
    }
}

/// A client may take seconds to send a large body. Meanwhile nothing counts as in flight at the
/// backend: neither its price nor its load rises, and the request's time has not begun.
#[test]
fn a_request_with_a_pending_body_counts_from_its_last_byte() {
    let mut balancer = balancer_with_backends(4);
    let arrival = RequestArrival {
        body_pending: true,
        ..request(1, 0)
    };
    let actions = handle(&mut balancer, at(0), Event::RequestArrived(arrival));
    let (id, _) = started_attempt(&actions);
    let price = backend_state(&balancer, id).price;
    update_price(&mut balancer, id, at(5000));
    let backend = backend_state(&balancer, id);
    assert!(backend.in_flight.is_empty() && backend.price <= price);
    let body_received = Event::RequestBodyReceived {
        request: arrival.request,
    };
    assert_eq!(handle(&mut balancer, at(5000), body_received), []);
    assert_eq!(backend_state(&balancer, id).in_flight, [at(5000)]);
    // The first backend rejects the request 1 ms later, so nearly all of its time is left for a
    // retry.
    let actions = end_attempt(&mut balancer, at(5001), 1, id, AttemptOutcome::Rejected);
    assert!(
        matches!(actions[..], [Action::StartAttempt { .. }]),
        "{actions:?}"
    );
    assert!(backend_state(&balancer, id).in_flight.is_empty());
}

/// How long a large response takes to stream depends on the client, so only the time to its first
/// bytes may move the shed fraction.
#[test]
fn a_streamed_response_counts_with_its_time_to_first_bytes() {
    let mut balancer = balancer_with(unknown_capacity_settings(), 4);
    let backend = send_request(&mut balancer, at(0), 1).expect("a backend");
    let response_started = Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
        latency: ms(20),
    };
    handle(&mut balancer, at(20), response_started);
    let ended = attempt_ended(1, 0, backend, AttemptOutcome::Success, None);
    let Event::AttemptEnded(result) = ended else {
        unreachable!("the end of an attempt")
    };
    let result = AttemptResult {
        latency: ms(30_000),
        request_closed: true,
        ..result
    };
    handle(&mut balancer, at(30_000), Event::AttemptEnded(result));
    assert_eq!(shed_fraction(&balancer), 0.0);
    assert!(balancer.requests.is_empty());
}
