//! Tests of what warming backends are given.

use super::*;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, request, request_arrived, settings,
};
use crate::test_support::{balancer_with, send_request, share, state_of};
use crate::{
    Action, BackendId, Balancer, EndpointState, Event, ListUpdate, RequestArrival, Settings,
};
use std::time::Duration;

/// Many nodes together: the intake of a warming backend stays far below its limit from its first
/// second on.
#[test]
fn many_nodes_together_do_not_overload_a_warming_backend() {
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
    for balancer in &mut all {
        balancer.handle(at(0), endpoint_snapshot(backends), &mut vec![]);
        let entries = vec![endpoint(0, EndpointState::Active, Some(started))];
        balancer.handle(
            started,
            endpoint_list(ListUpdate::Delta, entries),
            &mut vec![],
        );
    }
    // Each node sends once every 1/rate of 50 ms; warm peers take total / backends a second.
    let (mut id, mut cold) = (0, vec![]);
    for tick in 0..400u64 {
        let now = at(1000 + tick * 10);
        for balancer in &mut all {
            id += 1;
            if send_request(balancer, now, id) == Some(BackendId(0)) {
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

/// The bound follows a backend's speed, and stays within what it can do by then.
#[test]
fn the_bound_of_a_warming_backend_follows_its_speed() {
    let settings = Settings {
        endpoint_weights_given: true,
        throughput_reported: false,
        ..settings()
    };
    let (fall, rules) = (
        settings.protocol_limits.overload_multiple,
        settings.protocol_limits.clone(),
    );
    let mut balancer = balancer_with(settings, 5);
    for k in 0..40u64 {
        balancer
            .fleet
            .record_response(at(k), BackendId(0), 0.02, Some(0.02));
        balancer
            .fleet
            .record_response(at(k), BackendId(1), 0.04, Some(0.02));
    }
    let entries = [3, 4]
        .map(|s| endpoint(s, EndpointState::Active, Some(at(90))))
        .to_vec();
    balancer.handle(
        at(100),
        endpoint_list(ListUpdate::Delta, entries),
        &mut vec![],
    );
    (0..20).for_each(|k| balancer.handle(at(100 + 50 * k), request_arrived(k, 0), &mut vec![]));
    let (fast, slow) = (share(&balancer, 0, 3), share(&balancer, 0, 4));
    assert!(fast > 1.5 * slow && slow > 0.0, "{fast} and {slow}");
    let available_capacity = state_of(&balancer, BackendId(3)).available_capacity(&rules, at(1050));
    assert!(
        fast <= MAX_RELATIVE_SPEED * available_capacity * 1.01
            && fast < 0.5 * fall * available_capacity,
        "{fast} at {available_capacity}"
    );
}

/// A limit without a duration binds nobody: a fleet of warming backends serves all the same.
#[test]
fn without_an_overload_duration_warming_backends_serve() {
    let mut settings = settings();
    settings.protocol_limits.overload_duration = Duration::ZERO;
    let mut balancer = Balancer::new(settings, 7, at(0)).expect("sound settings");
    let Event::EndpointList {
        update,
        endpoints: mut entries,
    } = endpoint_snapshot(3)
    else {
        panic!("a list")
    };
    entries.iter_mut().for_each(|e| e.started_at = Some(at(1)));
    balancer.handle(at(1), endpoint_list(update, entries), &mut vec![]);
    let mut actions = vec![];
    for k in 0..50 {
        let a = request(k, 0);
        balancer.handle(
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
