//! Tests that settings are checked and that errors name the rejected setting.

use super::*;
use crate::test_common::{at, settings};
use crate::Balancer;

/// Returns the text of the error for settings with this change; empty if they are accepted.
fn error_after(change: fn(&mut Settings)) -> String {
    let mut settings = settings();
    change(&mut settings);
    match Balancer::new(settings, 0, at(0)) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn errors_name_the_rejected_setting() {
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
