//! Helpers for unit tests: balancers with given settings, and access to their internal state.

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

/// Seed of all balancers that these helpers create.
const SEED: u64 = 7;

/// Creates a balancer with these settings and this many active backends, numbered from 0.
pub fn balancer_with(settings: Settings, backends: u32) -> Balancer {
    let mut balancer = Balancer::new(settings, SEED, at(0)).expect("valid settings");
    handle(&mut balancer, at(0), endpoint_snapshot(backends));
    balancer
}

/// Creates a balancer with the default test settings and this many active backends.
pub fn balancer_with_backends(backends: u32) -> Balancer {
    balancer_with(settings(), backends)
}

/// Settings under which load reports contain utilization and requests in flight but no throughput,
/// so that the node cannot measure capacity.
pub fn unknown_capacity_settings() -> Settings {
    Settings {
        throughput_reported: false,
        ..settings()
    }
}

/// Settings under which backends never report their load.
pub fn unreported_load_settings() -> Settings {
    Settings {
        load_reporting: LoadReporting::Absent,
        ..unknown_capacity_settings()
    }
}

/// Creates a balancer that cannot measure capacity, with 40 active backends.
pub fn balancer_of_unknown_capacity() -> Balancer {
    balancer_with(unknown_capacity_settings(), 40)
}

/// Returns the state of a backend, which must be known.
pub fn backend_state(balancer: &Balancer, id: BackendId) -> &Backend {
    balancer.fleet.backends.get(id).expect("a known backend")
}

/// Returns the state of a backend, which must be known, for modification.
pub fn backend_state_mut(balancer: &mut Balancer, id: BackendId) -> &mut Backend {
    balancer
        .fleet
        .backends
        .get_mut(id)
        .expect("a known backend")
}

/// Returns the ids of the active backends in this node's order.
pub fn active_backends(balancer: &Balancer) -> Vec<BackendId> {
    balancer
        .fleet
        .backends
        .active()
        .map(|backend| backend.id)
        .collect()
}

/// Returns the shares of the active backends in a class, in this node's order.
pub fn shares(balancer: &Balancer, class: usize) -> &[f64] {
    &balancer.allocation.classes[class].shares
}

/// Returns the share of an active backend in a class.
pub fn share(balancer: &Balancer, class: usize, backend: BackendId) -> f64 {
    let position = active_backends(balancer)
        .iter()
        .position(|&id| id == backend)
        .expect("an active backend");
    shares(balancer, class)[position]
}

/// Returns the fraction of the first class's arrivals that is shed.
pub fn shed_fraction(balancer: &Balancer) -> f64 {
    balancer.admission.group(ClassId(0)).shed_fraction
}

/// Sets the fraction of the first class's arrivals that is shed.
pub fn set_shed_fraction(balancer: &mut Balancer, shed_fraction: f64) {
    balancer.admission.group_mut(ClassId(0)).shed_fraction = shed_fraction;
}

/// Sets the typical latency of a response, over all backends.
pub fn set_typical_latency(balancer: &mut Balancer, latency: Duration) {
    balancer.fleet.typical_latency = LatencyQuantile::new(latency.as_secs_f64());
}

/// Applies to a backend's price the steps that are due at `now`.
pub fn update_price(balancer: &mut Balancer, id: BackendId, now: Time) {
    let fleet = &mut balancer.fleet;
    let typical_latency = fleet.typical_latency.seconds();
    let backend = fleet.backends.get_mut(id).expect("a known backend");
    fleet.pricing.update_price(now, backend, typical_latency);
}

/// Solves the shares again at `now`, whether or not that is due.
pub fn refresh_now(balancer: &mut Balancer, now: Time) {
    balancer.allocation.invalidate();
    balancer.refresh_allocation(now);
}

/// Records a load report of a backend.
pub fn record_load_report(balancer: &mut Balancer, now: Time, id: BackendId, report: &LoadReport) {
    balancer.fleet.record_load_report(now, id, report);
}

/// Records a successful response of a backend with this latency and work, both in seconds; `work`
/// is `None` if it is not known.
pub fn record_response(
    balancer: &mut Balancer,
    now: Time,
    id: BackendId,
    latency: f64,
    work: Option<f64>,
) {
    balancer.fleet.record_response(now, id, latency, work);
}

/// Handles a delta of the endpoint list with these entries.
pub fn change_endpoints(balancer: &mut Balancer, now: Time, endpoints: Vec<Endpoint>) {
    handle(balancer, now, endpoint_list(ListUpdate::Delta, endpoints));
}

/// Sends one request of the first class and returns the backend of its first attempt, or `None` if
/// no attempt starts.
pub fn send_request(balancer: &mut Balancer, now: Time, id: u64) -> Option<BackendId> {
    let actions = handle(balancer, now, request_arrived(id, 0));
    actions.iter().find_map(attempted_backend)
}

/// Returns the backend at which an action starts an attempt, or `None` for any other action.
pub fn attempted_backend(action: &Action) -> Option<BackendId> {
    match action {
        Action::StartAttempt { backend, .. } => Some(*backend),
        _ => None,
    }
}

/// Ends the first attempt of a request after 100 ms, without a load report, and returns the
/// actions that follow.
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

/// Returns the result of a request's first attempt, with a load report only if it succeeded.
pub fn attempt_result(request: u64, backend: BackendId, outcome: AttemptOutcome) -> AttemptResult {
    let report = (outcome == AttemptOutcome::Success).then(|| load_report(0.3, 0.0));
    let Event::AttemptEnded(result) = attempt_ended(request, 0, backend, outcome, report) else {
        unreachable!("the end of an attempt")
    };
    result
}

/// Whether the actions are one rejection and nothing else.
pub fn is_rejection(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { .. }])
}
