//! Tests of the check of settings.

use super::*;
use crate::test_common::{at, settings};
use crate::Balancer;

#[test]
fn invalid_settings_are_named() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 0, at(0))
            .err()
            .map(|e| e.to_string())
            .unwrap_or_default()
    };
    assert!(bad(|s| s.classes.clear()).contains("classes"));
    assert!(bad(|s| s.zone = ZoneId(9)).contains("zone"));
    assert!(
        bad(|s| s.protocol_limits.slow_start_initial_capacity = -0.1)
            .contains("slow_start_initial_capacity")
    );
    assert!(bad(|s| s.protocol_limits.overload_multiple = f64::NAN).contains("overload_multiple"));
    assert!(
        bad(|s| s.classes[0].priority_weight = f64::INFINITY).contains("classes.priority_weight")
    );
    assert!(bad(|s| s.nodes = 0).contains("nodes"));
    assert_eq!(bad(|_| ()), "");
}
