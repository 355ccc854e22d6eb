//! Tests of when the endpoint list is asked for again.

use super::*;
use crate::test_common::{
    at, endpoint, endpoint_list, endpoint_snapshot, ms, request_arrived, settings,
};
use crate::test_support::{balancer_of, send_request};
use crate::{Balancer, Event};
use std::time::Duration;

#[test]
fn an_empty_list_rejects_until_backends_are_listed() {
    let mut balancer = balancer_of(0);
    let mut actions = vec![];
    balancer.handle(at(1), request_arrived(1, 1), &mut actions);
    assert!(matches!(actions[..], [Action::Reject { .. }]));
    balancer.handle(at(2), endpoint_snapshot(3), &mut actions);
    assert!(send_request(&mut balancer, at(100), 2).is_some());
}

/// What a broken watch misses counts as notified within seconds, however long the poll interval is.
/// Only calls that fail consecutively are spread ever wider.
#[test]
fn a_watch_that_breaks_is_reopened_at_once() {
    for seed in 0..50 {
        let mut settings = Settings {
            polled_discovery: true,
            ..settings()
        };
        settings.protocol_limits.poll_interval_limit = Duration::from_secs(30);
        let mut balancer = Balancer::new(settings, seed, at(0)).expect("sound settings");
        balancer.handle(at(0), endpoint_snapshot(3), &mut vec![]);
        let wait = |balancer: &mut Balancer| {
            let mut actions = vec![];
            balancer.handle(
                at(0),
                endpoint_list(ListUpdate::Failed, vec![]),
                &mut actions,
            );
            match actions[..] {
                [Action::SetTimer { at: then, .. }] => (then - at(0)).as_secs_f64(),
                _ => panic!("{actions:?}"),
            }
        };
        for most in [0.25, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0] {
            assert!(wait(&mut balancer) <= most, "seed {seed}, {most}");
        }
        balancer.handle(at(0), endpoint_snapshot(3), &mut vec![]);
        assert!(wait(&mut balancer) <= 0.25, "seed {seed}");
    }
}

/// What failing calls have missed counts as notified 6 s after discovery had it and could be
/// reached. A call that was given up as unanswered may have begun just before that, the next may
/// fail as well, and the one after it has to bring the list: whatever failed before, however long
/// the poll interval is, and at the first start too.
#[test]
fn two_more_calls_fit_in_before_a_change_counts_as_notified() {
    const GIVEN_UP: u64 = 2500; // As the node does: `OPENING` in node/src/discovery.rs.
    const ANSWER: u64 = 500; // Left for the call that brings the list.
    let fail = |balancer: &mut Balancer, now: Time| -> Time {
        let mut actions = vec![];
        balancer.handle(now, endpoint_list(ListUpdate::Failed, vec![]), &mut actions);
        let [Action::SetTimer { at: then, timer }] = actions[..] else {
            panic!("{actions:?}")
        };
        let mut actions = vec![];
        balancer.handle(then, Event::TimerFired { timer }, &mut actions);
        assert_eq!(actions, [Action::RefreshEndpointList]);
        then
    };
    for seed in 0..200 {
        for ask_within in [1, 10, 30, 600] {
            for before in 0..8 {
                for (first, second) in [(0, 0), (0, GIVEN_UP), (GIVEN_UP, 0), (GIVEN_UP, GIVEN_UP)]
                {
                    let mut settings = Settings {
                        polled_discovery: true,
                        ..settings()
                    };
                    settings.protocol_limits.poll_interval_limit = Duration::from_secs(ask_within);
                    let mut balancer =
                        Balancer::new(settings, seed, at(0)).expect("sound settings");
                    let mut now = at(10_000);
                    for _ in 0..before {
                        now = fail(&mut balancer, now);
                    }
                    let reachable = now;
                    now = fail(&mut balancer, now + ms(first));
                    now = fail(&mut balancer, now + ms(second));
                    let took = now + ms(ANSWER) - reachable;
                    assert!(
                        took <= ms(6000),
                        "seed {seed}, {before} failed before, {first} and {second} ms: {took:?}"
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
    let longest = |entries: &[Endpoint]| {
        let mut settings = Settings {
            polled_discovery: true,
            ..settings()
        };
        settings.protocol_limits.poll_interval_limit = Duration::from_secs(60);
        let waits = (0..200).map(|seed| {
            let mut balancer =
                Balancer::new(settings.clone(), seed, at(0)).expect("sound settings");
            let mut actions = vec![];
            let entries = entries.to_vec();
            balancer.handle(
                at(0),
                endpoint_list(ListUpdate::Cached, entries),
                &mut actions,
            );
            let [Action::SetTimer { at: then, .. }] = actions[..] else {
                panic!("{actions:?}")
            };
            then - at(0)
        });
        waits.max().expect("waits")
    };
    assert!(longest(&[]) <= ms(2000), "{:?}", longest(&[]));
    let leaving = [endpoint(1, EndpointState::Draining, None)];
    assert!(longest(&leaving) <= ms(2000), "{:?}", longest(&leaving));
    assert!(longest(&[endpoint(1, EndpointState::Active, None)]) > ms(3000));
}

#[test]
fn calls_of_a_fleet_to_an_unavailable_discovery_are_bounded_and_spread_out() {
    const NODES: usize = 350;
    let settings = Settings {
        polled_discovery: true,
        nodes: NODES as u32,
        ..settings()
    };
    let mut calls = vec![0; 600]; // In each 50 ms of 30 s, with every call refused at once.
    for seed in 0..NODES as u64 {
        let mut balancer = Balancer::new(settings.clone(), seed, at(0)).expect("sound settings");
        balancer.handle(at(0), endpoint_snapshot(3), &mut vec![]);
        let mut now = at(0);
        loop {
            let mut actions = vec![];
            balancer.handle(now, endpoint_list(ListUpdate::Failed, vec![]), &mut actions);
            let [Action::SetTimer { at: then, timer }] = actions[..] else {
                panic!("{actions:?}")
            };
            balancer.handle(then, Event::TimerFired { timer }, &mut vec![]);
            now = then;
            let slot = ((now - at(0)).as_millis() / 50) as usize;
            match calls.get_mut(slot) {
                Some(count) => *count += 1,
                None => break,
            }
        }
    }
    let settled: usize = calls[100..].iter().sum();
    assert!(settled <= NODES * 25 * 6 / 5, "{settled} calls in 25 s");
    let most = calls[100..].iter().max().expect("slots");
    assert!(*most < NODES / 8, "{most} of {NODES} within 50 ms");
}
