//! Tests of the times at which discovery is asked for the endpoint list.

use super::*;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, handle, ms, request_arrived, settings,
};
use crate::test_support::{balancer_with_backends, is_rejection, send_request};
use crate::{Balancer, Event};
use std::time::Duration;

/// Settings of a node that polls discovery, with this limit of the poll interval.
fn polling_settings(poll_interval_limit: Duration) -> Settings {
    let mut settings = settings();
    settings.polled_discovery = true;
    settings.protocol_limits.poll_interval_limit = poll_interval_limit;
    settings
}

/// Handles an update that sets one timer and does nothing else; returns the timer and when it
/// fires.
fn timer_after(balancer: &mut Balancer, now: Time, update: Event) -> (TimerId, Time) {
    let actions = handle(balancer, now, update);
    let [Action::SetTimer { at, timer }] = actions[..] else {
        panic!("{actions:?}")
    };
    (timer, at)
}

/// Handles a failed call and the timer of the next call; returns when that call begins.
fn fail_call(balancer: &mut Balancer, now: Time) -> Time {
    let (timer, next) = timer_after(balancer, now, endpoint_list(ListUpdate::Failed, vec![]));
    let actions = handle(balancer, next, Event::TimerFired { timer });
    assert_eq!(actions, [Action::RefreshEndpointList]);
    next
}

#[test]
fn an_empty_list_rejects_until_backends_are_listed() {
    let mut balancer = balancer_with_backends(0);
    let actions = handle(&mut balancer, at(1), request_arrived(1, 1));
    assert!(is_rejection(&actions));
    handle(&mut balancer, at(2), endpoint_snapshot(3));
    assert!(send_request(&mut balancer, at(100), 2).is_some());
}

/// Changes that a broken watch misses count as notified within seconds, however long the poll
/// interval is, so the watch has to be reopened soon. Only consecutive failures lengthen the wait.
#[test]
fn a_broken_watch_is_reopened_within_the_first_backoff() {
    for seed in 0..50 {
        let settings = polling_settings(Duration::from_secs(30));
        let mut balancer = Balancer::new(settings, seed, at(0)).expect("valid settings");
        handle(&mut balancer, at(0), endpoint_snapshot(3));
        let wait = |balancer: &mut Balancer| {
            let failed = endpoint_list(ListUpdate::Failed, vec![]);
            let (_, next) = timer_after(balancer, at(0), failed);
            (next - at(0)).as_secs_f64()
        };
        for longest in [0.25, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0] {
            assert!(wait(&mut balancer) <= longest, "seed {seed}, {longest}");
        }
        handle(&mut balancer, at(0), endpoint_snapshot(3));
        assert!(wait(&mut balancer) <= 0.25, "seed {seed}");
    }
}

/// Changes missed by failing calls count as notified 6 s after discovery had them and could be
/// reached. At that moment a call may be in flight that will time out unanswered, the next may fail
/// as well, and the one after that has to bring the list. This holds whatever failed before,
/// however long the poll interval is, and also at the first start.
#[test]
fn two_more_calls_fit_in_before_a_change_counts_as_notified() {
    /// Time after which the node abandons a call that is not answered.
    const CALL_TIMEOUT: Duration = ms(2500);
    /// Time that is left for the call that brings the list.
    const SUCCESSFUL_CALL: Duration = ms(500);
    /// Duration of a call that fails immediately.
    const NO_TIME: Duration = Duration::ZERO;
    let durations_of_failing_calls = [
        [NO_TIME, NO_TIME],
        [NO_TIME, CALL_TIMEOUT],
        [CALL_TIMEOUT, NO_TIME],
        [CALL_TIMEOUT, CALL_TIMEOUT],
    ];
    for seed in 0..200 {
        for poll_interval in [1, 10, 30, 600].map(Duration::from_secs) {
            for failed_before in 0..8 {
                for [first, second] in durations_of_failing_calls {
                    let settings = polling_settings(poll_interval);
                    let mut balancer =
                        Balancer::new(settings, seed, at(0)).expect("valid settings");
                    let mut now = at(10_000);
                    for _ in 0..failed_before {
                        now = fail_call(&mut balancer, now);
                    }
                    let reachable_from = now;
                    now = fail_call(&mut balancer, now + first);
                    now = fail_call(&mut balancer, now + second);
                    let elapsed = now + SUCCESSFUL_CALL - reachable_from;
                    assert!(
                        elapsed <= ms(6000),
                        "seed {seed}, {failed_before} failed before, {first:?} and {second:?}: \
                         {elapsed:?}"
                    );
                }
            }
        }
    }
}

/// A node that knows no active backend cannot serve until it receives a list. A node that knows
/// some keeps to the poll interval, so that the calls of many nodes stay spread out.
#[test]
fn a_node_that_knows_no_active_backend_polls_soon() {
    let longest_wait = |endpoints: &[Endpoint]| {
        let waits = (0..200).map(|seed| {
            let settings = polling_settings(Duration::from_secs(60));
            let mut balancer = Balancer::new(settings, seed, at(0)).expect("valid settings");
            let cached = endpoint_list(ListUpdate::Cached, endpoints.to_vec());
            let (_, next) = timer_after(&mut balancer, at(0), cached);
            next - at(0)
        });
        waits.max().expect("some seeds")
    };
    let none = longest_wait(&[]);
    assert!(none <= ms(2000), "{none:?}");
    let draining = longest_wait(&[endpoint(1, EndpointState::Draining, None)]);
    assert!(draining <= ms(2000), "{draining:?}");
    let active = longest_wait(&[endpoint(1, EndpointState::Active, None)]);
    assert!(active > ms(3000), "{active:?}");
}

#[test]
fn calls_of_all_nodes_to_an_unavailable_discovery_are_bounded_and_spread_out() {
    const NODES: u32 = 350;
    const SLOT: Duration = ms(50);
    /// Slots that pass until the nodes' calls no longer coincide.
    const SETTLING_SLOTS: usize = 100;
    let settings = Settings {
        polled_discovery: true,
        nodes: NODES,
        ..settings()
    };
    // 600 slots are 30 s, during which every call fails immediately.
    let mut calls_per_slot = [0u32; 600];
    for seed in 0..u64::from(NODES) {
        let mut balancer = Balancer::new(settings.clone(), seed, at(0)).expect("valid settings");
        handle(&mut balancer, at(0), endpoint_snapshot(3));
        let mut now = at(0);
        loop {
            now = fail_call(&mut balancer, now);
            let slot = (now - at(0)).as_millis() / SLOT.as_millis();
            let Some(calls) = calls_per_slot.get_mut(slot as usize) else {
                break;
            };
            *calls += 1;
        }
    }
    let settled = &calls_per_slot[SETTLING_SLOTS..];
    let total: u32 = settled.iter().sum();
    assert!(total <= NODES * 25 * 6 / 5, "{total} calls in 25 s");
    let max_calls = settled.iter().max().expect("slots");
    assert!(
        *max_calls < NODES / 8,
        "{max_calls} of {NODES} within 50 ms"
    );
}
