//! Tests of the limit on attempts at backends that are probably warm.

use super::*;
use crate::test_common::{at, ms, settings};

fn budget(overload_multiple: f64, nodes: u32) -> AttemptBudget {
    let mut limits = settings().protocol_limits;
    limits.overload_multiple = overload_multiple;
    limits.overload_duration = ms(1000);
    AttemptBudget::new(&limits, nodes)
}

/// Returns the number of attempts made within `times`, in milliseconds, if one is tried in each
/// millisecond and made if the budget allows it.
fn attempts_within(
    budget: &mut AttemptBudget,
    times: std::ops::Range<u64>,
    backends: usize,
) -> usize {
    times
        .filter(|&time| {
            let has_room = budget.has_room(at(time), backends);
            if has_room {
                budget.record_attempt(at(time));
            }
            has_room
        })
        .count()
}

#[test]
fn without_responses_only_the_free_attempts_of_all_nodes_together_are_made() {
    assert_eq!(attempts_within(&mut budget(3.0, 1), 0..1000, 6), 18);
    assert_eq!(attempts_within(&mut budget(3.0, 6), 0..1000, 6), 3);
    assert_eq!(attempts_within(&mut budget(3.0, 300), 0..1000, 6), 0);
}

#[test]
fn attempts_follow_the_responses_of_any_earlier_window() {
    let mut budget = budget(3.0, 300);
    for time in 0..100 {
        budget.record_response(at(10 * time));
    }
    let expected = 180;
    assert_eq!(attempts_within(&mut budget, 1000..2000, 6), expected);
    assert_eq!(attempts_within(&mut budget, 5000..6000, 6), expected);
}

/// Backends that serve fewer requests than arrive get no more attempts than the overload multiple
/// times the requests that they serve.
#[test]
fn attempts_at_overloaded_backends_do_not_grow() {
    let mut budget = budget(2.0, 1);
    let mut attempts = 0;
    for time in 0..10_000 {
        if time % 50 == 0 {
            budget.record_response(at(time));
        }
        attempts += attempts_within(&mut budget, time..time + 1, 1);
    }
    // In each second 20 responses, each of which allows 1.2 attempts, and 3 free attempts.
    assert!((250..=280).contains(&attempts), "{attempts}");
}

#[test]
fn without_an_overload_duration_there_is_no_limit() {
    let mut limits = settings().protocol_limits;
    limits.overload_duration = Duration::ZERO;
    let mut budget = AttemptBudget::new(&limits, 300);
    assert_eq!(attempts_within(&mut budget, 0..1000, 1), 1000);
}
