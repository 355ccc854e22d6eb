//! Tests of eligibility and of the weighted draw.

use super::*;
use crate::request::AttemptStatus;
use crate::test_common::{
    at, attempt_ended, endpoint, endpoint_list, endpoint_snapshot, placed_settings, request,
    request_arrived,
};
use crate::test_support::{balancer_of, share};
use crate::{Action, AttemptOutcome, Balancer, ClassId, EndpointState, ListUpdate, RequestId};

#[test]
fn draws_follow_shares() {
    let mut balancer = balancer_of(4);
    balancer.allocation.classes[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    balancer.allocation.classes[0].eligible_backends = 4.0;
    balancer.allocation.refreshed_at = Some(at(1));
    let mut counts = [0.0; 4];
    let request = request(1, 0);
    let r = Request::new(at(1), ClassId(0), &request);
    balancer.requests.insert(RequestId(1), r);
    for _ in 0..40_000 {
        let drawn = balancer.pick_backend(at(1), RequestId(1), WarmingBackends::Included);
        counts[drawn.expect("all are active").0 as usize] += 1.0;
    }
    for (i, count) in counts.iter().enumerate() {
        assert!(
            (count / 40_000.0 - share(&balancer, 0, i as u32) / 4.0).abs() < 0.01,
            "{counts:?}"
        );
    }
}

/// Shares are solved over the allowed backends only, and nothing else is drawn, also when all of
/// those are down or were tried.
#[test]
fn placed_classes_keep_to_their_allowed_backends() {
    let mut balancer = Balancer::new(placed_settings(), 7, at(0)).expect("sound settings");
    balancer.handle(at(0), endpoint_snapshot(9), &mut vec![]);
    balancer.refresh_allocation(at(0));
    let m = &balancer.allocation.classes[1];
    assert_eq!(m.eligible_backends, 6.0);
    assert!(
        (m.shares.iter().sum::<f64>() - 6.0).abs() < 1e-3,
        "{:?}",
        m.shares
    );
    let open = (0..9).filter(|&s| share(&balancer, 1, s) > 0.0);
    assert_eq!(open.filter(|s| s % 3 != 1).count(), 6, "{:?}", m.shares);
    // Class 2 has backend 4 only: once that has turned it away nothing is left, and it is refused.
    let mut actions = vec![];
    balancer.handle(at(1), request_arrived(1, 2), &mut actions);
    assert!(
        matches!(
            actions[..],
            [Action::StartAttempt {
                backend: BackendId(4),
                ..
            }]
        ),
        "{actions:?}"
    );
    actions.clear();
    balancer.handle(
        at(2),
        attempt_ended(1, 0, BackendId(4), AttemptOutcome::Rejected, None),
        &mut actions,
    );
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
    // Class 3 is open nowhere.
    actions.clear();
    balancer.handle(at(3), request_arrived(2, 3), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
    // The last gate holds whatever chose the backend.
    actions.clear();
    balancer.handle(at(4), request_arrived(3, 1), &mut vec![]);
    let request = balancer.requests.get_mut(&RequestId(3)).expect("held");
    request.attempts.clear();
    let wrong = BackendId(1);
    balancer.start_attempt(at(4), RequestId(3), Some(wrong), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "{actions:?}"
    );
}

/// What tried or closed backends leave goes to warm ones: the chance of a warming backend does not
/// grow.
#[test]
fn warming_backends_do_not_take_what_others_leave() {
    let mut balancer = balancer_of(4);
    let entries = vec![endpoint(0, EndpointState::Active, Some(at(900)))];
    balancer.handle(
        at(1000),
        endpoint_list(ListUpdate::Delta, entries),
        &mut vec![],
    );
    let mut counts = [0u32; 4];
    for k in 0..20_000 {
        let id = RequestId(k);
        let mut actions = vec![];
        balancer.handle(at(1000), request_arrived(k, 0), &mut actions);
        let Some(r) = balancer.requests.get_mut(&id) else {
            continue;
        };
        for a in &mut r.attempts {
            a.status = AttemptStatus::NotExecuted;
            a.backend = BackendId(1 + (k % 2) as u32);
        }
        if let Some(i) = balancer.pick_backend(at(1000), id, WarmingBackends::Included) {
            counts[i.0 as usize] += 1;
        }
        balancer.requests.remove(&id);
    }
    let share = share(&balancer, 0, 0) / 4.0;
    assert!(share > 0.005, "{share}");
    assert!(
        (f64::from(counts[0]) / 20_000.0 - share).abs() < 0.005,
        "{counts:?} for {share}"
    );
}
