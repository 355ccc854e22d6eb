//! Tests of which backends are eligible and of the weighted draw.

use super::*;
use crate::request::AttemptStatus;
use crate::test_common::{at, endpoint, handle, request, request_arrived, restricted_settings};
use crate::test_support::{
    attempted_backend, balancer_with, balancer_with_backends, change_endpoints, end_attempt,
    is_rejection, share, shares,
};
use crate::{AttemptOutcome, ClassId, EndpointState, RequestId};

#[test]
fn draws_follow_shares() {
    const DRAWS: u32 = 40_000;
    let mut balancer = balancer_with_backends(4);
    balancer.allocation.classes[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    balancer.allocation.classes[0].eligible_backends = 4.0;
    balancer.allocation.refreshed_at = Some(at(1));
    let pending = Request::new(at(1), ClassId(0), &request(1, 0));
    balancer.requests.insert(RequestId(1), pending);
    let mut counts = [0u32; 4];
    for _ in 0..DRAWS {
        let drawn = balancer.pick_backend(at(1), RequestId(1), WarmingBackends::Included);
        counts[drawn.expect("all are active").0 as usize] += 1;
    }
    for (id, &count) in (0..).map(BackendId).zip(&counts) {
        let fraction = f64::from(count) / f64::from(DRAWS);
        let expected = share(&balancer, 0, id) / 4.0;
        assert!((fraction - expected).abs() < 0.01, "{counts:?}");
    }
}

/// The shares of a class with allowed zones or machine types are solved over the allowed backends
/// only, and no other backend is drawn, also if all of those are down or were tried.
#[test]
fn restricted_classes_use_only_allowed_backends() {
    let mut balancer = balancer_with(restricted_settings(), 9);
    balancer.refresh_allocation(at(0));
    // Class 1 may not go to machine type 1.
    assert_eq!(balancer.allocation.classes[1].eligible_backends, 6.0);
    let sum: f64 = shares(&balancer, 1).iter().sum();
    assert!((sum - 6.0).abs() < 1e-3, "{:?}", shares(&balancer, 1));
    let with_share = (0..9).filter(|&id| share(&balancer, 1, BackendId(id)) > 0.0);
    assert_eq!(
        with_share.filter(|id| id % 3 != 1).count(),
        6,
        "{:?}",
        shares(&balancer, 1)
    );
    // Class 2 may use backend 4 only: once that has rejected a request, no backend is left for it.
    let actions = handle(&mut balancer, at(1), request_arrived(1, 2));
    let attempted: Vec<_> = actions.iter().map(attempted_backend).collect();
    assert_eq!(attempted, [Some(BackendId(4))]);
    let rejected = AttemptOutcome::Rejected;
    let actions = end_attempt(&mut balancer, at(2), 1, BackendId(4), rejected);
    assert!(is_rejection(&actions), "{actions:?}");
    // Class 3 may use none of the backends.
    let actions = handle(&mut balancer, at(3), request_arrived(2, 3));
    assert!(is_rejection(&actions), "{actions:?}");
    // An attempt at a backend that is not allowed does not start, whatever chose the backend.
    handle(&mut balancer, at(4), request_arrived(3, 1));
    let request = balancer.requests.get_mut(&RequestId(3)).expect("pending");
    request.attempts.clear();
    let mut actions = vec![];
    balancer.start_attempt(at(4), RequestId(3), Some(BackendId(1)), &mut actions);
    assert!(is_rejection(&actions), "{actions:?}");
}

/// The shares of backends that were tried or are ineligible go to warm backends: the probability of
/// drawing a warming backend does not grow.
#[test]
fn warming_backends_do_not_take_the_shares_of_ineligible_ones() {
    const WARMING: BackendId = BackendId(0);
    const DRAWS: u32 = 20_000;
    let mut balancer = balancer_with_backends(4);
    let warming = endpoint(WARMING.0, EndpointState::Active, Some(at(900)));
    change_endpoints(&mut balancer, at(1000), vec![warming]);
    let mut draws_of_warming = 0;
    for draw in 0..DRAWS {
        let id = RequestId(u64::from(draw));
        handle(&mut balancer, at(1000), request_arrived(id.0, 0));
        let Some(request) = balancer.requests.get_mut(&id) else {
            continue;
        };
        for attempt in &mut request.attempts {
            attempt.status = AttemptStatus::NotExecuted;
            attempt.backend = BackendId(1 + draw % 2);
        }
        let drawn = balancer.pick_backend(at(1000), id, WarmingBackends::Included);
        if drawn == Some(WARMING) {
            draws_of_warming += 1;
        }
        balancer.requests.remove(&id);
    }
    let expected = share(&balancer, 0, WARMING) / 4.0;
    assert!(expected > 0.005, "{expected}");
    let fraction = f64::from(draws_of_warming) / f64::from(DRAWS);
    assert!(
        (fraction - expected).abs() < 0.005,
        "{fraction} for {expected}"
    );
}
