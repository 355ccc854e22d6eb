//! Tests of the price step, of load reports and of failures.

use super::*;
use crate::test_common::{at, attempt_ended, endpoint, endpoint_list, load_report, ms};
use crate::test_support::{
    balancer_of, balancer_of_unknown_capacity, send_request, share, state_of, state_of_mut,
    update_price,
};
use crate::{BackendId, EndpointState, ListUpdate};

#[test]
fn price_follows_the_projected_step() {
    let mut balancer = balancer_of(4);
    balancer.fleet.pricing.mean_load = 1.0;
    balancer
        .fleet
        .record_load_report(at(0), BackendId(1), &load_report(0.8, 10.0));
    balancer
        .fleet
        .record_load_report(at(0), BackendId(2), &load_report(0.1, 10.0));
    let i = BackendId(1);
    update_price(&mut balancer, i, at(200));
    assert!((state_of(&balancer, i).price - STEP_SIZE * 0.2 * (0.8 - TARGET_LOAD)).abs() < 1e-9);
    let k = BackendId(2);
    update_price(&mut balancer, k, at(200));
    assert_eq!(state_of(&balancer, k).price, 0.0, "projected at zero");
    // A report moves the price for its life only.
    balancer.fleet.pricing.traffic_weighted_price = state_of(&balancer, i).price;
    update_price(&mut balancer, i, at(600));
    let price = state_of(&balancer, i).price;
    balancer.fleet.pricing.traffic_weighted_price = price;
    update_price(&mut balancer, i, at(5000));
    assert!((state_of(&balancer, i).price - price).abs() < 1e-9);
}

#[test]
fn new_backends_start_at_the_mean_price() {
    let mut balancer = balancer_of(2);
    balancer.fleet.pricing.mean_price = 0.4;
    let entries = vec![endpoint(9, EndpointState::Active, None)];
    balancer.handle(
        at(1),
        endpoint_list(ListUpdate::Delta, entries),
        &mut vec![],
    );
    assert_eq!(state_of(&balancer, BackendId(9)).price, 0.4);
}

/// A backend that fails fast reports little load; its failures must make it expensive all the same.
#[test]
fn a_backend_that_fails_fast_grows_expensive() {
    let mut balancer = balancer_of(4);
    for s in 0..4 {
        balancer
            .fleet
            .record_load_report(at(0), BackendId(s), &load_report(0.5, 10.0));
    }
    balancer.refresh_allocation(at(50));
    let i = BackendId(2);
    let before = share(&balancer, 0, 2);
    balancer.record_failure(at(60), BackendId(2), AttemptOutcome::ServerError);
    balancer.record_failure(at(60), BackendId(2), AttemptOutcome::ServerError);
    balancer.refresh_allocation(at(120));
    assert!(state_of(&balancer, i).price > 0.9);
    assert!(
        share(&balancer, 0, 2) < 0.2 * before,
        "{:?}",
        balancer.allocation.classes[0].shares
    );
}

/// A backend is as expensive as the fraction of its responses that fail.
#[test]
fn a_rare_failure_does_not_close_its_backend() {
    let mut balancer = balancer_of(4);
    for k in 0..100u64 {
        for s in 0..4 {
            balancer
                .fleet
                .record_load_report(at(k), BackendId(s), &load_report(0.5, 10.0));
            balancer
                .fleet
                .record_response(at(k), BackendId(s), 0.05, None);
        }
    }
    balancer.refresh_allocation(at(150));
    let before = share(&balancer, 0, 2);
    balancer.record_failure(at(160), BackendId(2), AttemptOutcome::ConnectionReset);
    balancer.refresh_allocation(at(220));
    assert!(
        share(&balancer, 0, 2) > 0.8 * before,
        "{:?}",
        balancer.allocation.classes[0].shares
    );
    assert!(
        state_of(&balancer, BackendId(2)).reported.load.is_some(),
        "its load still counts"
    );
    for _ in 0..8 {
        balancer.record_failure(at(230), BackendId(2), AttemptOutcome::ConnectionReset);
    }
    balancer.refresh_allocation(at(300));
    assert!(
        share(&balancer, 0, 2) < 0.2 * before,
        "failing on and on closes it: {:?}",
        balancer.allocation.classes[0].shares
    );
}

/// A hung backend reports nothing: its oldest unanswered attempt makes it expensive.
#[test]
fn a_hung_backend_grows_expensive_until_it_answers() {
    let mut balancer = balancer_of(4);
    let hung = send_request(&mut balancer, at(0), 1).expect("sent");
    let i = hung;
    update_price(&mut balancer, i, at(3000));
    let dear = state_of(&balancer, i).price;
    assert!(dear > 0.5, "{dear}");
    // Once it is answered the price drifts back: no lasting avoidance.
    balancer.handle(
        at(3000),
        attempt_ended(1, 0, hung, AttemptOutcome::Success, None),
        &mut vec![],
    );
    for k in 0..400 {
        update_price(&mut balancer, i, at(3000 + 50 * k));
    }
    assert!(state_of(&balancer, i).price < 0.1);
}

/// That a saturated backend has excess load is a guess, for reports that tell no queue depth.
#[test]
fn full_utilization_with_an_empty_queue_is_no_overload() {
    let load = |waiting| {
        let mut balancer = balancer_of_unknown_capacity();
        balancer.fleet.record_load_report(
            at(0),
            BackendId(3),
            &LoadReport {
                queue_depth: waiting,
                ..load_report(1.0, 0.0)
            },
        );
        state_of(&balancer, BackendId(3)).reported.load
    };
    assert_eq!(load(Some(0.0)), Some(1.0));
    assert_eq!(load(None), Some(1.0 + EXCESS_LOAD));
}

/// A warming backend is idle because its share is bounded. If it were cheap for that, it would be
/// overloaded once it is warm.
#[test]
fn a_warming_backend_grows_no_cheaper_than_the_others() {
    let mut balancer = balancer_of(4);
    let i = BackendId(1);
    let warm = balancer.settings.protocol_limits.slow_start_duration;
    state_of_mut(&mut balancer, i).started_at = Some(at(0));
    balancer.fleet.pricing.traffic_weighted_price = 1.0;
    balancer.fleet.pricing.mean_load = 1.0;
    state_of_mut(&mut balancer, i).price = 1.0;
    for tick in 0..warm.as_millis() as u64 / 100 {
        balancer
            .fleet
            .record_load_report(at(tick * 100), BackendId(1), &load_report(0.05, 10.0));
    }
    assert!(
        state_of(&balancer, i).price >= 1.0,
        "{}",
        state_of(&balancer, i).price
    );
    // Once it is warm its price follows its load.
    let later = at(warm.as_millis() as u64 + 100);
    balancer
        .fleet
        .record_load_report(later, BackendId(1), &load_report(0.05, 10.0));
    update_price(&mut balancer, i, later + ms(400));
    assert!(state_of(&balancer, i).price < 1.0);
}
