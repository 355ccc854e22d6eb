//! Tests of the way of requests through the balancer.

use super::*;
use crate::estimators::LatencyQuantile;
use crate::test_common::{
    at, attempt_ended, endpoint_snapshot, load_report, ms, request, request_arrived, settings,
};
use crate::test_support::{
    active_backends, balancer_of, balancer_with, send_request, set_shed_fraction, shed_fraction,
    state_of, unknown_capacity_settings, update_price,
};
use crate::{AttemptOutcome, AttemptResult, BackendId, LoadReporting};

/// Where a late response earns something, or load is reported, an attempt may take as long as the
/// client waits.
#[test]
fn attempts_end_with_the_objective_where_no_load_is_reported() {
    let limit = |reports: LoadReporting, late_worth: f64| {
        let mut settings = Settings {
            throughput_reported: false,
            load_reporting: reports,
            ..settings()
        };
        settings.classes[0].late_weight = late_worth;
        let mut balancer = balancer_with(settings, 40);
        let mut actions = vec![];
        balancer.handle(at(5), request_arrived(1, 0), &mut actions);
        let Some(&Action::StartAttempt {
            backend,
            timeout: first,
            ..
        }) = actions.first()
        else {
            panic!("{actions:?}")
        };
        actions.clear();
        balancer.handle(
            at(105),
            attempt_ended(1, 0, backend, AttemptOutcome::ServerError, None),
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

/// A response to a client that comes back later would no longer count.
#[test]
fn retry_after_lies_within_the_latency_objective() {
    let advised = |shed: f64, max_wait| {
        let settings = Settings {
            max_retry_after: max_wait,
            ..unknown_capacity_settings()
        };
        let mut balancer = balancer_with(settings, 40);
        balancer.fleet.typical_latency = LatencyQuantile::new(0.05);
        for k in 0..100 {
            set_shed_fraction(&mut balancer, shed);
            let mut actions = vec![];
            balancer.handle(at(20 * k), request_arrived(k, 0), &mut actions);
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
    let aim = settings().classes[0].latency_objective;
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

/// Prices move by the projected step on the reported load, draws follow the solved shares, and
/// shares are solved once per price interval, in a small and in a large fleet.
#[test]
fn the_ordinary_path_follows_prices_and_shares() {
    for backends in [6u32, 300] {
        let settings = Settings {
            nodes: 1,
            endpoint_weights_given: true,
            ..settings()
        };
        let mut balancer = balancer_with(settings, backends);
        let (mut drawn, mut meant) = (vec![0.0; backends as usize], vec![0.0; backends as usize]);
        let (mut solved, mut last) = (0, None);
        for k in 0..40_000u64 {
            let now = at(k / 4);
            for s in 0..backends {
                if k % 400 == 0 {
                    balancer.fleet.record_load_report(
                        now,
                        BackendId(s),
                        &load_report(0.4 + 0.4 * f64::from(s % 2), 1000.0),
                    );
                }
            }
            let backend = send_request(&mut balancer, now, k).expect("nothing is refused");
            solved += u32::from(
                std::mem::replace(&mut last, balancer.allocation.refreshed_at)
                    != balancer.allocation.refreshed_at,
            );
            drawn[backend.0 as usize] += 1.0;
            for (id, share) in active_backends(&balancer)
                .iter()
                .zip(&balancer.allocation.classes[0].shares)
            {
                meant[id.0 as usize] += share / f64::from(backends);
            }
            balancer.handle(
                now,
                attempt_ended(k, 0, backend, AttemptOutcome::Success, None),
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
        let price = |s: u32| state_of(&balancer, BackendId(s)).price;
        assert!(
            price(1) > 0.05 && price(0) == 0.0,
            "{} {}",
            price(1),
            price(0)
        );
    }
}

/// A client may take seconds to send a large body. Meanwhile nothing is in flight at the backend:
/// it grows neither expensive nor loaded, and the request's time has not begun.
#[test]
fn a_request_with_a_pending_body_counts_from_its_last_byte() {
    let mut balancer = balancer_of(4);
    let mut actions = vec![];
    let a = request(1, 0);
    balancer.handle(
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
    let i = backend;
    let price = state_of(&balancer, i).price;
    update_price(&mut balancer, i, at(5000));
    assert!(state_of(&balancer, i).in_flight.is_empty() && state_of(&balancer, i).price <= price);
    balancer.handle(
        at(5000),
        Event::RequestBodyReceived { request: a.request },
        &mut actions,
    );
    assert_eq!(state_of(&balancer, i).in_flight, [at(5000)]);
    // Its first backend turns it away at once: there is all the time for another.
    balancer.handle(
        at(5001),
        attempt_ended(1, 0, backend, AttemptOutcome::Rejected, None),
        &mut actions,
    );
    assert!(
        matches!(actions[..], [Action::StartAttempt { .. }]),
        "{actions:?}"
    );
    assert!(state_of(&balancer, i).in_flight.is_empty());
}

/// How long a large response takes to stream is up to the client.
#[test]
fn a_streamed_response_counts_by_its_first_bytes() {
    let blind = Settings {
        throughput_reported: false,
        ..settings()
    };
    let mut balancer = Balancer::new(blind, 7, at(0)).expect("sound settings");
    balancer.handle(at(0), endpoint_snapshot(4), &mut vec![]);
    let backend = send_request(&mut balancer, at(0), 1).expect("a backend");
    balancer.handle(
        at(20),
        Event::ResponseStarted {
            request: RequestId(1),
            attempt: 0,
            latency: ms(20),
        },
        &mut vec![],
    );
    let Event::AttemptEnded(end) = attempt_ended(1, 0, backend, AttemptOutcome::Success, None)
    else {
        unreachable!()
    };
    let end = AttemptResult {
        latency: ms(30_000),
        request_closed: true,
        ..end
    };
    balancer.handle(at(30_000), Event::AttemptEnded(end), &mut vec![]);
    assert_eq!(shed_fraction(&balancer), 0.0);
    assert!(balancer.requests.is_empty());
}
