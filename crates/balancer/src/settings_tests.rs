//! Tests of the check of settings.

use super::*;
use crate::test_common::{at, settings};
use crate::Balancer;

fn error_after(change: fn(&mut Settings)) -> String {
    let mut settings = settings();
    change(&mut settings);
    match Balancer::new(settings, 0, at(0)) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn invalid_settings_are_named() {
    assert!(error_after(|settings| settings.classes.clear()).contains("classes"));
    assert!(error_after(|settings| settings.zone = ZoneId(9)).contains("zone"));
    assert!(
        error_after(|settings| settings.protocol_limits.slow_start_initial_capacity = -0.1)
            .contains("slow_start_initial_capacity")
    );
    assert!(
        error_after(|settings| settings.protocol_limits.overload_multiple = f64::NAN)
            .contains("overload_multiple")
    );
    assert!(
        error_after(|settings| settings.classes[0].priority_weight = f64::INFINITY)
            .contains("classes.priority_weight")
    );
    assert!(error_after(|settings| settings.nodes = 0).contains("nodes"));
    assert_eq!(error_after(|_| ()), "");
}
