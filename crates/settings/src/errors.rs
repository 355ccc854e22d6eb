//! What can be wrong with settings, said in terms of their JSON keys.

use balancer::SettingsError;

/// Settings that are not JSON, or that lack a value or hold one of the wrong type.
#[derive(Debug, thiserror::Error)]
#[error("settings at `{path}`: {source}")]
pub struct ParseError {
    /// Path of the offending key.
    pub path: String,
    /// What is wrong there.
    pub source: serde_json::Error,
}

/// Settings that can be read and that [`balancer::Settings::check`] rejects.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source} (`{key}` in the JSON settings)")]
pub struct InvalidSettings {
    /// The JSON key that holds the rejected value.
    pub key: &'static str,
    /// What is wrong with it, in the balancer's terms.
    pub source: SettingsError,
}

impl From<SettingsError> for InvalidSettings {
    fn from(source: SettingsError) -> Self {
        let key = match &source {
            SettingsError::ClassCount { .. } => "profiles",
            SettingsError::UnknownZone { .. } => "zone",
            SettingsError::OutOfRange { setting, .. } => json_key(setting),
        };
        InvalidSettings { key, source }
    }
}

/// The settings that [`balancer::Settings::check`] holds against a range, and their JSON keys.
const JSON_KEYS: &[JsonKey] = &[
    JsonKey::new("nodes", "balancers"),
    JsonKey::new("max_attempts", "limits.try_limit"),
    JsonKey::new("over_quota_weight", "over_share_worth"),
    JsonKey::new("tenants.quota_per_second", "tenants[].quota_per_s"),
    JsonKey::new("classes.latency_objective", "profiles[].promise_ns"),
    JsonKey::new("classes.deadline", "profiles[].deadline_ns"),
    JsonKey::new("classes.priority_weight", "profiles[].importance"),
    JsonKey::new("classes.late_weight", "profiles[].late_worth"),
    JsonKey::new("classes.objective_work_factor", "profiles[].aim_stretch"),
    JsonKey::new(
        "protocol_limits.slow_start_initial_capacity",
        "rules.cold_from",
    ),
    JsonKey::new("protocol_limits.overload_multiple", "rules.fall_multiple"),
];

/// One setting and the key under which the protocol gives it.
struct JsonKey {
    setting: &'static str,
    key: &'static str,
}

impl JsonKey {
    const fn new(setting: &'static str, key: &'static str) -> Self {
        JsonKey { setting, key }
    }
}

/// The JSON key of a setting; a setting that is not in the table is named as it is.
fn json_key(setting: &'static str) -> &'static str {
    JSON_KEYS
        .iter()
        .find(|entry| entry.setting == setting)
        .map_or(setting, |entry| entry.key)
}
