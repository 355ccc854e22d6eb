//! Drives a balancer by scripted events: a slow backend, one that fails fast, an overload. Prints
//! which backends are chosen.

use balancer::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, ListUpdate, LoadReport, LoadReporting, MachineTypeId,
    ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, SettingsError, TenantId,
    Time, ZoneId,
};
use std::time::Duration;

const BACKENDS: u32 = 4;
/// Requests per second that a backend can do.
const CAPACITY: f64 = 50.0;
/// A backend of half the capacity.
const SLOW: BackendId = BackendId(2);
/// A backend that refuses connections in one of the phases.
const UNRELIABLE: BackendId = BackendId(3);
/// Seconds that a phase takes.
const PHASE_SECONDS: u64 = 2;

fn class(idempotency: Idempotency, priority_weight: f64) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: Duration::from_secs(1),
        objective_work_factor: 0.0,
        deadline: Duration::from_secs(2),
        priority_weight,
        late_weight: 0.0,
        streaming: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

fn settings() -> Settings {
    Settings {
        nodes: 1,
        zone: ZoneId(0),
        zones: 1,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::NonIdempotent, 5.0),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_per_work: false,
        endpoint_weights_given: false,
        load_reporting: LoadReporting::WithResponses,
        throughput_reported: true,
        polled_discovery: false,
        max_attempts: 3,
        cancellation_allowed: true,
        load_probes_allowed: false,
        hedging_allowed: false,
        idle_timeout: Duration::from_secs(60),
        connect_timeout: Duration::from_millis(250),
        max_retry_after: Some(Duration::from_secs(1)),
        protocol_limits: ProtocolLimits {
            drain_grace: Duration::from_secs(1),
            slow_start_initial_capacity: 0.2,
            slow_start_duration: Duration::from_secs(20),
            overload_multiple: 3.0,
            overload_duration: Duration::from_secs(1),
            poll_interval_limit: Duration::from_secs(10),
        },
    }
}

fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        backend: BackendId(id),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: CellId(0),
        state: EndpointState::Active,
        weight: 1.0,
        started_at: None,
        likely_started_at: None,
    }
}

/// A time of two seconds in which requests arrive at a constant rate.
#[derive(Clone, Copy)]
struct Phase {
    start_ms: u64,
    /// Requests per second.
    rate: u64,
    unreliable_fails: bool,
}

impl Phase {
    /// The end of an attempt at a backend after 100 ms.
    fn result(&self, request: RequestId, attempt: u32, backend: BackendId) -> AttemptResult {
        let is_failing = self.unreliable_fails && backend == UNRELIABLE;
        let capacity = if backend == SLOW {
            CAPACITY / 2.0
        } else {
            CAPACITY
        };
        let utilization = (self.rate as f64 / f64::from(BACKENDS) / capacity).min(1.0);
        AttemptResult {
            request,
            attempt,
            backend,
            outcome: if is_failing {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            },
            latency: Duration::from_millis(100),
            request_closed: !is_failing,
            load_report: (!is_failing).then(|| LoadReport {
                utilization: Some(utilization),
                throughput: Some(capacity * utilization),
                ..LoadReport::default()
            }),
        }
    }
}

/// Sends the requests of a phase, whose attempts end at once, and prints what became of them.
fn run(balancer: &mut Balancer, phase: Phase) {
    let mut chosen = [0u32; BACKENDS as usize];
    let (mut rejected, mut failed) = (0, 0);
    for number in 0..PHASE_SECONDS * phase.rate {
        let now = Time((phase.start_ms + number * 1000 / phase.rate) * 1_000_000);
        let arrival = RequestArrival {
            request: RequestId(phase.start_ms * 1000 + number),
            class: ClassId((number % 2) as u8),
            tenant: TenantId(0),
            remaining: Duration::from_secs(2),
            work: None,
            body_pending: false,
        };
        let mut next_event = Some(Event::RequestArrived(arrival));
        let mut attempts = 0;
        while let Some(event) = next_event.take() {
            let mut actions = vec![];
            balancer.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::StartAttempt { backend, .. } => {
                        chosen[backend.0 as usize] += 1;
                        let result = phase.result(arrival.request, attempts, backend);
                        next_event = Some(Event::AttemptEnded(result));
                        attempts += 1;
                    }
                    Action::Reject { .. } => rejected += 1,
                    Action::Fail { .. } => failed += 1,
                    _ => {}
                }
            }
        }
    }
    println!("  chosen {chosen:?}, rejected {rejected}, failed {failed}");
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 1, Time(0))?;
    let list = Event::EndpointList {
        update: ListUpdate::Snapshot,
        endpoints: (0..BACKENDS).map(endpoint).collect(),
    };
    balancer.handle(Time(0), list, &mut vec![]);
    let usual = Phase {
        start_ms: 1_000,
        rate: 80,
        unreliable_fails: false,
    };
    let at = |start_ms| Phase { start_ms, ..usual };
    println!("Four backends, number 2 of half the capacity: it is avoided in proportion.");
    run(&mut balancer, usual);
    run(&mut balancer, at(3_000));
    println!("Number 3 refuses connections: each failure raises its price, the rest take over.");
    let failing = Phase {
        unreliable_fails: true,
        ..at(5_000)
    };
    run(&mut balancer, failing);
    println!("It has recovered: its price drifts back.");
    run(&mut balancer, at(7_000));
    run(&mut balancer, at(20_000));
    println!(
        "Three times the traffic: what finds no place is rejected, low priority weights first."
    );
    let overload = Phase {
        rate: 240,
        ..at(30_000)
    };
    run(&mut balancer, overload);
    Ok(())
}
