//! Tests of the speeds that are estimated for backends.

use super::*;
use crate::test_common::at;
use crate::test_support::{
    balancer_with, record_response, share, shares, unknown_capacity_settings,
};
use crate::BackendId;

/// A backend of which the node has no responses yet gets the speed of its machine type, from the
/// responses of other backends of that type.
#[test]
fn a_backend_without_samples_gets_the_speed_of_its_machine_type() {
    let settings = Settings {
        endpoint_weights_given: true,
        ..unknown_capacity_settings()
    };
    let mut balancer = balancer_with(settings, 5);
    // The machine type is the id modulo 3. One backend of each of two machine types responds, the
    // second with three times the latency for the same work.
    for time in 0..40u64 {
        record_response(&mut balancer, at(time), BackendId(0), 0.02, Some(0.02));
        record_response(&mut balancer, at(time), BackendId(1), 0.06, Some(0.02));
    }
    balancer.refresh_allocation(at(100));
    let [sampled_fast, unsampled_fast, unsampled_slow] =
        [0, 3, 4].map(|id| share(&balancer, 0, BackendId(id)));
    assert!(
        unsampled_slow < 0.7 * unsampled_fast,
        "{:?}",
        shares(&balancer, 0)
    );
    assert!(
        (sampled_fast / unsampled_fast - 1.0).abs() < 0.05,
        "{:?}",
        shares(&balancer, 0)
    );
    // The high latency of a heavy request does not indicate a slow backend.
    for _ in 0..40 {
        record_response(&mut balancer, at(100), BackendId(0), 0.2, Some(0.2));
    }
    balancer.refresh_allocation(at(200));
    assert!(
        share(&balancer, 0, BackendId(0)) > 0.95 * sampled_fast,
        "{:?}",
        shares(&balancer, 0)
    );
}
