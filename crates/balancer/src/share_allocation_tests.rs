//! Tests of how the shares of all classes follow prices, capacities and placement.

use super::*;
use crate::fleet::USABLE_CAPACITY_FRACTION;
use crate::test_common::{
    at, attempt_ended, endpoint, endpoint_list, endpoint_snapshot, load_report, ms,
    request_arrived, settings,
};
use crate::test_support::{
    active_backends, attempt_result, balancer_of, balancer_of_unknown_capacity, balancer_with,
    refresh_now, send_request, share, state_of, state_of_mut,
};
use crate::{
    AttemptOutcome, AttemptResult, BackendId, Balancer, EndpointState, Event, ListUpdate,
    MachineTypeId,
};

/// Prices may differ so much that most shares would gather on one backend and overload it.
#[test]
fn no_backend_is_asked_for_more_than_its_capacity() {
    let mut balancer = balancer_of(4);
    for k in 0..200u64 {
        let now = at(k * 10);
        balancer.handle(now, request_arrived(k, 0), &mut vec![]);
        for s in 0..4 {
            balancer
                .fleet
                .record_load_report(now, BackendId(s), &load_report(0.9, 22.5));
        }
    }
    // Capacity 25 a second and backend; this node's part of it is a quarter, it asks for 100.
    for s in 1..4 {
        balancer.record_failure(at(2000), BackendId(s), AttemptOutcome::ServerError);
    }
    balancer.refresh_allocation(at(2000));
    let most = USABLE_CAPACITY_FRACTION * 25.0 * balancer.traffic_fraction.fraction() * 4.0
        / balancer.allocation.classes[0].arrivals.advance(at(2000));
    assert!(
        balancer.allocation.classes[0]
            .shares
            .iter()
            .all(|s| *s <= most * 1.01),
        "{:?} above {most}",
        balancer.allocation.classes[0].shares
    );
    assert!(
        balancer.admission.group(ClassId(0)).shed_threshold > 0.0,
        "what finds no place is turned away"
    );
}

/// Closed backends make room for others among the few that a node uses; once they answer well they
/// are enough again. The same holds for what warming ones cannot take. Where load is reported the
/// few stay as they are.
#[test]
fn closed_and_warming_backends_make_room_for_others() {
    let settings = Settings {
        throughput_reported: false,
        load_reporting: LoadReporting::Absent,
        ..settings()
    };
    let mut balancer = balancer_with(settings, 40);
    // The most backends dealt with, once it has settled, and those that are sent to.
    let settle = |balancer: &mut Balancer, from: u64, bad: &[BackendId]| {
        let (mut most, mut used) = (0.0f64, std::collections::BTreeSet::new());
        for k in 0..400 {
            let (now, id) = (at(from + k * 100), from + k);
            let Some(backend) = send_request(balancer, now, id) else {
                continue;
            };
            let outcome = if bad.contains(&backend) {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            };
            let end = AttemptResult {
                request_closed: true,
                latency: ms(50),
                load_report: None,
                ..attempt_result(id, backend, outcome)
            };
            balancer.handle(now, Event::AttemptEnded(end), &mut vec![]);
            if k >= 200 {
                most = most.max(balancer.allocation.classes[0].eligible_backends);
                used.insert(backend);
            }
        }
        (most, used)
    };
    let (few, first) = settle(&mut balancer, 1, &[]);
    let bad: Vec<BackendId> = first.iter().copied().take(5).collect();
    let (more, used) = settle(&mut balancer, 100_000, &bad);
    assert!(more >= few + 3.0, "{more} of {few}");
    assert!(
        used.iter().any(|s| !first.contains(s)),
        "{used:?} of {first:?}"
    );
    assert_eq!(settle(&mut balancer, 300_000, &[]).0, few);
    let mut told = balancer_of_unknown_capacity();
    let (few, first) = settle(&mut told, 1, &[]);
    let bad: Vec<BackendId> = first.iter().copied().take(5).collect();
    assert_eq!(settle(&mut told, 100_000, &bad).0, few);
    // All cold: each takes a part only.
    let mut cold = Balancer::new((*balancer.settings).clone(), 7, at(0)).expect("sound settings");
    let entries = (0..40)
        .map(|s| endpoint(s, EndpointState::Active, Some(at(0))))
        .collect();
    cold.handle(
        at(0),
        endpoint_list(ListUpdate::Snapshot, entries),
        &mut vec![],
    );
    cold.handle(at(1), request_arrived(1, 0), &mut vec![]);
    assert!(
        cold.allocation.classes[0].eligible_backends > 2.0 * MIN_BACKENDS,
        "{}",
        cold.allocation.classes[0].eligible_backends
    );
}

/// A node uses few backends, in an order of its own, and more of them as it sends more.
#[test]
fn a_node_uses_as_many_backends_as_it_hears_from() {
    let mut balancer = balancer_of_unknown_capacity();
    let dealt = |balancer: &mut Balancer, from: u64, gap: u64| {
        for k in 0..200 {
            // Answered at once: one that answers nothing would make room for others.
            let (now, id) = (at(from + k * gap), from + k);
            let backend = send_request(balancer, now, id).expect("an idle backend");
            balancer.handle(
                now,
                Event::AttemptEnded(attempt_result(id, backend, AttemptOutcome::Success)),
                &mut vec![],
            );
        }
        balancer.allocation.classes[0].eligible_backends
    };
    let slow = dealt(&mut balancer, 1, 500);
    assert_eq!(slow, MIN_BACKENDS);
    // Ten times as many requests: it hears of more backends in time.
    let fast = dealt(&mut balancer, 200_000, 50);
    assert!(fast > 2.0 * slow, "{fast}");
    let mut other = Balancer::new((*balancer.settings).clone(), 8, at(0)).expect("sound settings");
    other.handle(at(0), endpoint_snapshot(40), &mut vec![]);
    assert_ne!(
        active_backends(&balancer)[..5],
        active_backends(&other)[..5]
    );
}

#[test]
fn placed_classes_leave_less_speed_to_the_others() {
    let mut settings = Settings {
        endpoint_weights_given: true,
        ..settings()
    };
    settings.classes.truncate(2);
    settings.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0)]);
    let mut balancer = balancer_with(settings, 3);
    for m in &mut balancer.allocation.classes {
        m.mean_work.record(0.01);
    }
    for k in 0..100 {
        balancer.handle(
            at(1 + 10 * k),
            request_arrived(k, (k % 2) as u8),
            &mut vec![],
        );
    }
    assert!(
        share(&balancer, 0, 0) < 0.1,
        "bookings fill it: {:?}",
        balancer.allocation.classes[0].shares
    );
    assert!((share(&balancer, 1, 0) - 1.0).abs() < 1e-3);
    assert!((share(&balancer, 0, 1) - share(&balancer, 0, 2)).abs() < 0.1);
}

/// Reports lag. What a node has in flight itself beyond the usual makes a backend more expensive at
/// once.
#[test]
fn own_attempts_in_flight_count_before_reports_do() {
    let mut balancer = balancer_of_unknown_capacity();
    for k in 0..60 {
        let backend = send_request(&mut balancer, at(k * 20), k).expect("sent");
        balancer.handle(
            at(k * 20 + 10),
            attempt_ended(k, 0, backend, AttemptOutcome::Success, None),
            &mut vec![],
        );
    }
    let held = active_backends(&balancer)[0];
    let i = held;
    refresh_now(&mut balancer, at(1200));
    let before = share(&balancer, 0, held.0);
    state_of_mut(&mut balancer, i).in_flight = vec![at(1200); 3];
    refresh_now(&mut balancer, at(1200));
    assert!(
        share(&balancer, 0, held.0) < 0.7 * before,
        "{} from {before}",
        share(&balancer, 0, held.0)
    );
}

/// Within a price interval a node may send a dozen requests, which must not all follow what it had
/// in flight before the first.
#[test]
fn requests_of_one_price_interval_do_not_gather_on_one_backend() {
    let mut balancer = balancer_of_unknown_capacity();
    balancer.handle(at(0), endpoint_snapshot(8), &mut vec![]);
    for k in 0..100 {
        let backend = send_request(&mut balancer, at(50 * k), k).expect("sent");
        balancer.handle(
            at(50 * k),
            attempt_ended(k, 0, backend, AttemptOutcome::Success, None),
            &mut vec![],
        );
    }
    let cheap = active_backends(&balancer)[0];
    let higher_price = state_of(&balancer, cheap).price + 0.6;
    for other in &active_backends(&balancer)[1..] {
        state_of_mut(&mut balancer, *other).price = higher_price;
    }
    for k in 0..20 {
        send_request(&mut balancer, at(5000), 100 + k);
    }
    assert!(
        (2..=8).contains(&state_of(&balancer, cheap).in_flight.len()),
        "{} of 20",
        state_of(&balancer, cheap).in_flight.len()
    );
}

/// A backend without an open connection is more expensive by how often new ones fail.
#[test]
fn open_connections_count_where_new_ones_fail() {
    let mut balancer = balancer_of_unknown_capacity();
    balancer.refresh_allocation(at(0));
    let (near, far) = (active_backends(&balancer)[0], active_backends(&balancer)[1]);
    state_of_mut(&mut balancer, near).connected_at = Some(at(0));
    refresh_now(&mut balancer, at(50));
    assert!(
        (share(&balancer, 0, near.0) - share(&balancer, 0, far.0)).abs() < 1e-3,
        "as long as new ones succeed"
    );
    for id in 0..40 {
        if let Some(backend) = send_request(&mut balancer, at(60), id).filter(|s| *s != near) {
            balancer.handle(
                at(61),
                attempt_ended(id, 0, backend, AttemptOutcome::ConnectFailed, None),
                &mut vec![],
            );
        }
    }
    assert!(balancer.fleet.connect_failures.value() > 0.9);
    for id in active_backends(&balancer) {
        let backend = state_of_mut(&mut balancer, id);
        backend.price = 0.0;
        backend.in_flight.clear();
    }
    refresh_now(&mut balancer, at(200));
    assert!(
        share(&balancer, 0, near.0) > 3.0 * share(&balancer, 0, far.0),
        "{:?}",
        balancer.allocation.classes[0].shares
    );
    // Once the connection has surely closed it is as far as the others.
    balancer.refresh_allocation(at(70_000));
    let (near, far) = (share(&balancer, 0, near.0), share(&balancer, 0, far.0));
    assert!(
        balancer.fleet.connect_failures.value() < 0.1 && near < 2.0 * far,
        "{} {near} {far} {:?}",
        balancer.fleet.connect_failures.value(),
        balancer.allocation.classes[0].shares
    );
}
