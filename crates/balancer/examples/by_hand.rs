//! Drives a balancer by hand-written events: a slow server, one that fails fast, an overload.
//! Prints the choices.

use balancer::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, ListUpdate, LoadReport, LoadReporting, MachineTypeId,
    ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, SettingsError, TenantId,
    Time, ZoneId,
};
use std::time::Duration;

fn settings() -> Settings {
    let second = Duration::from_secs(1);
    let class = |effect, worth| RequestClass {
        idempotency: effect,
        latency_objective: second,
        objective_work_factor: 0.0,
        deadline: 2 * second,
        priority_weight: worth,
        late_weight: 0.0,
        streaming: false,
        allowed_zones: None,
        allowed_machine_types: None,
    };
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
        idle_timeout: 60 * second,
        connect_timeout: second / 4,
        max_retry_after: Some(second),
        protocol_limits: ProtocolLimits {
            drain_grace: second,
            slow_start_initial_capacity: 0.2,
            slow_start_duration: 20 * second,
            overload_multiple: 3.0,
            overload_duration: second,
            poll_interval_limit: 10 * second,
        },
    }
}

/// Plays `rate` requests a second for two seconds; server 2 has half the capacity, server 3 fails
/// if `failing`.
fn play(
    balancer: &mut Balancer,
    from_ms: u64,
    rate: u64,
    failing: bool,
) -> Result<(), SettingsError> {
    let mut chosen = [0u32; 4];
    let (mut refused, mut failed) = (0, 0);
    for k in 0..2 * rate {
        let now = Time((from_ms + k * 1000 / rate) * 1_000_000);
        let request = RequestId(from_ms * 1000 + k);
        let remaining = Duration::from_secs(2);
        let mut actions = vec![];
        let arrival = RequestArrival {
            request,
            class: ClassId((k % 2) as u8),
            tenant: TenantId(0),
            remaining,
            work: None,
            body_pending: false,
        };
        balancer.handle(now, Event::RequestArrived(arrival), &mut actions);
        let (mut n, mut attempt) = (0, 0);
        while n < actions.len() {
            match actions[n] {
                Action::StartAttempt {
                    backend: server, ..
                } => {
                    chosen[server.0 as usize] += 1;
                    let bad = failing && server.0 == 3;
                    let outcome = if bad {
                        AttemptOutcome::ConnectFailed
                    } else {
                        AttemptOutcome::Success
                    };
                    let capacity = if server.0 == 2 { 25.0 } else { 50.0 };
                    let busy = (rate as f64 / 4.0 / capacity).min(1.0);
                    let report = LoadReport {
                        utilization: Some(busy),
                        throughput: Some(capacity * busy),
                        ..LoadReport::default()
                    };
                    let latency = Duration::from_millis(100);
                    let report = (!bad).then_some(report);
                    let end = AttemptResult {
                        request,
                        attempt,
                        backend: server,
                        outcome,
                        latency,
                        request_closed: !bad,
                        load_report: report,
                    };
                    attempt += 1;
                    balancer.handle(now, Event::AttemptEnded(end), &mut actions);
                }
                Action::Reject { .. } => refused += 1,
                Action::Fail { .. } => failed += 1,
                _ => {}
            }
            n += 1;
        }
    }
    println!("  chosen {chosen:?}, refused {refused}, failed {failed}");
    Ok(())
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 1, Time(0))?;
    let entries = (0..4)
        .map(|s| Endpoint {
            backend: BackendId(s),
            zone: ZoneId(0),
            machine_type: MachineTypeId(0),
            cell: CellId(0),
            state: EndpointState::Active,
            weight: 1.0,
            started_at: None,
        })
        .collect();
    balancer.handle(
        Time(0),
        Event::EndpointList {
            update: ListUpdate::Snapshot,
            endpoints: entries,
        },
        &mut vec![],
    );
    println!("Four servers, number 2 of half the capacity: it is avoided in proportion.");
    play(&mut balancer, 1_000, 80, false)?;
    play(&mut balancer, 3_000, 80, false)?;
    println!("Number 3 refuses connections: each failure makes it dearer, the rest take over.");
    play(&mut balancer, 5_000, 80, true)?;
    println!("It is well again: its price drifts back.");
    play(&mut balancer, 7_000, 80, false)?;
    play(&mut balancer, 20_000, 80, false)?;
    println!(
        "Three times the traffic: what finds no place is refused, the class of little worth first."
    );
    play(&mut balancer, 30_000, 240, false)?;
    Ok(())
}
