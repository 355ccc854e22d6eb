//! Property tests of the protocol's rules: an independent observer checks the balancer's actions
//! under generated sequences of events. Further tests check that the observer detects violations.

mod common;
#[path = "common/observer.rs"]
mod observer;

use balancer::*;
use common::*;
use observer::{ObservedBalancer, Observer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// One step of a generated sequence. A position selects one of the attempts in flight, of the load
/// probes or of the requests, modulo their number. Numbers that stand for outcomes, states and
/// updates are mapped to them by [`outcome`], [`state`] and [`update`].
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives; `class` counts modulo 5. `remaining` and `work` are in milliseconds.
    Arrive {
        class: u8,
        remaining: u64,
        work: Option<u64>,
    },
    /// An attempt in flight ends, with `utilization` in its load report. A success
    /// closes its request; another outcome does so if `is_closed` and if the client has already
    /// disconnected or been sent a final response.
    EndAttempt {
        position: usize,
        outcome: u8,
        utilization: f64,
        is_closed: bool,
    },
    /// A load probe ends, with `utilization` in its load report.
    EndLoadProbe {
        position: usize,
        outcome: u8,
        utilization: f64,
    },
    /// This many milliseconds pass.
    Wait(u64),
    /// A delta of the endpoint list with one entry arrives.
    ChangeEndpoint {
        id: u32,
        state: u8,
        is_restarted: bool,
    },
    /// A whole endpoint list arrives, or a call to discovery fails.
    ReplaceEndpoints { count: u32, update: u8 },
    /// The client of a request, open or closed, disconnects.
    Disconnect { position: usize },
    /// Events arrive that refer to requests, timers and backends that the balancer does not know.
    UnknownIds(u64),
}

/// Generates one step. Arrivals and ends of attempts are the most frequent; utilization includes
/// values that no backend should report.
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
        1 => any::<u64>().prop_map(Step::UnknownIds),
    ]
}

/// Returns the outcome with this number, modulo the number of outcomes.
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

/// Returns the endpoint state with this number, modulo the number of states.
fn state(number: u8) -> EndpointState {
    const STATES: [EndpointState; 3] = [
        EndpointState::Active,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    STATES[usize::from(number) % STATES.len()]
}

/// Returns the kind of list update with this number, modulo 4; two of the four are snapshots and
/// none is a delta.
fn update(number: u8) -> ListUpdate {
    const UPDATES: [ListUpdate; 4] = [
        ListUpdate::Snapshot,
        ListUpdate::Cached,
        ListUpdate::Failed,
        ListUpdate::Snapshot,
    ];
    UPDATES[usize::from(number) % UPDATES.len()]
}

/// Runs generated steps, beginning with 8 active backends, and returns all actions; an error names
/// the rule that was broken.
fn run(settings: Settings, steps: &[Step], seed: u64) -> Result<Vec<Action>, String> {
    let mut balancer = ObservedBalancer::new(settings, seed);
    balancer.feed(endpoint_snapshot(8))?;
    for (id, step) in (1..).zip(steps) {
        run_step(&mut balancer, RequestId(id), step)?;
    }
    // All that is still pending then ends by its own timeout or deadline.
    balancer.wait(ms(3000))?;
    Ok(balancer.all_actions)
}

/// Runs one step; a request that arrives in it gets the id `next_id`.
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
        Step::UnknownIds(number) => feed_events_with_unknown_ids(balancer, number)?,
    }
    Ok(())
}

/// Ends the attempt in flight at this position, after 30 ms; does nothing if none is in flight.
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

/// Ends the load probe at this position, after 1 ms; does nothing if none is pending.
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

/// Feeds events that refer to requests, timers and backends that the balancer does not know, and
/// checks that it returns no actions.
fn feed_events_with_unknown_ids(
    balancer: &mut ObservedBalancer,
    number: u64,
) -> Result<(), String> {
    let request = RequestId(number | 1 << 60);
    let failed = AttemptOutcome::ServerError;
    let backend = BackendId(number as u32);
    let report = Some(load_report(0.5, 1.0));
    let events = [
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
    for event in events {
        let actions = balancer.feed(event.clone())?;
        assert!(actions.is_empty(), "{actions:?} after {event:?}");
    }
    Ok(())
}

/// Returns settings of deployments that differ in load reporting, discovery, endpoint weights, what
/// is allowed and whether classes are restricted to some backends.
fn settings_variants() -> Vec<Settings> {
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
    let restricted_and_probing = Settings {
        classes: restricted_settings().classes,
        max_attempts: 5,
        hedging_allowed: true,
        ..probing.clone()
    };
    vec![
        settings(),
        probing,
        unreported_and_polled,
        weighted_without_retries,
        restricted_settings(),
        restricted_and_probing,
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
        for settings in settings_variants() {
            if let Err(violation) = run(settings, &steps, seed) {
                prop_assert!(false, "{}", violation);
            }
        }
    }

    /// The same settings, events and seed give the same actions, whatever another balancer does in
    /// between.
    #[test]
    fn actions_are_determined_by_events_and_seed(
        steps in proptest::collection::vec(step(), 1..80),
        seed in any::<u64>(),
    ) {
        let first = run(settings(), &steps, seed);
        let _other = run(settings_variants().remove(1), &steps, seed ^ 1);
        prop_assert_eq!(first, run(settings(), &steps, seed));
    }
}

// Tests of the observer: it reports a deliberate violation of each rule that it checks.

/// Starts an attempt that may last until the client stops waiting.
fn start_attempt(request: u64, backend: u32) -> Action {
    Action::StartAttempt {
        request: RequestId(request),
        backend: BackendId(backend),
        timeout: None,
    }
}

/// Returns the action that rejects a request for lack of an eligible backend, without a
/// Retry-After.
fn reject(request: u64) -> Action {
    Action::Reject {
        request: RequestId(request),
        retry_after: None,
        reason: GiveUpReason::NoEligibleBackend,
    }
}

/// Answers a request with a failure.
fn fail(request: u64) -> Action {
    Action::Fail {
        request: RequestId(request),
        reason: GiveUpReason::NoEligibleBackend,
    }
}

/// Ends the first attempt of a request with an error of the backend, so that it may have been
/// executed.
fn server_error(request: u64, backend: u32) -> Event {
    let outcome = AttemptOutcome::ServerError;
    attempt_ended(request, 0, BackendId(backend), outcome, None)
}

/// Returns an observer that has seen one request of each class of [`settings`], with the class as
/// its id, and for each a first attempt at backend 0 that is still in flight.
fn observer_of_five_requests() -> Observer {
    let mut observer = Observer::new(settings());
    observer.on_event(at(0), &endpoint_snapshot(8));
    for class in 0..5 {
        let id = u64::from(class);
        observer.on_event(at(0), &request_arrived(id, class));
        let started = observer.on_action(at(0), &start_attempt(id, 0));
        started.expect("a first attempt is allowed");
    }
    observer
}

/// Rule 1: an overdue response is reported, and so are a second response and an attempt after a
/// response.
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

/// Rule 2: repeats and rejections after an attempt that may have been executed, per idempotency.
#[test]
fn observer_catches_repeats_that_idempotency_forbids() {
    for (request, backend, at_ms, is_allowed) in [
        // Idempotent; non-idempotent; key scope all, within and beyond the key window; key scope
        // zone, at the same and at another zone; key scope cell, at the same and at another cell.
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
        let repeat = start_attempt(request, backend);
        assert!(
            observer.on_action(at(1), &repeat).is_err(),
            "two attempts in flight"
        );
        observer.on_event(at(1), &server_error(request, 0));
        assert_eq!(
            observer.on_action(at(at_ms), &repeat).is_ok(),
            is_allowed,
            "request {request}, backend {backend}, {at_ms} ms"
        );
        let mut observer = observer_of_five_requests();
        observer.on_event(at(1), &server_error(request, 0));
        assert_eq!(
            observer.on_action(at(1), &reject(request)).is_ok(),
            request == 0 || request == 2
        );
    }
}

/// Rule 5: first attempts and retries at backends that the class does not allow by zone, by machine
/// type, by both, or at all.
#[test]
fn observer_catches_attempts_where_the_class_may_not_go() {
    /// For each of the classes 0 to 2, a backend that may serve it; class 3 has none.
    const ALLOWED: [u32; 3] = [5, 3, 4];
    for (class, backend, is_allowed) in [
        (0, 1, true),
        (0, 2, false),
        (1, 0, true),
        (1, 1, false),
        (2, 4, true),
        (2, 1, false),
        (3, 0, false),
    ] {
        for is_retry in [false, true] {
            let mut observer = Observer::new(restricted_settings());
            observer.on_event(at(0), &endpoint_snapshot(8));
            observer.on_event(at(0), &request_arrived(1, class));
            let first = ALLOWED.get(usize::from(class)).filter(|_| is_retry);
            if let Some(&first) = first {
                let started = observer.on_action(at(0), &start_attempt(1, first));
                started.expect("a backend that the class allows");
                let outcome = AttemptOutcome::Rejected;
                let rejected = attempt_ended(1, 0, BackendId(first), outcome, None);
                observer.on_event(at(1), &rejected);
            }
            assert_eq!(
                observer
                    .on_action(at(1), &start_attempt(1, backend))
                    .is_ok(),
                is_allowed,
                "class {class}, backend {backend}"
            );
        }
    }
}

/// Rule 3: the drain grace of 250 ms ends 260 ms after the start, since the drain is notified at
/// 10 ms.
#[test]
fn observer_catches_attempts_after_the_drain_grace() {
    for (at_ms, is_allowed) in [(260, true), (261, false)] {
        let mut observer = observer_of_five_requests();
        let draining = endpoint(5, EndpointState::Draining, None);
        let list = endpoint_list(ListUpdate::Delta, vec![draining]);
        observer.on_event(at(10), &list);
        observer.on_event(at(11), &request_arrived(9, 0));
        let started = observer.on_action(at(at_ms), &start_attempt(9, 5));
        assert_eq!(started.is_ok(), is_allowed);
    }
}
