//! Tests of how the shares of all classes depend on prices, capacities and the backends that each
//! class may use.

use super::*;
use crate::fleet::USABLE_CAPACITY_FRACTION;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, handle, load_report, ms, request_arrived,
    settings,
};
use crate::test_support::{
    active_backends, attempt_result, backend_state, backend_state_mut,
    balancer_of_unknown_capacity, balancer_with, balancer_with_backends, end_attempt,
    record_load_report, refresh_now, send_request, share, shares, unknown_capacity_settings,
    unreported_load_settings,
};
use crate::{
    AttemptOutcome, AttemptResult, BackendId, Balancer, EndpointState, Event, ListUpdate,
    MachineTypeId,
};
use std::collections::BTreeSet;

fn eligible_backends(balancer: &Balancer) -> f64 {
    balancer.allocation.classes[0].eligible_backends
}

/// Guards against prices that differ so much that most of the traffic would be given to one backend
/// and overload it: the upper bounds of the shares prevent that.
#[test]
fn shares_stay_within_usable_capacity() {
    /// Capacity of each backend in requests per second, by the reports below.
    const CAPACITY: f64 = 25.0;
    const BACKENDS: u32 = 4;
    let mut balancer = balancer_with_backends(BACKENDS);
    // 100 requests per second arrive at this node, which equals the capacity of all backends; only
    // a quarter of that capacity is this node's part.
    for id in 0..200u64 {
        let now = at(id * 10);
        handle(&mut balancer, now, request_arrived(id, 0));
        for backend in 0..BACKENDS {
            let report = load_report(0.9, 0.9 * CAPACITY);
            record_load_report(&mut balancer, now, BackendId(backend), &report);
        }
    }
    for backend in 1..BACKENDS {
        balancer.record_failure(at(2000), BackendId(backend), AttemptOutcome::ServerError);
    }
    balancer.refresh_allocation(at(2000));
    let usable_capacity =
        USABLE_CAPACITY_FRACTION * CAPACITY * balancer.traffic_fraction.fraction();
    let arrivals = balancer.allocation.classes[0].arrivals.advance(at(2000));
    let max_share = usable_capacity * f64::from(BACKENDS) / arrivals;
    assert!(
        shares(&balancer, 0)
            .iter()
            .all(|share| *share <= max_share * 1.01),
        "{:?} above {max_share}",
        shares(&balancer, 0)
    );
    assert!(
        balancer.admission.group(ClassId(0)).shed_threshold > 0.0,
        "traffic beyond the upper bounds is shed"
    );
}

/// The backends that a node uses in the second half of a run.
struct Usage {
    /// Largest number of backends over which it distributes its traffic.
    eligible_backends: f64,
    /// The backends that it sends requests to.
    used: BTreeSet<BackendId>,
}

/// Sends 400 requests, 100 ms apart, and returns what the last 200 of them use. Connections to the
/// backends in `unreachable` fail. `first_request` is both the id of the first request and the time
/// of its arrival in milliseconds.
fn usage_after_settling(
    balancer: &mut Balancer,
    first_request: u64,
    unreachable: &[BackendId],
) -> Usage {
    let mut usage = Usage {
        eligible_backends: 0.0,
        used: BTreeSet::new(),
    };
    for position in 0..400 {
        let id = first_request + position;
        let now = at(first_request + position * 100);
        let Some(backend) = send_request(balancer, now, id) else {
            continue;
        };
        let outcome = if unreachable.contains(&backend) {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Success
        };
        let result = AttemptResult {
            request_closed: true,
            latency: ms(50),
            load_report: None,
            ..attempt_result(id, backend, outcome)
        };
        handle(balancer, now, Event::AttemptEnded(result));
        if position >= 200 {
            usage.eligible_backends = usage.eligible_backends.max(eligible_backends(balancer));
            usage.used.insert(backend);
        }
    }
    usage
}

/// Where no load is reported, a node uses further backends beside the few that suffice otherwise
/// when some of those fail, and returns to the few once they respond well again. The same holds for
/// the traffic that warming backends cannot take. Where load is reported, the number of backends
/// used does not change.
#[test]
fn failing_and_warming_backends_make_room_for_others() {
    let first_five =
        |usage: &Usage| -> Vec<BackendId> { usage.used.iter().copied().take(5).collect() };
    let mut unreported = balancer_with(unreported_load_settings(), 40);
    let before = usage_after_settling(&mut unreported, 1, &[]);
    let during = usage_after_settling(&mut unreported, 100_000, &first_five(&before));
    assert!(
        during.eligible_backends >= before.eligible_backends + 3.0,
        "{} of {}",
        during.eligible_backends,
        before.eligible_backends
    );
    assert!(
        !during.used.is_subset(&before.used),
        "{:?} of {:?}",
        during.used,
        before.used
    );
    let after = usage_after_settling(&mut unreported, 300_000, &[]);
    assert_eq!(after.eligible_backends, before.eligible_backends);

    let mut reported = balancer_of_unknown_capacity();
    let before = usage_after_settling(&mut reported, 1, &[]);
    let during = usage_after_settling(&mut reported, 100_000, &first_five(&before));
    assert_eq!(during.eligible_backends, before.eligible_backends);

    let mut all_warming = balancer_with(unreported_load_settings(), 0);
    let endpoints = (0..40).map(|id| endpoint(id, EndpointState::Active, Some(at(0))));
    let list = endpoint_list(ListUpdate::Snapshot, endpoints.collect());
    handle(&mut all_warming, at(0), list);
    handle(&mut all_warming, at(1), request_arrived(1, 0));
    let eligible = eligible_backends(&all_warming);
    assert!(eligible > 2.0 * MIN_BACKENDS, "{eligible}");
}

/// A node uses few backends, which it chooses by an order of its own, and more of them as it sends
/// more requests.
#[test]
fn a_node_uses_more_backends_as_it_sends_more_requests() {
    let mut balancer = balancer_of_unknown_capacity();
    let backends_at_interval = |balancer: &mut Balancer, first_request: u64, interval: u64| {
        for position in 0..200 {
            let id = first_request + position;
            let now = at(first_request + position * interval);
            let backend = send_request(balancer, now, id).expect("an idle backend");
            // The backend responds immediately: one without responses would be replaced by others.
            let result = attempt_result(id, backend, AttemptOutcome::Success);
            handle(balancer, now, Event::AttemptEnded(result));
        }
        eligible_backends(balancer)
    };
    let slow = backends_at_interval(&mut balancer, 1, 500);
    assert_eq!(slow, MIN_BACKENDS);
    let fast = backends_at_interval(&mut balancer, 200_000, 50);
    assert!(fast > 2.0 * slow, "{fast}");
    let mut other = Balancer::new(unknown_capacity_settings(), 8, at(0)).expect("valid settings");
    handle(&mut other, at(0), endpoint_snapshot(40));
    assert_ne!(
        active_backends(&balancer)[..5],
        active_backends(&other)[..5]
    );
}

#[test]
fn restricted_classes_leave_less_speed_to_the_others() {
    let mut settings = Settings {
        endpoint_weights_given: true,
        ..settings()
    };
    settings.classes.truncate(2);
    settings.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0)]);
    let mut balancer = balancer_with(settings, 3);
    for class in &mut balancer.allocation.classes {
        class.mean_work.record(0.01);
    }
    for id in 0..100 {
        let event = request_arrived(id, (id % 2) as u8);
        handle(&mut balancer, at(1 + 10 * id), event);
    }
    let [allowed, other, another] = [0, 1, 2].map(|id| share(&balancer, 0, BackendId(id)));
    assert!(
        allowed < 0.1,
        "the restricted class takes its capacity: {:?}",
        shares(&balancer, 0)
    );
    assert!((share(&balancer, 1, BackendId(0)) - 1.0).abs() < 1e-3);
    assert!((other - another).abs() < 0.1);
}

/// Load reports arrive late. A backend at which this node has more attempts in flight than usual
/// gets more expensive immediately, before any report shows it.
#[test]
fn own_attempts_in_flight_count_before_reports_do() {
    let mut balancer = balancer_of_unknown_capacity();
    for id in 0..60 {
        let backend = send_request(&mut balancer, at(id * 20), id).expect("sent");
        let success = AttemptOutcome::Success;
        end_attempt(&mut balancer, at(id * 20 + 10), id, backend, success);
    }
    let loaded = active_backends(&balancer)[0];
    refresh_now(&mut balancer, at(1200));
    let before = share(&balancer, 0, loaded);
    backend_state_mut(&mut balancer, loaded).in_flight = vec![at(1200); 3];
    refresh_now(&mut balancer, at(1200));
    let after = share(&balancer, 0, loaded);
    assert!(after < 0.7 * before, "{after} from {before}");
}

/// Within a price interval a node may send a dozen requests. They must not all be drawn by the
/// shares that were solved with the attempts in flight before the first of them.
#[test]
fn requests_of_one_price_interval_do_not_concentrate_on_one_backend() {
    let mut balancer = balancer_of_unknown_capacity();
    handle(&mut balancer, at(0), endpoint_snapshot(8));
    for id in 0..100 {
        let now = at(50 * id);
        let backend = send_request(&mut balancer, now, id).expect("sent");
        end_attempt(&mut balancer, now, id, backend, AttemptOutcome::Success);
    }
    let cheapest = active_backends(&balancer)[0];
    let higher_price = backend_state(&balancer, cheapest).price + 0.6;
    for &other in &active_backends(&balancer)[1..] {
        backend_state_mut(&mut balancer, other).price = higher_price;
    }
    for id in 100..120 {
        send_request(&mut balancer, at(5000), id);
    }
    let in_flight = backend_state(&balancer, cheapest).in_flight.len();
    assert!((2..=8).contains(&in_flight), "{in_flight} of 20");
}

/// The price of a backend without an open connection is raised by the fraction of new connections
/// that fail.
#[test]
fn open_connections_count_where_new_ones_fail() {
    let mut balancer = balancer_of_unknown_capacity();
    balancer.refresh_allocation(at(0));
    let connected = active_backends(&balancer)[0];
    let unconnected = active_backends(&balancer)[1];
    let shares_of_both =
        |balancer: &Balancer| [connected, unconnected].map(|id| share(balancer, 0, id));
    backend_state_mut(&mut balancer, connected).connected_at = Some(at(0));
    refresh_now(&mut balancer, at(50));
    let [with, without] = shares_of_both(&balancer);
    assert!(
        (with - without).abs() < 1e-3,
        "equal as long as new connections succeed"
    );
    for id in 0..40 {
        let backend = send_request(&mut balancer, at(60), id);
        if let Some(backend) = backend.filter(|&backend| backend != connected) {
            let outcome = AttemptOutcome::ConnectFailed;
            end_attempt(&mut balancer, at(61), id, backend, outcome);
        }
    }
    assert!(balancer.fleet.connect_failures.value() > 0.9);
    for id in active_backends(&balancer) {
        let backend = backend_state_mut(&mut balancer, id);
        backend.price = 0.0;
        backend.in_flight.clear();
    }
    refresh_now(&mut balancer, at(200));
    let [with, without] = shares_of_both(&balancer);
    assert!(with > 3.0 * without, "{:?}", shares(&balancer, 0));
    // By then the open connection has exceeded the idle timeout.
    balancer.refresh_allocation(at(70_000));
    let [with, without] = shares_of_both(&balancer);
    let failing = balancer.fleet.connect_failures.value();
    assert!(
        failing < 0.1 && with < 2.0 * without,
        "{failing} {with} {without} {:?}",
        shares(&balancer, 0)
    );
}
