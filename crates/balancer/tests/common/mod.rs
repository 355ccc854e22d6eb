//! Settings, endpoints and events for tests.
//!
//! Integration tests and unit tests both include this file: the balancer's public items have to be
//! at their crate's root.
#![allow(dead_code)] // Each test program uses a part of it.

use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, KeyScope, ListUpdate, LoadReport, LoadReporting,
    MachineTypeId, ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, TenantId,
    Time, ZoneId,
};
use std::time::Duration;

/// Milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A point in time, in milliseconds from the start of a test.
pub fn at(milliseconds: u64) -> Time {
    Time(1_000_000_000 + milliseconds * 1_000_000)
}

/// Feeds an event and returns what is to be done about it.
pub fn handle(balancer: &mut Balancer, now: Time, event: Event) -> Vec<Action> {
    let mut actions = vec![];
    balancer.handle(now, event, &mut actions);
    actions
}

/// A class without placement and late weight.
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

/// Classes of idempotent and non-idempotent requests, and of keyed ones with each scope.
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

/// The same with classes placed by zone, by machine type, by both, and where no backend is.
pub fn placed_settings() -> Settings {
    let mut settings = settings();
    settings.classes[0].allowed_zones = Some(vec![ZoneId(1)]);
    settings.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0), MachineTypeId(2)]);
    settings.classes[2].allowed_zones = Some(vec![ZoneId(0)]);
    settings.classes[2].allowed_machine_types = Some(vec![MachineTypeId(1)]);
    settings.classes[3].allowed_machine_types = Some(vec![MachineTypeId(9)]);
    settings
}

/// A listed backend: its zone is its id modulo 2, its machine type modulo 3, its cell modulo 4.
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

/// An endpoint list, or changes to it.
pub fn endpoint_list(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// A whole list of active backends, numbered from 0.
pub fn endpoint_snapshot(count: u32) -> Event {
    let endpoints = (0..count).map(|id| endpoint(id, EndpointState::Active, None));
    endpoint_list(ListUpdate::Snapshot, endpoints.collect())
}

/// A request that its client waits a second for.
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

/// Such a request arrives.
pub fn request_arrived(id: u64, class: u8) -> Event {
    Event::RequestArrived(request(id, class))
}

/// A report of utilization and throughput.
pub fn load_report(utilization: f64, throughput: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        throughput: Some(throughput),
        ..LoadReport::default()
    }
}

/// An attempt ends after 100 ms; a success closes its request.
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
