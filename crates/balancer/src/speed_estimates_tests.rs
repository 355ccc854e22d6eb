//! Tests of the speeds that backends are credited with.

use super::*;
use crate::test_common::{at, settings};
use crate::test_support::{balancer_with, share};
use crate::BackendId;

/// Responses of other backends of a machine type count for a backend that the node has not met.
#[test]
fn an_unknown_backend_is_valued_by_its_machine_type() {
    let settings = Settings {
        endpoint_weights_given: true,
        throughput_reported: false,
        ..settings()
    };
    let mut balancer = balancer_with(settings, 5);
    // Kinds go by id modulo 3. One backend of each of two is met, the second at three times the
    // time for its work.
    for k in 0..40u64 {
        balancer
            .fleet
            .record_response(at(k), BackendId(0), 0.02, Some(0.02));
        balancer
            .fleet
            .record_response(at(k), BackendId(1), 0.06, Some(0.02));
    }
    balancer.refresh_allocation(at(100));
    assert!(
        share(&balancer, 0, 4) < 0.7 * share(&balancer, 0, 3),
        "{:?}",
        balancer.allocation.classes[0].shares
    );
    assert!(
        (share(&balancer, 0, 0) / share(&balancer, 0, 3) - 1.0).abs() < 0.05,
        "{:?}",
        balancer.allocation.classes[0].shares
    );
    // A heavy request's long answer does not tell of a slow backend.
    let before = share(&balancer, 0, 0);
    (0..40).for_each(|_| {
        balancer
            .fleet
            .record_response(at(100), BackendId(0), 0.2, Some(0.2))
    });
    balancer.refresh_allocation(at(200));
    assert!(
        share(&balancer, 0, 0) > 0.95 * before,
        "{:?}",
        balancer.allocation.classes[0].shares
    );
}
