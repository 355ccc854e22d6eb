//! Tests of how the dual step, load reports and failures change prices.

use super::*;
use crate::test_common::{at, endpoint, load_report, ms};
use crate::test_support::{
    backend_state, backend_state_mut, balancer_of_unknown_capacity, balancer_with_backends,
    change_endpoints, end_attempt, record_load_report, record_response, send_request, share,
    shares, update_price,
};
use crate::{BackendId, EndpointState};

#[test]
fn price_follows_the_projected_step() {
    let (busy, idle) = (BackendId(1), BackendId(2));
    let mut balancer = balancer_with_backends(4);
    balancer.fleet.pricing.mean_load = 1.0;
    record_load_report(&mut balancer, at(0), busy, &load_report(0.8, 10.0));
    record_load_report(&mut balancer, at(0), idle, &load_report(0.1, 10.0));
    update_price(&mut balancer, busy, at(200));
    let price = backend_state(&balancer, busy).price;
    assert!((price - STEP_SIZE * 0.2 * (0.8 - TARGET_LOAD)).abs() < 1e-9);
    update_price(&mut balancer, idle, at(200));
    assert_eq!(
        backend_state(&balancer, idle).price,
        0.0,
        "projected at zero"
    );
    // A load report moves the price only for the lifetime of reports.
    balancer.fleet.pricing.traffic_weighted_price = price;
    update_price(&mut balancer, busy, at(600));
    let price = backend_state(&balancer, busy).price;
    balancer.fleet.pricing.traffic_weighted_price = price;
    update_price(&mut balancer, busy, at(5000));
    assert!((backend_state(&balancer, busy).price - price).abs() < 1e-9);
}

#[test]
fn new_backends_start_at_the_mean_price() {
    let mut balancer = balancer_with_backends(2);
    balancer.fleet.pricing.mean_price = 0.4;
    let added = endpoint(9, EndpointState::Active, None);
    change_endpoints(&mut balancer, at(1), vec![added]);
    assert_eq!(backend_state(&balancer, BackendId(9)).price, 0.4);
}

/// A backend that fails fast reports a low load; its failures must make it expensive all the same.
#[test]
fn a_backend_that_fails_fast_grows_expensive() {
    let failing = BackendId(2);
    let mut balancer = balancer_with_backends(4);
    for id in 0..4 {
        record_load_report(&mut balancer, at(0), BackendId(id), &load_report(0.5, 10.0));
    }
    balancer.refresh_allocation(at(50));
    let before = share(&balancer, 0, failing);
    balancer.record_failure(at(60), failing, AttemptOutcome::ServerError);
    balancer.record_failure(at(60), failing, AttemptOutcome::ServerError);
    balancer.refresh_allocation(at(120));
    assert!(backend_state(&balancer, failing).price > 0.9);
    assert!(
        share(&balancer, 0, failing) < 0.2 * before,
        "{:?}",
        shares(&balancer, 0)
    );
}

/// Failures raise a backend's price in proportion to the fraction of its responses that fail: a
/// rare one hardly changes its share, repeated ones bring it near 0.
#[test]
fn a_rare_failure_barely_reduces_a_backends_share() {
    let failing = BackendId(2);
    let mut balancer = balancer_with_backends(4);
    for time in 0..100u64 {
        for id in (0..4).map(BackendId) {
            record_load_report(&mut balancer, at(time), id, &load_report(0.5, 10.0));
            record_response(&mut balancer, at(time), id, 0.05, None);
        }
    }
    balancer.refresh_allocation(at(150));
    let before = share(&balancer, 0, failing);
    balancer.record_failure(at(160), failing, AttemptOutcome::ConnectionReset);
    balancer.refresh_allocation(at(220));
    assert!(
        share(&balancer, 0, failing) > 0.8 * before,
        "{:?}",
        shares(&balancer, 0)
    );
    assert!(
        backend_state(&balancer, failing).reported.load.is_some(),
        "its reported load still counts"
    );
    for _ in 0..8 {
        balancer.record_failure(at(230), failing, AttemptOutcome::ConnectionReset);
    }
    balancer.refresh_allocation(at(300));
    assert!(
        share(&balancer, 0, failing) < 0.2 * before,
        "repeated failures reduce its share: {:?}",
        shares(&balancer, 0)
    );
}

/// A hung backend sends no load reports: its oldest attempt without a response makes it expensive.
#[test]
fn a_hung_backend_grows_expensive_until_it_answers() {
    let mut balancer = balancer_with_backends(4);
    let hung = send_request(&mut balancer, at(0), 1).expect("sent");
    update_price(&mut balancer, hung, at(3000));
    let price = backend_state(&balancer, hung).price;
    assert!(price > 0.5, "{price}");
    // Once it responds, its price drifts back so that it is not avoided for long.
    end_attempt(&mut balancer, at(3000), 1, hung, AttemptOutcome::Success);
    for interval in 0..400 {
        update_price(&mut balancer, hung, at(3000 + 50 * interval));
    }
    assert!(backend_state(&balancer, hung).price < 0.1);
}

/// A saturated backend is assumed to have excess load only where its report gives no queue depth.
#[test]
fn full_utilization_with_an_empty_queue_is_no_overload() {
    let load_with = |queue_depth| {
        let mut balancer = balancer_of_unknown_capacity();
        let report = LoadReport {
            queue_depth,
            ..load_report(1.0, 0.0)
        };
        record_load_report(&mut balancer, at(0), BackendId(3), &report);
        backend_state(&balancer, BackendId(3)).reported.load
    };
    assert_eq!(load_with(Some(0.0)), Some(1.0));
    assert_eq!(load_with(None), Some(1.0 + EXCESS_LOAD));
}

/// A warming backend is idle because its share is bounded. If its price fell for that reason, it
/// would be overloaded once it is warm.
#[test]
fn a_warming_backend_grows_no_cheaper_than_the_others() {
    let warming = BackendId(1);
    let report = load_report(0.05, 10.0);
    let mut balancer = balancer_with_backends(4);
    let slow_start = balancer.settings.protocol_limits.slow_start_duration;
    let slow_start_ms = slow_start.as_millis() as u64;
    balancer.fleet.pricing.traffic_weighted_price = 1.0;
    balancer.fleet.pricing.mean_load = 1.0;
    let backend = backend_state_mut(&mut balancer, warming);
    backend.started_at = Some(at(0));
    backend.price = 1.0;
    for time in (0..slow_start_ms).step_by(100) {
        record_load_report(&mut balancer, at(time), warming, &report);
    }
    let price = backend_state(&balancer, warming).price;
    assert!(price >= 1.0, "{price}");
    // Once the backend is warm, its price follows its load.
    let later = at(slow_start_ms + 100);
    record_load_report(&mut balancer, later, warming, &report);
    update_price(&mut balancer, warming, later + ms(400));
    assert!(backend_state(&balancer, warming).price < 1.0);
}
