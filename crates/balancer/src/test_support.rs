//! Access to the balancer's state for unit tests.

use crate::backend::Backend;
use crate::test_common::{
    at, attempt_ended, endpoint_snapshot, load_report, request_arrived, settings,
};
use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, Event, Settings, Time,
};

/// A balancer of these settings with as many active backends.
pub fn balancer_with(settings: Settings, backends: u32) -> Balancer {
    let mut balancer = Balancer::new(settings, 7, at(0)).expect("valid settings");
    balancer.handle(at(0), endpoint_snapshot(backends), &mut vec![]);
    balancer
}

/// A balancer with as many active backends.
pub fn balancer_of(backends: u32) -> Balancer {
    balancer_with(settings(), backends)
}

/// Load reports of utilization and requests in flight, but of no throughput: the node cannot
/// measure capacity.
pub fn unknown_capacity_settings() -> Settings {
    Settings {
        throughput_reported: false,
        ..settings()
    }
}

/// A balancer that cannot measure capacity, with 40 active backends.
pub fn balancer_of_unknown_capacity() -> Balancer {
    balancer_with(unknown_capacity_settings(), 40)
}

/// A backend's state.
pub fn state_of(balancer: &Balancer, id: BackendId) -> &Backend {
    balancer.fleet.backends.get(id).expect("a known backend")
}

/// A backend's state, to be changed.
pub fn state_of_mut(balancer: &mut Balancer, id: BackendId) -> &mut Backend {
    balancer
        .fleet
        .backends
        .get_mut(id)
        .expect("a known backend")
}

/// The active backends in the node's order.
pub fn active_backends(balancer: &Balancer) -> Vec<BackendId> {
    balancer
        .fleet
        .backends
        .active()
        .map(|backend| backend.id)
        .collect()
}

/// The share of a backend in a class.
pub fn share(balancer: &Balancer, class: usize, backend: u32) -> f64 {
    let position = active_backends(balancer)
        .iter()
        .position(|&id| id == BackendId(backend))
        .expect("an active backend");
    balancer.allocation.classes[class].shares[position]
}

/// The fraction of the first class's arrivals that is shed.
pub fn shed_fraction(balancer: &Balancer) -> f64 {
    balancer.admission.group(ClassId(0)).shed_fraction
}

/// Sets the fraction of the first class's arrivals that is shed.
pub fn set_shed_fraction(balancer: &mut Balancer, shed_fraction: f64) {
    balancer.admission.group_mut(ClassId(0)).shed_fraction = shed_fraction;
}

/// Updates the price of a backend.
pub fn update_price(balancer: &mut Balancer, id: BackendId, now: Time) {
    let typical_latency = balancer.fleet.typical_latency.seconds();
    let backend = balancer.fleet.backends.get_mut(id);
    let backend = backend.expect("a known backend");
    balancer
        .fleet
        .pricing
        .update_price(now, backend, typical_latency);
}

/// Solves the shares anew.
pub fn refresh_now(balancer: &mut Balancer, now: Time) {
    balancer.allocation.invalidate();
    balancer.refresh_allocation(now);
}

/// Sends one request of the first class and returns the backend of its attempt.
pub fn send_request(balancer: &mut Balancer, now: Time, id: u64) -> Option<BackendId> {
    let mut actions = vec![];
    balancer.handle(now, request_arrived(id, 0), &mut actions);
    actions.iter().find_map(started_at)
}

/// The backend at which an action starts an attempt.
pub fn started_at(action: &Action) -> Option<BackendId> {
    match action {
        Action::StartAttempt { backend, .. } => Some(*backend),
        _ => None,
    }
}

/// The end of a request's first attempt; only a success carries a load report.
pub fn attempt_result(request: u64, backend: BackendId, outcome: AttemptOutcome) -> AttemptResult {
    let report = (outcome == AttemptOutcome::Success).then(|| load_report(0.3, 0.0));
    let Event::AttemptEnded(result) = attempt_ended(request, 0, backend, outcome, report) else {
        unreachable!("the end of an attempt")
    };
    result
}
