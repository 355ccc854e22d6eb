//! The protocol's rules under generated sequences of events, watched by an independent observer.

mod common;
#[path = "common/observer.rs"]
mod observer;

use balancer::*;
use common::*;
use observer::{ObservedBalancer, Observer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// One step of a generated sequence; positions are modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives; times in milliseconds.
    Arrive {
        class: u8,
        remaining: u64,
        work: Option<u64>,
    },
    /// An attempt in flight ends.
    EndAttempt {
        position: usize,
        outcome: u8,
        utilization: f64,
        is_closed: bool,
    },
    /// A load probe ends.
    EndLoadProbe {
        position: usize,
        outcome: u8,
        utilization: f64,
    },
    /// Milliseconds pass.
    Wait(u64),
    /// One entry of the endpoint list changes.
    ChangeEndpoint {
        id: u32,
        state: u8,
        is_restarted: bool,
    },
    /// A whole list comes, or a call for one fails.
    ReplaceEndpoints { count: u32, update: u8 },
    /// A client disconnects.
    Disconnect { position: usize },
    /// Events about what the balancer does not know.
    Stray(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let utilization = prop_oneof![0.0..1.0f64, Just(f64::NAN), Just(f64::INFINITY), Just(-1.0)];
    let remaining = prop_oneof![Just(0u64), 1u64..1500, Just(u64::MAX / 2_000_000)];
    let work = proptest::option::of(0u64..3000);
    let arrive = (0u8..6, remaining, work).prop_map(|(class, remaining, work)| Step::Arrive {
        class,
        remaining,
        work,
    });
    let end_attempt = (0usize..8, 0u8..8, utilization.clone(), any::<bool>()).prop_map(
        |(position, outcome, utilization, is_closed)| Step::EndAttempt {
            position,
            outcome,
            utilization,
            is_closed,
        },
    );
    let end_load_probe =
        (0usize..8, 0u8..8, utilization).prop_map(|(position, outcome, utilization)| {
            Step::EndLoadProbe {
                position,
                outcome,
                utilization,
            }
        });
    let change_endpoint =
        (0u32..10, 0u8..3, any::<bool>()).prop_map(|(id, state, is_restarted)| {
            Step::ChangeEndpoint {
                id,
                state,
                is_restarted,
            }
        });
    let replace_endpoints =
        (0u32..9, 0u8..4).prop_map(|(count, update)| Step::ReplaceEndpoints { count, update });
    prop_oneof![
        6 => arrive,
        6 => end_attempt,
        4 => end_load_probe,
        4 => (0u64..400).prop_map(Step::Wait),
        2 => change_endpoint,
        1 => replace_endpoints,
        1 => (0usize..8).prop_map(|position| Step::Disconnect { position }),
        1 => any::<u64>().prop_map(Step::Stray),
    ]
}

fn outcome(number: u8) -> AttemptOutcome {
    const OUTCOMES: [AttemptOutcome; 8] = [
        AttemptOutcome::Success,
        AttemptOutcome::ServerError,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];
    OUTCOMES[usize::from(number) % OUTCOMES.len()]
}

fn state(number: u8) -> EndpointState {
    const STATES: [EndpointState; 3] = [
        EndpointState::Active,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    STATES[usize::from(number) % STATES.len()]
}

fn update(number: u8) -> ListUpdate {
    const UPDATES: [ListUpdate; 4] = [
        ListUpdate::Snapshot,
        ListUpdate::Cached,
        ListUpdate::Failed,
        ListUpdate::Snapshot,
    ];
    UPDATES[usize::from(number) % UPDATES.len()]
}

/// Runs generated steps and returns all actions, or which rule was broken.
fn run(settings: Settings, steps: &[Step], seed: u64) -> Result<Vec<Action>, String> {
    let mut balancer = ObservedBalancer::new(settings, seed);
    balancer.feed(endpoint_snapshot(8))?;
    for (id, step) in (1..).zip(steps) {
        run_step(&mut balancer, RequestId(id), step)?;
    }
    // Whatever is still pending ends by its own time.
    balancer.wait(ms(3000))?;
    Ok(balancer.log)
}

/// `next_id` is the id of a request that arrives.
fn run_step(
    balancer: &mut ObservedBalancer,
    next_id: RequestId,
    step: &Step,
) -> Result<(), String> {
    match *step {
        Step::Arrive {
            class,
            remaining,
            work,
        } => {
            let arrival = RequestArrival {
                remaining: ms(remaining),
                work: work.map(ms),
                ..request(next_id.0, class % 5)
            };
            balancer.feed(Event::RequestArrived(arrival))?;
        }
        Step::EndAttempt {
            position,
            outcome: number,
            utilization,
            is_closed,
        } => end_attempt(balancer, position, outcome(number), utilization, is_closed)?,
        Step::EndLoadProbe {
            position,
            outcome: number,
            utilization,
        } => end_load_probe(balancer, position, outcome(number), utilization)?,
        Step::Wait(duration) => balancer.wait(ms(duration))?,
        Step::ChangeEndpoint {
            id,
            state: number,
            is_restarted,
        } => {
            let started_at = is_restarted.then_some(balancer.now);
            let changed = endpoint(id, state(number), started_at);
            balancer.feed(endpoint_list(ListUpdate::Delta, vec![changed]))?;
        }
        Step::ReplaceEndpoints {
            count,
            update: number,
        } => {
            let update = update(number);
            let count = if update == ListUpdate::Failed {
                0
            } else {
                count
            };
            let endpoints = (0..count).map(|id| endpoint(id % 7, EndpointState::Active, None));
            balancer.feed(endpoint_list(update, endpoints.collect()))?;
        }
        Step::Disconnect { position } => {
            let ids: Vec<_> = balancer.observer.requests.keys().copied().collect();
            if let Some(&request) = ids.get(position % ids.len().max(1)) {
                balancer.feed(Event::ClientDisconnected { request })?;
            }
        }
        Step::Stray(number) => feed_stray_events(balancer, number)?,
    }
    Ok(())
}

fn end_attempt(
    balancer: &mut ObservedBalancer,
    position: usize,
    outcome: AttemptOutcome,
    utilization: f64,
    is_closed: bool,
) -> Result<(), String> {
    let in_flight = balancer.observer.attempts_in_flight();
    let Some(attempt) = in_flight.get(position % in_flight.len().max(1)) else {
        return Ok(());
    };
    let is_open = balancer.observer.requests[&attempt.request].is_open;
    balancer.feed(Event::AttemptEnded(AttemptResult {
        request: attempt.request,
        attempt: attempt.number,
        backend: attempt.backend,
        outcome,
        latency: ms(30),
        request_closed: outcome == AttemptOutcome::Success || (is_closed && !is_open),
        load_report: Some(load_report(utilization, utilization * 100.0)),
    }))?;
    Ok(())
}

fn end_load_probe(
    balancer: &mut ObservedBalancer,
    position: usize,
    outcome: AttemptOutcome,
    utilization: f64,
) -> Result<(), String> {
    let probes = &mut balancer.observer.probes;
    if probes.is_empty() {
        return Ok(());
    }
    let backend = probes.remove(position % probes.len());
    let report = LoadReport {
        in_flight: Some(utilization),
        ..load_report(utilization, 0.0)
    };
    balancer.feed(Event::LoadProbeEnded(LoadProbeResult {
        backend,
        outcome,
        latency: ms(1),
        load_report: Some(report),
    }))?;
    Ok(())
}

/// Events about what the balancer does not know are passed over.
fn feed_stray_events(balancer: &mut ObservedBalancer, number: u64) -> Result<(), String> {
    let request = RequestId(number | 1 << 60);
    let failed = AttemptOutcome::ServerError;
    let backend = BackendId(number as u32);
    let report = Some(load_report(0.5, 1.0));
    let stray_events = [
        attempt_ended(request.0, 0, backend, failed, report),
        Event::ClientDisconnected { request },
        Event::TimerFired {
            timer: TimerId(u32::MAX),
        },
        Event::ResponseStarted {
            request,
            attempt: 3,
            latency: ms(1),
        },
        Event::LoadProbeEnded(LoadProbeResult {
            backend: BackendId(u32::MAX),
            outcome: AttemptOutcome::Success,
            latency: ms(1),
            load_report: None,
        }),
    ];
    for event in stray_events {
        let actions = balancer.feed(event.clone())?;
        assert!(actions.is_empty(), "{actions:?} after {event:?}");
    }
    Ok(())
}

/// Sites that differ in what is reported, allowed and placed.
fn variants() -> Vec<Settings> {
    let probing = Settings {
        load_reporting: LoadReporting::OnProbe,
        throughput_reported: false,
        load_probes_allowed: true,
        hedging_allowed: true,
        ..settings()
    };
    let unreported_and_polled = Settings {
        load_reporting: LoadReporting::Absent,
        throughput_reported: false,
        polled_discovery: true,
        ..settings()
    };
    let weighted_without_retries = Settings {
        endpoint_weights_given: true,
        max_attempts: 1,
        max_retry_after: None,
        ..settings()
    };
    let placed_and_probing = Settings {
        classes: placed_settings().classes,
        max_attempts: 5,
        hedging_allowed: true,
        ..probing.clone()
    };
    vec![
        settings(),
        probing,
        unreported_and_polled,
        weighted_without_retries,
        placed_settings(),
        placed_and_probing,
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_128),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn rules_hold_over_generated_events(
        steps in proptest::collection::vec(step(), 1..120),
        seed in any::<u64>(),
    ) {
        for settings in variants() {
            if let Err(broken) = run(settings, &steps, seed) {
                prop_assert!(false, "{}", broken);
            }
        }
    }

    /// The same events and seed give the same actions.
    #[test]
    fn actions_are_determined_by_events_and_seed(
        steps in proptest::collection::vec(step(), 1..80),
        seed in any::<u64>(),
    ) {
        let first = run(settings(), &steps, seed);
        let _other = run(variants().remove(1), &steps, seed ^ 1);
        prop_assert_eq!(first, run(settings(), &steps, seed));
    }
}

// The observer itself catches a planted violation of each rule.

fn start_attempt(request: u64, backend: u32) -> Action {
    Action::StartAttempt {
        request: RequestId(request),
        backend: BackendId(backend),
        timeout: None,
    }
}

fn reject(request: u64) -> Action {
    Action::Reject {
        request: RequestId(request),
        retry_after: None,
        reason: GiveUpReason::NoEligibleBackend,
    }
}

fn fail(request: u64) -> Action {
    Action::Fail {
        request: RequestId(request),
        reason: GiveUpReason::NoEligibleBackend,
    }
}

fn server_error(request: u64, backend: u32) -> Event {
    let outcome = AttemptOutcome::ServerError;
    attempt_ended(request, 0, BackendId(backend), outcome, None)
}

/// An observer of one request of each class, numbered like it, with an attempt at backend 0 each.
fn observer_of_five_requests() -> Observer {
    let mut observer = Observer::new(settings());
    observer.on_event(at(0), &endpoint_snapshot(8));
    for class in 0..5 {
        let id = u64::from(class);
        observer.on_event(at(0), &request_arrived(id, class));
        let started = observer.on_action(at(0), &start_attempt(id, 0));
        started.expect("a first attempt is legal");
    }
    observer
}

/// Rule 1.
#[test]
fn observer_catches_a_missing_response_and_what_follows_one() {
    let observer = observer_of_five_requests();
    assert_eq!(observer.overdue_response(at(1020)), Some(RequestId(0)));
    assert_eq!(observer.overdue_response(at(900)), None);
    let mut observer = observer_of_five_requests();
    let rejected = observer.on_action(at(1), &reject(0));
    rejected.expect("idempotent requests may be rejected");
    assert!(observer.on_action(at(1), &reject(0)).is_err());
    assert!(observer.on_action(at(1), &fail(0)).is_err());
    assert!(observer.on_action(at(1), &start_attempt(0, 1)).is_err());
}

/// Rule 2.
#[test]
fn observer_catches_repeats_that_idempotency_forbids() {
    for (request, backend, when, is_legal) in [
        // Idempotent, not idempotent, keyed inside and outside its window, its zone and its cell.
        (0, 1, 1, true),
        (1, 0, 1, false),
        (2, 1, 1, true),
        (2, 1, 501, false),
        (3, 2, 1, true),
        (3, 1, 1, false),
        (4, 4, 1, true),
        (4, 2, 1, false),
    ] {
        let mut observer = observer_of_five_requests();
        let again = start_attempt(request, backend);
        assert!(
            observer.on_action(at(1), &again).is_err(),
            "two attempts in flight"
        );
        observer.on_event(at(1), &server_error(request, 0));
        assert_eq!(
            observer.on_action(at(when), &again).is_ok(),
            is_legal,
            "{request} to {backend} at {when}"
        );
        let mut observer = observer_of_five_requests();
        observer.on_event(at(1), &server_error(request, 0));
        assert_eq!(
            observer.on_action(at(1), &reject(request)).is_ok(),
            request == 0 || request == 2
        );
    }
}

/// Rule 5: a first attempt and a further one outside the class's zone, machine type, or both.
#[test]
fn observer_catches_attempts_where_the_class_may_not_go() {
    /// A backend where each class may go.
    const ALLOWED: [u32; 3] = [5, 3, 4];
    for (class, backend, is_legal) in [
        (0, 1, true),
        (0, 2, false),
        (1, 0, true),
        (1, 1, false),
        (2, 4, true),
        (2, 1, false),
        (3, 0, false),
    ] {
        for is_retry in [false, true] {
            let mut observer = Observer::new(placed_settings());
            observer.on_event(at(0), &endpoint_snapshot(8));
            observer.on_event(at(0), &request_arrived(1, class));
            let first = ALLOWED.get(usize::from(class)).filter(|_| is_retry);
            if let Some(&first) = first {
                let started = observer.on_action(at(0), &start_attempt(1, first));
                started.expect("open to the class");
                let outcome = AttemptOutcome::Rejected;
                let rejected = attempt_ended(1, 0, BackendId(first), outcome, None);
                observer.on_event(at(1), &rejected);
            }
            assert_eq!(
                observer
                    .on_action(at(1), &start_attempt(1, backend))
                    .is_ok(),
                is_legal,
                "{class} to {backend}"
            );
        }
    }
}

/// Rule 3.
#[test]
fn observer_catches_attempts_after_the_drain_grace() {
    for (when, is_legal) in [(260, true), (261, false)] {
        let mut observer = observer_of_five_requests();
        let draining = endpoint(5, EndpointState::Draining, None);
        let list = endpoint_list(ListUpdate::Delta, vec![draining]);
        observer.on_event(at(10), &list);
        observer.on_event(at(11), &request_arrived(9, 0));
        let started = observer.on_action(at(when), &start_attempt(9, 5));
        assert_eq!(started.is_ok(), is_legal);
    }
}
