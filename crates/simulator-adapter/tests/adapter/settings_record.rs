//! Tests of the settings with which an instance starts, and of their errors.

use crate::support::{event_frame, init, switch_to, SETTINGS};
use balancer::{Idempotency, KeyScope, MachineTypeId, ZoneId};
use settings::parse;
use simulator_adapter::instances::InstanceTable;
use std::time::Duration;

#[test]
fn settings_are_read() {
    let settings = parse(SETTINGS.as_bytes()).unwrap().settings;
    assert_eq!((settings.nodes, settings.zone.0), (4, 1));
    assert!(settings.throughput_reported);
    let [unrestricted, restricted] = &settings.classes[..] else {
        panic!("{:?}", settings.classes)
    };
    let keyed = Idempotency::Keyed {
        scope: KeyScope::Cell,
        window: Duration::from_secs(3),
    };
    assert_eq!(restricted.idempotency, keyed);
    assert_eq!(
        restricted.allowed_machine_types,
        Some(vec![MachineTypeId(1)])
    );
    assert_eq!(restricted.allowed_zones, Some(vec![ZoneId(0), ZoneId(1)]));
    assert_eq!(unrestricted.allowed_machine_types, None);
    assert_eq!(unrestricted.allowed_zones, None);
}

#[test]
fn errors_name_the_key_of_unreadable_settings() {
    let error_with = |from: &str, to: &str| {
        let text = SETTINGS.replace(from, to);
        parse(text.as_bytes()).unwrap_err().to_string()
    };
    let error = error_with("\"guarded\"", "\"sometimes\"");
    assert!(
        error.contains("profiles[1].effect") && error.contains("sometimes"),
        "{error}"
    );
    assert!(error_with("\"zone\": 1", "\"zone\": \"x\"").contains("zone"));
    assert!(error_with("\"tenants\"", "tenants").contains("settings at"));
}

#[test]
fn errors_name_the_key_of_invalid_settings() {
    let text = SETTINGS.replace("\"zone\": 1", "\"zone\": 7");
    let frame = event_frame(1, &[switch_to(1), init(&text)], text.as_bytes());
    let error = InstanceTable::default().handle_frame(&frame).unwrap_err();
    assert!(error.to_string().contains("zone: 7"), "{error}");
}
