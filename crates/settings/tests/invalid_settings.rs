//! Tests that the error of a setting that the balancer rejects names its JSON key.

use balancer::{Settings, SettingsError};
use settings::{parse, InvalidSettings};

/// Settings that pass the check, in which the tests replace single values.
const VALID: &str = r#"{
    "balancers": 2, "over_share_worth": 0.5, "zone": 1, "zones": ["x", "y"],
    "profiles": [{"name": "buy", "promise_ns": 1, "deadline_ns": 2, "effect": "free",
                  "importance": 1.0, "late_worth": 0.25, "aim_stretch": 1.5}],
    "tenants": [{"name": "a", "quota_per_s": 3.0}],
    "registry_mode": "automatic", "limits": {"try_limit": 4}, "report": {"how": "pull"},
    "rules": {"cold_from": 0.1, "drain_grace_ns": 1, "fall_multiple": 3.0,
              "overload_for_ns": 1, "warm_up_ns": 1}
}"#;

/// Returns the error for the valid settings with `from` replaced by `to`. Fails if `from` does not
/// occur in them.
fn rejection(from: &str, to: &str) -> InvalidSettings {
    assert!(VALID.contains(from), "{from}");
    let instance = parse(VALID.replace(from, to).as_bytes()).expect("settings that can be read");
    let source = instance.settings.check().expect_err("invalid settings");
    InvalidSettings::from(source)
}

#[test]
fn valid_settings_pass_the_check() {
    let settings: Settings = parse(VALID.as_bytes()).expect("valid settings").settings;
    assert_eq!(settings.check(), Ok(()));
}

#[test]
fn each_rejected_setting_is_named_by_its_json_key() {
    for (from, to, key) in [
        (r#""balancers": 2"#, r#""balancers": 0"#, "balancers"),
        (r#""try_limit": 4"#, r#""try_limit": 0"#, "limits.try_limit"),
        (
            r#""over_share_worth": 0.5"#,
            r#""over_share_worth": -1.0"#,
            "over_share_worth",
        ),
        (
            r#""quota_per_s": 3.0"#,
            r#""quota_per_s": -1.0"#,
            "tenants[].quota_per_s",
        ),
        (
            r#""promise_ns": 1"#,
            r#""promise_ns": 0"#,
            "profiles[].promise_ns",
        ),
        (
            r#""deadline_ns": 2"#,
            r#""deadline_ns": 0"#,
            "profiles[].deadline_ns",
        ),
        (
            r#""importance": 1.0"#,
            r#""importance": -1.0"#,
            "profiles[].importance",
        ),
        (
            r#""late_worth": 0.25"#,
            r#""late_worth": -1.0"#,
            "profiles[].late_worth",
        ),
        (
            r#""aim_stretch": 1.5"#,
            r#""aim_stretch": -1.0"#,
            "profiles[].aim_stretch",
        ),
        (
            r#""cold_from": 0.1"#,
            r#""cold_from": 1.1"#,
            "rules.cold_from",
        ),
        (
            r#""fall_multiple": 3.0"#,
            r#""fall_multiple": -1.0"#,
            "rules.fall_multiple",
        ),
        (r#""zone": 1"#, r#""zone": 2"#, "zone"),
    ] {
        let rejection = rejection(from, to);
        assert_eq!(rejection.key, key, "{rejection}");
        assert!(rejection.to_string().contains(&format!("`{key}`")));
    }
}

#[test]
fn missing_classes_are_named_by_their_json_key() {
    let text = VALID.replace(r#""profiles": [{"#, r#""profiles": [], "skipped": [{"#);
    let source = parse(text.as_bytes())
        .expect("settings that can be read")
        .settings
        .check()
        .expect_err("no class");
    assert_eq!(source, SettingsError::ClassCount { count: 0 });
    assert_eq!(InvalidSettings::from(source).key, "profiles");
}

#[test]
fn message_names_the_setting_its_value_and_its_key() {
    let rejection = rejection(r#""cold_from": 0.1"#, r#""cold_from": 1.5"#);
    assert_eq!(
        rejection.to_string(),
        "protocol_limits.slow_start_initial_capacity: 1.5 is out of range \
         (`rules.cold_from` in the JSON settings)"
    );
}
