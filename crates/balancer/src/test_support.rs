//! Balancers for unit tests, and access to their state.

use crate::backend::Backend;
use crate::estimators::LatencyQuantile;
use crate::test_common::{
    at, attempt_ended, endpoint_list, endpoint_snapshot, handle, load_report, request_arrived,
    settings,
};
use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, Endpoint, Event,
    ListUpdate, LoadReport, LoadReporting, Settings, Time,
};
use std::time::Duration;

const SEED: u64 = 7;

/// A balancer of these settings with as many active backends.
pub fn balancer_with(settings: Settings, backends: u32) -> Balancer {
    let mut balancer = Balancer::new(settings, SEED, at(0)).expect("valid settings");
    handle(&mut balancer, at(0), endpoint_snapshot(backends));
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

/// No load reports at all.
pub fn unreported_load_settings() -> Settings {
    Settings {
        load_reporting: LoadReporting::Absent,
        ..unknown_capacity_settings()
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

/// The shares of a class in the node's order.
pub fn shares(balancer: &Balancer, class: usize) -> &[f64] {
    &balancer.allocation.classes[class].shares
}

/// The share of a backend in a class.
pub fn share(balancer: &Balancer, class: usize, backend: BackendId) -> f64 {
    let position = active_backends(balancer)
        .iter()
        .position(|&id| id == backend)
        .expect("an active backend");
    shares(balancer, class)[position]
}

/// The fraction of the first class's arrivals that is shed.
pub fn shed_fraction(balancer: &Balancer) -> f64 {
    balancer.admission.group(ClassId(0)).shed_fraction
}

/// Sets the fraction of the first class's arrivals that is shed.
pub fn set_shed_fraction(balancer: &mut Balancer, shed_fraction: f64) {
    balancer.admission.group_mut(ClassId(0)).shed_fraction = shed_fraction;
}

/// Sets the typical latency of a response.
pub fn set_typical_latency(balancer: &mut Balancer, latency: Duration) {
    balancer.fleet.typical_latency = LatencyQuantile::new(latency.as_secs_f64());
}

/// Updates the price of a backend.
pub fn update_price(balancer: &mut Balancer, id: BackendId, now: Time) {
    let fleet = &mut balancer.fleet;
    let typical_latency = fleet.typical_latency.seconds();
    let backend = fleet.backends.get_mut(id).expect("a known backend");
    fleet.pricing.update_price(now, backend, typical_latency);
}

/// Solves the shares anew.
pub fn refresh_now(balancer: &mut Balancer, now: Time) {
    balancer.allocation.invalidate();
    balancer.refresh_allocation(now);
}

/// A backend reports its load.
pub fn record_load_report(balancer: &mut Balancer, now: Time, id: BackendId, report: &LoadReport) {
    balancer.fleet.record_load_report(now, id, report);
}

/// A backend answers a request of this work and latency, both in seconds.
pub fn record_response(
    balancer: &mut Balancer,
    now: Time,
    id: BackendId,
    latency: f64,
    work: Option<f64>,
) {
    balancer.fleet.record_response(now, id, latency, work);
}

/// The endpoint list changes.
pub fn change_endpoints(balancer: &mut Balancer, now: Time, endpoints: Vec<Endpoint>) {
    handle(balancer, now, endpoint_list(ListUpdate::Delta, endpoints));
}

/// Sends one request of the first class and returns the backend of its attempt.
pub fn send_request(balancer: &mut Balancer, now: Time, id: u64) -> Option<BackendId> {
    let actions = handle(balancer, now, request_arrived(id, 0));
    actions.iter().find_map(attempted_backend)
}

/// The backend at which an action starts an attempt.
pub fn attempted_backend(action: &Action) -> Option<BackendId> {
    match action {
        Action::StartAttempt { backend, .. } => Some(*backend),
        _ => None,
    }
}

/// The first attempt of a request ends.
pub fn end_attempt(
    balancer: &mut Balancer,
    now: Time,
    request: u64,
    backend: BackendId,
    outcome: AttemptOutcome,
) -> Vec<Action> {
    let event = attempt_ended(request, 0, backend, outcome, None);
    handle(balancer, now, event)
}

/// The end of a request's first attempt; only a success carries a load report.
pub fn attempt_result(request: u64, backend: BackendId, outcome: AttemptOutcome) -> AttemptResult {
    let report = (outcome == AttemptOutcome::Success).then(|| load_report(0.3, 0.0));
    let Event::AttemptEnded(result) = attempt_ended(request, 0, backend, outcome, report) else {
        unreachable!("the end of an attempt")
    };
    result
}

/// Whether requests are rejected and nothing else.
pub fn is_rejection(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { .. }])
}
