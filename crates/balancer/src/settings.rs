//! What a balancer is configured with, and the check of it.

use crate::ids::{ClassId, MachineTypeId, ZoneId};
use std::time::Duration;

/// Smallest latency objective and deadline, in seconds.
const SHORTEST_DURATION: f64 = 1e-9;
/// Classes that [`ClassId`] can name.
const MAX_CLASSES: usize = 256;

/// Which backends deduplicate requests with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// How far the requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// With an idempotency key: within the scope, for `window` after the first attempt that may
    /// have been executed.
    Keyed {
        /// Where repeats are deduplicated.
        scope: KeyScope,
        /// For how long a key is remembered.
        window: Duration,
    },
    /// Only once every earlier attempt is known not to have been executed.
    NonIdempotent,
}

impl Idempotency {
    /// How long after the first attempt that may have been executed a request may be repeated,
    /// where that is limited.
    pub fn window(self) -> Option<Duration> {
        match self {
            Idempotency::Keyed { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// How far its requests may be repeated.
    pub idempotency: Idempotency,
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The objective grows by this many times the request's own work.
    pub objective_work_factor: f64,
    /// How long clients wait in all.
    pub deadline: Duration,
    /// Value of a response within the objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the objective earns.
    pub late_weight: f64,
    /// Responses are streamed.
    pub streaming: bool,
    /// The only zones whose backends may serve it; `None`: any. An empty list allows none.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// The only machine types that may serve it; `None`: any. An empty list allows none.
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
}

/// One customer whose traffic is held against a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second over all nodes that count with their full weight.
    pub quota_per_second: f64,
}

/// How load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With every response.
    WithResponses,
    /// Only in answers to load probes.
    OnProbe,
    /// Never.
    Absent,
}

/// Limits of the protocol that the balancer must respect.
#[derive(Clone, Debug)]
pub struct ProtocolLimits {
    /// No attempt starts at a backend later than this after the node was notified of its drain.
    pub drain_grace: Duration,
    /// Fraction of its capacity that a backend has when it starts, or more.
    pub slow_start_initial_capacity: f64,
    /// A backend has its full capacity this long after its start, at the latest.
    pub slow_start_duration: Duration,
    /// Multiple of its present capacity above which a warming backend is overloaded.
    pub overload_multiple: f64,
    /// A warming backend that is overloaded for this long fails.
    pub overload_duration: Duration,
    /// A node without an open watch counts as notified this long after a change was listed.
    pub poll_interval_limit: Duration,
}

/// All that a balancer is configured with.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of the deployment"
)]
pub struct Settings {
    /// Nodes of the fleet, this one included.
    pub nodes: u32,
    /// This node's zone.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u8,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its priority weight.
    pub over_quota_weight: f64,
    /// Priority weights count per unit of work rather than per request.
    pub weight_per_work: bool,
    /// The endpoint list gives weights that mean something.
    pub endpoint_weights_given: bool,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// Load reports carry both utilization and throughput, which together tell capacity.
    pub throughput_reported: bool,
    /// Changes of the endpoint list come only when polled.
    pub polled_discovery: bool,
    /// Attempts allowed per request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Load probes may be sent.
    pub load_probes_allowed: bool,
    /// Two attempts of one request may be in flight together.
    pub hedging_allowed: bool,
    /// A connection is closed after this time without a request.
    pub idle_timeout: Duration,
    /// A connection that is not established by then counts as
    /// [`AttemptOutcome::ConnectFailed`](crate::AttemptOutcome::ConnectFailed).
    pub connect_timeout: Duration,
    /// Longest Retry-After that rejected clients follow; `None` where it is not passed on.
    pub max_retry_after: Option<Duration>,
    /// Limits of the protocol.
    pub protocol_limits: ProtocolLimits,
}

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No classes, or more than ids can name.
    #[error("classes: between 1 and 256 are needed, {count} given")]
    ClassCount {
        /// Number of classes given.
        count: usize,
    },
    /// A number that is not finite or out of its range.
    #[error("{setting}: {value} is not usable here")]
    OutOfRange {
        /// Name of the setting.
        setting: &'static str,
        /// The value given.
        value: f64,
    },
    /// The node's zone is not among the zones.
    #[error("zone: {zone} is not among the {zones} zones")]
    UnknownZone {
        /// The node's zone.
        zone: u8,
        /// Number of zones.
        zones: u8,
    },
}

impl Settings {
    /// Checks that a balancer can work with these settings.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() || self.classes.len() > MAX_CLASSES {
            return Err(SettingsError::ClassCount {
                count: self.classes.len(),
            });
        }
        for class in &self.classes {
            class.check()?;
        }
        for tenant in &self.tenants {
            check_range(
                "tenants.quota_per_second",
                tenant.quota_per_second,
                0.0,
                f64::MAX,
            )?;
        }
        check_range("over_quota_weight", self.over_quota_weight, 0.0, f64::MAX)?;
        let limits = &self.protocol_limits;
        check_range(
            "protocol_limits.slow_start_initial_capacity",
            limits.slow_start_initial_capacity,
            0.0,
            1.0,
        )?;
        check_range(
            "protocol_limits.overload_multiple",
            limits.overload_multiple,
            0.0,
            f64::MAX,
        )?;
        check_range("nodes", f64::from(self.nodes), 1.0, f64::MAX)?;
        check_range("max_attempts", f64::from(self.max_attempts), 1.0, f64::MAX)?;
        if self.zone.0 >= self.zones {
            return Err(SettingsError::UnknownZone {
                zone: self.zone.0,
                zones: self.zones,
            });
        }
        Ok(())
    }

    /// A class by its id.
    pub(crate) fn class(&self, class: ClassId) -> &RequestClass {
        &self.classes[usize::from(class.0)]
    }

    /// Whether neither load probes nor measured capacity tell how much more the backends can take.
    pub(crate) fn is_capacity_unknown(&self) -> bool {
        !self.throughput_reported && self.load_reporting != LoadReporting::OnProbe
    }

    /// The shortest latency objective of any class, in seconds.
    pub(crate) fn shortest_latency_objective(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.latency_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min)
    }
}

impl RequestClass {
    /// Seconds in which a response earns the full priority weight, given the request's own work in
    /// seconds.
    pub(crate) fn objective_seconds(&self, work: Option<f64>) -> f64 {
        self.latency_objective.as_secs_f64() + self.objective_work_factor * work.unwrap_or(0.0)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let objective = self.latency_objective.as_secs_f64();
        check_range(
            "classes.latency_objective",
            objective,
            SHORTEST_DURATION,
            f64::MAX,
        )?;
        let deadline = self.deadline.as_secs_f64();
        check_range("classes.deadline", deadline, SHORTEST_DURATION, f64::MAX)?;
        check_range(
            "classes.priority_weight",
            self.priority_weight,
            0.0,
            f64::MAX,
        )?;
        check_range("classes.late_weight", self.late_weight, 0.0, f64::MAX)?;
        check_range(
            "classes.objective_work_factor",
            self.objective_work_factor,
            0.0,
            f64::MAX,
        )
    }
}

fn check_range(
    setting: &'static str,
    value: f64,
    least: f64,
    most: f64,
) -> Result<(), SettingsError> {
    if value.is_finite() && value >= least && value <= most {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { setting, value })
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
