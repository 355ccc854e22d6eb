//! Drives a balancer with a script of events: a slow backend, a backend that refuses connections,
//! and an overload. Prints how often each backend is chosen and how many requests are rejected or
//! fail.
//!
//! Run it with `cargo run -p balancer --example scripted_overload`.

use balancer::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, ListUpdate, LoadReport, LoadReporting, MachineTypeId,
    ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, SettingsError, TenantId,
    Time, ZoneId,
};
use std::time::Duration;

/// Number of backends, whose ids count from 0.
const BACKENDS: u32 = 4;
/// Requests per second that a backend can serve.
const CAPACITY: f64 = 50.0;
/// The backend that has half the capacity.
const SLOW: BackendId = BackendId(2);
/// The backend that refuses connections in one of the phases.
const UNRELIABLE: BackendId = BackendId(3);
/// Duration of a phase in seconds.
const PHASE_SECONDS: u64 = 2;

/// Returns a class of requests that any backend may serve, with an objective of 1 s and a deadline
/// of 2 s.
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

/// Returns settings for one node with two classes: idempotent requests of weight 1 and
/// non-idempotent ones of weight 5.
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

/// Returns an active endpoint whose process started long ago.
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

/// A period of [`PHASE_SECONDS`] in which requests arrive at a constant rate.
#[derive(Clone, Copy)]
struct Phase {
    /// Its start, in milliseconds from the start of the script.
    start_ms: u64,
    /// Requests that arrive per second, at even intervals.
    rate: u64,
    /// Whether [`UNRELIABLE`] refuses connections.
    unreliable_fails: bool,
}

impl Phase {
    /// Returns the result of an attempt that ended after 100 ms. A success has a load report, for
    /// which all backends get the same part of the arrivals.
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

/// Sends the requests of a phase and prints how often each backend was chosen and how many requests
/// were rejected or failed. The end of an attempt is reported at the time of its start.
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
    let normal = Phase {
        start_ms: 1_000,
        rate: 80,
        unreliable_fails: false,
    };
    let normal_from = |start_ms| Phase { start_ms, ..normal };
    println!(
        "Backend 2 has half the capacity of the others and is chosen less often, in proportion."
    );
    run(&mut balancer, normal);
    run(&mut balancer, normal_from(3_000));
    println!("Backend 3 refuses connections. Each failure raises its price; the others take over.");
    let failing = Phase {
        unreliable_fails: true,
        ..normal_from(5_000)
    };
    run(&mut balancer, failing);
    println!("Backend 3 accepts connections again. Its price falls back over time.");
    run(&mut balancer, normal_from(7_000));
    run(&mut balancer, normal_from(20_000));
    println!("Three times the traffic. Excess requests are rejected, low priority weights first.");
    let overload = Phase {
        rate: 240,
        ..normal_from(30_000)
    };
    run(&mut balancer, overload);
    Ok(())
}
