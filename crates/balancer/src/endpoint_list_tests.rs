//! Tests of when the endpoint list is asked for again.

use super::*;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, handle, ms, request_arrived, settings,
};
use crate::test_support::{balancer_of, is_rejection, send_request};
use crate::{Balancer, Event};
use std::time::Duration;

fn polling_settings(poll_interval_limit: Duration) -> Settings {
    let mut settings = settings();
    settings.polled_discovery = true;
    settings.protocol_limits.poll_interval_limit = poll_interval_limit;
    settings
}

/// The timer that follows an update, and when it fires.
fn timer_after(balancer: &mut Balancer, now: Time, update: Event) -> (TimerId, Time) {
    let actions = handle(balancer, now, update);
    let [Action::SetTimer { at, timer }] = actions[..] else {
        panic!("{actions:?}")
    };
    (timer, at)
}

/// A call fails; returns when the next one begins.
fn fail_call(balancer: &mut Balancer, now: Time) -> Time {
    let (timer, next) = timer_after(balancer, now, endpoint_list(ListUpdate::Failed, vec![]));
    let actions = handle(balancer, next, Event::TimerFired { timer });
    assert_eq!(actions, [Action::RefreshEndpointList]);
    next
}

#[test]
fn an_empty_list_rejects_until_backends_are_listed() {
    let mut balancer = balancer_of(0);
    let actions = handle(&mut balancer, at(1), request_arrived(1, 1));
    assert!(is_rejection(&actions));
    handle(&mut balancer, at(2), endpoint_snapshot(3));
    assert!(send_request(&mut balancer, at(100), 2).is_some());
}

/// What a broken watch misses counts as notified within seconds, however long the poll interval is.
/// Only calls that fail consecutively are spread ever wider.
#[test]
fn a_watch_that_breaks_is_reopened_at_once() {
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

/// What failing calls have missed counts as notified 6 s after discovery had it and could be
/// reached. A call that was given up as unanswered may have begun just before that, the next may
/// fail as well, and the one after it has to bring the list: whatever failed before, however long
/// the poll interval is, and at the first start too.
#[test]
fn two_more_calls_fit_in_before_a_change_counts_as_notified() {
    /// After which the node gives up a call that is not answered.
    const UNANSWERED: Duration = ms(2500);
    /// Left for the call that brings the list.
    const ANSWER: Duration = ms(500);
    const AT_ONCE: Duration = Duration::ZERO;
    let durations_of_failing_calls = [
        [AT_ONCE, AT_ONCE],
        [AT_ONCE, UNANSWERED],
        [UNANSWERED, AT_ONCE],
        [UNANSWERED, UNANSWERED],
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
                    let took = now + ANSWER - reachable_from;
                    assert!(
                        took <= ms(6000),
                        "seed {seed}, {failed_before} failed before, {first:?} and {second:?}: \
                         {took:?}"
                    );
                }
            }
        }
    }
}

/// A node that knows no backend cannot serve before its first list. One that knows some keeps to
/// the poll interval, and its call stays spread out.
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
fn calls_of_a_fleet_to_an_unavailable_discovery_are_bounded_and_spread_out() {
    const NODES: u32 = 350;
    const SLOT: Duration = ms(50);
    /// Slots until the nodes are out of step.
    const SETTLING_SLOTS: usize = 100;
    let settings = Settings {
        polled_discovery: true,
        nodes: NODES,
        ..settings()
    };
    // Within 30 s, with every call refused at once.
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
    let most = settled.iter().max().expect("slots");
    assert!(*most < NODES / 8, "{most} of {NODES} within 50 ms");
}
