//! Settings, endpoints and events that the balancer's tests share.
//!
//! Both integration tests and unit tests include this file, and it imports the balancer's public
//! items from `crate`: each crate that includes it must have them at its root.
#![allow(dead_code)] // Each test program uses only some of the items.

use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, KeyScope, ListUpdate, LoadReport, LoadReporting,
    MachineTypeId, ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, TenantId,
    Time, ZoneId,
};
use std::time::Duration;

/// Returns a duration of this many milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the point in time that lies this many milliseconds after the start of a test, which is
/// one second after the origin of the clock.
pub fn at(milliseconds: u64) -> Time {
    Time(1_000_000_000 + milliseconds * 1_000_000)
}

/// Passes an event to the balancer at `now` and returns the actions that it asks for.
pub fn handle(balancer: &mut Balancer, now: Time, event: Event) -> Vec<Action> {
    let mut actions = vec![];
    balancer.handle(now, event, &mut actions);
    actions
}

/// Returns a request class that any backend may serve and whose responses earn nothing after the
/// latency objective.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: ms(400),
        objective_work_factor: 0.0,
        deadline: ms(1000),
        priority_weight: 3.0,
        late_weight: 0.0,
        streaming: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

/// Returns settings with five classes: idempotent (0), non-idempotent (1), and keyed with the key
/// scopes `All` (2), `Zone` (3) and `Cell` (4).
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: ms(500),
    };
    Settings {
        nodes: 4,
        zone: ZoneId(0),
        zones: 2,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(keyed(KeyScope::All)),
            class(keyed(KeyScope::Zone)),
            class(keyed(KeyScope::Cell)),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_per_work: false,
        endpoint_weights_given: false,
        load_reporting: LoadReporting::WithResponses,
        throughput_reported: true,
        polled_discovery: false,
        max_attempts: 3,
        cancellation_allowed: true,
        load_probes_allowed: false,
        hedging_allowed: false,
        idle_timeout: ms(60_000),
        connect_timeout: ms(250),
        max_retry_after: Some(ms(1000)),
        protocol_limits: ProtocolLimits {
            drain_grace: ms(250),
            slow_start_initial_capacity: 0.13,
            slow_start_duration: ms(20_000),
            overload_multiple: 3.0,
            overload_duration: ms(1000),
            poll_interval_limit: ms(10_000),
        },
    }
}

/// Returns [`settings`] in which classes are restricted to backends by zone (class 0), by machine
/// type (1), by both (2), and by a machine type that no backend of [`endpoint`] has (3).
pub fn restricted_settings() -> Settings {
    let mut settings = settings();
    settings.classes[0].allowed_zones = Some(vec![ZoneId(1)]);
    settings.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0), MachineTypeId(2)]);
    settings.classes[2].allowed_zones = Some(vec![ZoneId(0)]);
    settings.classes[2].allowed_machine_types = Some(vec![MachineTypeId(1)]);
    settings.classes[3].allowed_machine_types = Some(vec![MachineTypeId(9)]);
    settings
}

/// Returns an entry of the endpoint list: the backend's zone is its id modulo 2, its machine type
/// its id modulo 3 and its cell its id modulo 4.
pub fn endpoint(id: u32, state: EndpointState, started_at: Option<Time>) -> Endpoint {
    Endpoint {
        backend: BackendId(id),
        zone: ZoneId((id % 2) as u8),
        machine_type: MachineTypeId((id % 3) as u8),
        cell: CellId((id % 4) as u16),
        state,
        weight: 1.0,
        started_at,
        likely_started_at: started_at,
    }
}

/// Returns the event with this kind of update of the endpoint list.
pub fn endpoint_list(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// Returns the event with a snapshot of `count` active backends, numbered from 0, that started long
/// ago.
pub fn endpoint_snapshot(count: u32) -> Event {
    let endpoints = (0..count).map(|id| endpoint(id, EndpointState::Active, None));
    endpoint_list(ListUpdate::Snapshot, endpoints.collect())
}

/// Returns a request of tenant 0 whose client waits one second; its work is not known, and its body
/// has been received.
pub fn request(id: u64, class: u8) -> RequestArrival {
    RequestArrival {
        request: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(0),
        remaining: ms(1000),
        work: None,
        body_pending: false,
    }
}

/// Returns the event that a [`request`] arrives.
pub fn request_arrived(id: u64, class: u8) -> Event {
    Event::RequestArrived(request(id, class))
}

/// Returns a load report with only utilization and throughput.
pub fn load_report(utilization: f64, throughput: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        throughput: Some(throughput),
        ..LoadReport::default()
    }
}

/// Returns the event that an attempt ended after 100 ms; a success closes its request.
pub fn attempt_ended(
    request: u64,
    attempt: u32,
    backend: BackendId,
    outcome: AttemptOutcome,
    load_report: Option<LoadReport>,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        request: RequestId(request),
        attempt,
        backend,
        outcome,
        latency: ms(100),
        request_closed: outcome == AttemptOutcome::Success,
        load_report,
    })
}
