//! Errors of settings, which name the JSON key whose value is at fault.

use balancer::SettingsError;

/// An error in the text of the settings: it is not JSON, lacks a value, or holds one that is
/// unknown or has the wrong type.
#[derive(Debug, thiserror::Error)]
#[error("settings at `{path}`: {source}")]
pub struct ParseError {
    /// Path of the key at which reading failed; "." stands for the whole text.
    pub path: String,
    /// The error of the JSON reader, with line and column.
    pub source: serde_json::Error,
}

/// An error in settings that can be read but that [`balancer::Settings::check`] rejects.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source} (`{key}` in the JSON settings)")]
pub struct InvalidSettings {
    /// Path of the JSON key that holds the rejected value; `[]` stands for any entry of a list.
    pub key: &'static str,
    /// The balancer's error, which names the setting in its own terms.
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

/// The settings whose range [`balancer::Settings::check`] checks, and their JSON keys.
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

/// One setting and the JSON key that holds its value.
struct JsonKey {
    /// The name of the setting in [`SettingsError::OutOfRange`].
    setting: &'static str,
    /// Path of its key in the JSON settings.
    key: &'static str,
}

impl JsonKey {
    const fn new(setting: &'static str, key: &'static str) -> Self {
        JsonKey { setting, key }
    }
}

/// Returns the JSON key of a setting, or the setting's own name if the table lacks it.
fn json_key(setting: &'static str) -> &'static str {
    JSON_KEYS
        .iter()
        .find(|entry| entry.setting == setting)
        .map_or(setting, |entry| entry.key)
}
