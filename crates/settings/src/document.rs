//! The JSON form of the settings, with the protocol's keys and values.
//!
//! Fields and variants are named in the terms of [`balancer::Settings`]; `rename` gives the
//! protocol's name where that differs. Fields in nanoseconds end in `_ns`.

use crate::errors::ParseError;
use serde::Deserialize;

/// The settings object as a whole.
#[derive(Deserialize)]
pub(crate) struct SettingsDocument {
    #[serde(rename = "balancers", default = "single_node")]
    pub(crate) nodes: u32,
    #[serde(rename = "profiles")]
    pub(crate) classes: Vec<ClassDocument>,
    #[serde(rename = "registry_mode")]
    pub(crate) discovery_mode: DiscoveryMode,
    pub(crate) limits: AttemptLimitsDocument,
    #[serde(rename = "report")]
    pub(crate) load_report: LoadReportDocument,
    #[serde(rename = "rules")]
    pub(crate) protocol_limits: ProtocolLimitsDocument,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantDocument>,
    #[serde(rename = "over_share_worth", default)]
    pub(crate) over_quota_weight: f64,
    #[serde(rename = "weights", default)]
    pub(crate) endpoint_weights: EndpointWeights,
    #[serde(rename = "worth_by", default)]
    pub(crate) weight_unit: WeightUnit,
    #[serde(default)]
    pub(crate) zone: u8,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "kinds", default)]
    pub(crate) machine_types: Vec<String>,
}

/// How changes of the endpoint list reach a node: `registry_mode`.
#[derive(Deserialize)]
pub(crate) enum DiscoveryMode {
    /// Discovery sends them without being asked.
    #[serde(rename = "automatic")]
    Pushed,
    /// They arrive only when the node polls discovery.
    #[serde(rename = "subscribe")]
    Polled,
}

/// What the weights in the endpoint list say about the backends' sizes. All values but `Absent`
/// have the same effect.
#[derive(Deserialize, Default)]
pub(crate) enum EndpointWeights {
    /// They say nothing and are not used.
    #[default]
    #[serde(rename = "silent")]
    Absent,
    #[serde(rename = "nominal")]
    Nominal,
    #[serde(rename = "rough")]
    Rough,
    #[serde(rename = "live")]
    Live,
}

/// Whether a class's priority weight counts per request or per unit of work: `worth_by`.
#[derive(Deserialize, Default)]
pub(crate) enum WeightUnit {
    /// Once per request, whatever the request's work.
    #[default]
    #[serde(rename = "request")]
    Request,
    /// Per unit of work.
    #[serde(rename = "work")]
    Work,
}

/// Whether the requests of a class may be executed more than once: `effect`.
#[derive(Deserialize)]
pub(crate) enum WireIdempotency {
    /// Any number of times.
    #[serde(rename = "free")]
    Idempotent,
    /// Within the key scope and the key window, since an idempotency key prevents a second
    /// execution.
    #[serde(rename = "guarded")]
    Keyed,
    /// At most once: a request is repeated only if no earlier attempt can have been executed.
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

/// The backends among which requests with the same idempotency key are deduplicated: all, those of
/// a zone, or those of a cell.
#[derive(Deserialize, Default)]
pub(crate) enum WireKeyScope {
    #[default]
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Cell,
}

/// How load reports reach a node, if at all.
#[derive(Deserialize)]
pub(crate) enum WireLoadReporting {
    /// Backends send one with every response.
    #[serde(rename = "piggyback")]
    WithResponses,
    /// In answers to load probes.
    #[serde(rename = "pull")]
    OnProbe,
    /// Backends never report their load.
    #[serde(rename = "silent")]
    Absent,
}

/// One request class, an entry of `profiles`.
#[derive(Deserialize)]
pub(crate) struct ClassDocument {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "promise_ns")]
    pub(crate) latency_objective_ns: u64,
    pub(crate) deadline_ns: u64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: WireIdempotency,
    #[serde(default)]
    pub(crate) key_scope: WireKeyScope,
    #[serde(rename = "repeat_window_ns", default)]
    pub(crate) key_window_ns: u64,
    #[serde(rename = "importance")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "late_worth", default)]
    pub(crate) late_weight: f64,
    #[serde(rename = "aim_stretch", default)]
    pub(crate) objective_work_factor: f64,
    #[serde(default)]
    pub(crate) streaming: bool,
    #[serde(rename = "runs_in")]
    pub(crate) allowed_zones: Option<Vec<u8>>,
    #[serde(rename = "kinds_open")]
    pub(crate) allowed_machine_types: Option<Vec<u8>>,
}

/// What a node may do to serve a request, and how long it may wait: `limits`.
#[derive(Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the protocol has a flag for each permission"
)]
pub(crate) struct AttemptLimitsDocument {
    #[serde(rename = "try_limit")]
    pub(crate) max_attempts: u32,
    #[serde(rename = "conn_idle_ns", default)]
    pub(crate) idle_timeout_ns: u64,
    #[serde(default)]
    pub(crate) connect_timeout_ns: u64,
    #[serde(rename = "may_cancel", default)]
    pub(crate) cancellation_allowed: bool,
    #[serde(rename = "may_probe", default)]
    pub(crate) load_probes_allowed: bool,
    #[serde(rename = "second_copies", default)]
    pub(crate) hedging_allowed: bool,
    #[serde(rename = "retry_after", default)]
    pub(crate) retry_after_allowed: bool,
    #[serde(default)]
    pub(crate) max_retry_after_ns: u64,
}

/// Which figures load reports hold, in which order, and how they reach a node: `report`.
#[derive(Deserialize)]
pub(crate) struct LoadReportDocument {
    #[serde(default)]
    pub(crate) fields: Vec<String>,
    #[serde(rename = "how")]
    pub(crate) reporting: WireLoadReporting,
}

/// The protocol's limits on drains, slow start and polls: `rules`.
#[derive(Deserialize)]
pub(crate) struct ProtocolLimitsDocument {
    #[serde(rename = "ask_every_ns", default)]
    pub(crate) poll_interval_limit_ns: u64,
    #[serde(rename = "cold_from")]
    pub(crate) slow_start_initial_capacity: f64,
    pub(crate) drain_grace_ns: u64,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "overload_for_ns")]
    pub(crate) overload_duration_ns: u64,
    #[serde(rename = "warm_up_ns")]
    pub(crate) slow_start_duration_ns: u64,
}

/// One tenant, an entry of `tenants`: its name and its quota.
#[derive(Deserialize)]
pub(crate) struct TenantDocument {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "quota_per_s")]
    pub(crate) quota_per_second: f64,
}

/// Returns the default number of nodes.
fn single_node() -> u32 {
    1
}

impl SettingsDocument {
    /// Reads one JSON object, after which nothing but white space may follow.
    ///
    /// # Errors
    ///
    /// [`ParseError`] names the path at which the text is not JSON, lacks a value or holds a wrong
    /// one; for text after the object it is ".".
    pub(crate) fn read(text: &[u8]) -> Result<Self, ParseError> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let document =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| ParseError {
                path: error.path().to_string(),
                source: error.into_inner(),
            })?;
        deserializer.end().map_err(|source| ParseError {
            path: ".".into(),
            source,
        })?;
        Ok(document)
    }
}
