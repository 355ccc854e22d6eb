//! Tests of the traffic that warming and probably warm backends are given.

use super::*;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, handle, ms, request, request_arrived, settings,
};
use crate::test_support::{
    attempted_backend, backend_state, balancer_with, change_endpoints, record_response,
    send_request, share, unknown_capacity_settings,
};
use crate::{
    BackendId, Balancer, Endpoint, EndpointState, Event, ListUpdate, RequestArrival, Settings,
};
use std::time::Duration;

/// The requests that many nodes together send to a warming backend stay far below its limit, in
/// every second from the first one on.
#[test]
fn many_nodes_together_do_not_overload_a_warming_backend() {
    const NODES: u32 = 40;
    const BACKENDS: u32 = 20;
    /// Rate at which each node sends requests, per second.
    const RATE: f64 = 100.0;
    const WARMING: BackendId = BackendId(0);
    let limits = settings().protocol_limits;
    let started_at = at(1000);
    let mut nodes: Vec<Balancer> = (0..NODES)
        .map(|seed| {
            let settings = Settings {
                nodes: NODES,
                ..settings()
            };
            let mut node = Balancer::new(settings, u64::from(seed), at(0)).expect("valid settings");
            handle(&mut node, at(0), endpoint_snapshot(BACKENDS));
            let warming = endpoint(WARMING.0, EndpointState::Active, Some(started_at));
            change_endpoints(&mut node, started_at, vec![warming]);
            node
        })
        .collect();
    let (mut id, mut attempts) = (0, vec![]);
    for age in (0..4000u64).step_by(10) {
        for node in &mut nodes {
            id += 1;
            if send_request(node, at(1000 + age), id) == Some(WARMING) {
                attempts.push(age);
            }
        }
    }
    let rate_of_warm_backend = f64::from(NODES) * RATE / f64::from(BACKENDS);
    for from in (0..3000u64).step_by(100) {
        let within_second = |age: &&u64| (from..from + 1000).contains(*age);
        let count = attempts.iter().filter(within_second).count() as f64;
        let initial = limits.slow_start_initial_capacity;
        let available_capacity = initial + (1.0 - initial) * from as f64 / 20_000.0;
        let limit = limits.overload_multiple * available_capacity * rate_of_warm_backend;
        assert!(count < 0.5 * limit, "{count} at {from} ms");
    }
    assert!(!attempts.is_empty(), "it must get work to warm up");
}

/// The upper bound of a warming backend's share grows with its speed and stays within the capacity
/// that it has at that time.
#[test]
fn the_bound_of_a_warming_backend_follows_its_speed() {
    let settings = Settings {
        endpoint_weights_given: true,
        ..unknown_capacity_settings()
    };
    let limits = settings.protocol_limits.clone();
    let mut balancer = balancer_with(settings, 5);
    for time in 0..40u64 {
        record_response(&mut balancer, at(time), BackendId(0), 0.02, Some(0.02));
        record_response(&mut balancer, at(time), BackendId(1), 0.04, Some(0.02));
    }
    let warming = [3, 4].map(|id| endpoint(id, EndpointState::Active, Some(at(90))));
    change_endpoints(&mut balancer, at(100), warming.to_vec());
    for id in 0..20 {
        handle(&mut balancer, at(100 + 50 * id), request_arrived(id, 0));
    }
    let fast = share(&balancer, 0, BackendId(3));
    let slow = share(&balancer, 0, BackendId(4));
    assert!(fast > 1.5 * slow && slow > 0.0, "{fast} and {slow}");
    let available_capacity =
        backend_state(&balancer, BackendId(3)).available_capacity(&limits, at(1050));
    assert!(
        fast <= MAX_RELATIVE_SPEED * available_capacity * 1.01
            && fast < 0.5 * limits.overload_multiple * available_capacity,
        "{fast} at {available_capacity}"
    );
}

/// An overload multiple without an overload duration limits no request: a fleet in which all
/// backends are warming up serves nevertheless.
#[test]
fn without_an_overload_duration_warming_backends_serve() {
    let mut settings = settings();
    settings.protocol_limits.overload_duration = Duration::ZERO;
    let mut balancer = Balancer::new(settings, 7, at(0)).expect("valid settings");
    let warming = (0..3).map(|id| endpoint(id, EndpointState::Active, Some(at(1))));
    let list = endpoint_list(ListUpdate::Snapshot, warming.collect());
    handle(&mut balancer, at(1), list);
    let mut actions = vec![];
    for id in 0..50 {
        let arrival = RequestArrival {
            work: Some(ms(5)),
            ..request(id, 0)
        };
        let event = Event::RequestArrived(arrival);
        actions.extend(handle(&mut balancer, at(2 + id), event));
    }
    assert!(
        actions
            .iter()
            .any(|action| attempted_backend(action).is_some()),
        "{actions:?}"
    );
}

/// Returns an endpoint list of this many certainly warm backends, followed by this many that are
/// only probably warm.
fn probably_warm_list(certainly_warm: u32, probably_warm: u32) -> Event {
    let certain = (0..certainly_warm).map(|id| endpoint(id, EndpointState::Active, None));
    let probable = (certainly_warm..certainly_warm + probably_warm).map(|id| Endpoint {
        likely_started_at: None,
        ..endpoint(id, EndpointState::Active, Some(at(1)))
    });
    endpoint_list(ListUpdate::Snapshot, certain.chain(probable).collect())
}

/// Returns the attempts at each backend for 300 requests, one every 10 ms; `is_answered` says
/// whether the backends respond.
fn attempts_at(list: Event, backends: usize, is_answered: bool) -> Vec<usize> {
    let mut settings = unknown_capacity_settings();
    settings.classes.truncate(1);
    let mut balancer = Balancer::new(settings, 7, at(0)).expect("valid settings");
    handle(&mut balancer, at(1), list);
    let mut attempts = vec![0; backends];
    for id in 0..300 {
        let now = at(2 + 10 * id);
        if let Some(backend) = send_request(&mut balancer, now, id) {
            attempts[backend.0 as usize] += 1;
            if is_answered {
                record_response(&mut balancer, now, backend, 0.02, Some(0.02));
            }
        }
    }
    attempts
}

#[test]
fn probably_warm_backends_that_respond_are_used_in_full() {
    let attempts = attempts_at(probably_warm_list(0, 6), 6, true);
    assert_eq!(attempts.iter().sum::<usize>(), 300, "{attempts:?}");
}

#[test]
fn probably_warm_backends_that_do_not_respond_are_held_back() {
    let attempts = attempts_at(probably_warm_list(0, 6), 6, false);
    assert!(attempts.iter().sum::<usize>() < 200, "{attempts:?}");
}

#[test]
fn probably_warm_backends_are_held_back_beside_as_many_warm_ones() {
    let attempts = attempts_at(probably_warm_list(3, 3), 6, true);
    assert_eq!(attempts.iter().sum::<usize>(), 300, "{attempts:?}");
    for &probable in &attempts[3..] {
        assert!(2 * probable < attempts[0], "{attempts:?}");
    }
}
