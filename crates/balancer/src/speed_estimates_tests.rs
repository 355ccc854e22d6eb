//! Tests of the speeds that backends are credited with.

use super::*;
use crate::test_common::at;
use crate::test_support::{
    balancer_with, record_response, share, shares, unknown_capacity_settings,
};
use crate::BackendId;

/// Responses of other backends of a machine type count for a backend that the node has not met.
#[test]
fn an_unknown_backend_is_valued_by_its_machine_type() {
    let settings = Settings {
        endpoint_weights_given: true,
        ..unknown_capacity_settings()
    };
    let mut balancer = balancer_with(settings, 5);
    // The machine type is the id modulo 3. One backend of each of two is met, the second with three
    // times the latency for its work.
    for time in 0..40u64 {
        record_response(&mut balancer, at(time), BackendId(0), 0.02, Some(0.02));
        record_response(&mut balancer, at(time), BackendId(1), 0.06, Some(0.02));
    }
    balancer.refresh_allocation(at(100));
    let [met_fast, unmet_fast, unmet_slow] = [0, 3, 4].map(|id| share(&balancer, 0, BackendId(id)));
    assert!(unmet_slow < 0.7 * unmet_fast, "{:?}", shares(&balancer, 0));
    assert!(
        (met_fast / unmet_fast - 1.0).abs() < 0.05,
        "{:?}",
        shares(&balancer, 0)
    );
    // The long response of a heavy request does not tell of a slow backend.
    for _ in 0..40 {
        record_response(&mut balancer, at(100), BackendId(0), 0.2, Some(0.2));
    }
    balancer.refresh_allocation(at(200));
    assert!(
        share(&balancer, 0, BackendId(0)) > 0.95 * met_fast,
        "{:?}",
        shares(&balancer, 0)
    );
}
