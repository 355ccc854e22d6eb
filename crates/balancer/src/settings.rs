//! The settings of a balancer: request classes, tenants, properties of the deployment, and limits
//! of the protocol. [`Settings::check`] validates them.

use crate::ids::{ClassId, MachineTypeId, ZoneId};
use std::time::Duration;

/// Lower bound of latency objectives and deadlines, in seconds.
const MIN_DURATION: f64 = 1e-9;
/// Largest number of classes that [`ClassId`] can identify.
const MAX_CLASSES: usize = 256;

/// The set of backends among which requests with the same idempotency key are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends together, whatever their zone and cell.
    All,
    /// The backends of the same zone.
    Zone,
    /// The backends of the same cell.
    Cell,
}

/// Whether the requests of a class may be executed more than once, and under which conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may be executed any number of times.
    Idempotent,
    /// Requests carry an idempotency key. A request may be repeated at the backends in `scope` for
    /// `window` after the start of the first attempt that may have been executed.
    Keyed {
        /// The backends among which repeats are deduplicated, seen from the first such attempt.
        scope: KeyScope,
        /// How long a key is remembered.
        window: Duration,
    },
    /// A request may be repeated only if every earlier attempt is known not to have been executed.
    NonIdempotent,
}

impl Idempotency {
    /// Returns how long after the first attempt that may have been executed a request may be
    /// repeated, or `None` if no such time limit applies.
    pub fn window(self) -> Option<Duration> {
        match self {
            Idempotency::Keyed { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// A class of requests with common objectives, weights and placement.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether and where its requests may be repeated.
    pub idempotency: Idempotency,
    /// A response within this time, counted from the arrival of the whole request, earns the full
    /// priority weight.
    pub latency_objective: Duration,
    /// The objective is extended by this multiple of the request's own work; at least 0.
    pub objective_work_factor: f64,
    /// How long clients of this class wait for a response in all.
    pub deadline: Duration,
    /// Value of a response within the objective, relative to other classes; at least 0.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the objective earns; at least 0.
    pub late_weight: f64,
    /// Whether responses are streamed, so that work does not predict when a response starts.
    pub streaming: bool,
    /// The zones whose backends may serve this class; `None` allows all, an empty list none.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// The machine types that may serve this class; `None` allows all, an empty list none.
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
}

/// A customer whose traffic is measured against a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all nodes, that count with their full priority weight; at least 0.
    pub quota_per_second: f64,
}

/// How backends' load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// They come with every response.
    WithResponses,
    /// They come only in answers to load probes.
    OnProbe,
    /// Backends never report their load.
    Absent,
}

/// Limits that the protocol between nodes, backends and discovery sets for the balancer.
#[derive(Clone, Debug)]
pub struct ProtocolLimits {
    /// Time after which no attempt may start at a backend, counted from the moment at which the
    /// node was notified of the backend's drain.
    pub drain_grace: Duration,
    /// Fraction of its full capacity, from 0 to 1, that a backend has at least when it starts.
    pub slow_start_initial_capacity: f64,
    /// Longest time from a backend's start until it has its full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its current capacity above which a backend that is warming up is overloaded.
    pub overload_multiple: f64,
    /// A backend that is warming up fails when it is overloaded for this long; zero if there is no
    /// such limit.
    pub overload_duration: Duration,
    /// Time after which a change of the endpoint list counts as notified to a node without an open
    /// watch.
    pub poll_interval_limit: Duration,
}

/// The complete configuration of a balancer.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of the deployment"
)]
pub struct Settings {
    /// Number of nodes that share the traffic, including this one; at least 1.
    pub nodes: u32,
    /// The zone that this node runs in; below `zones`.
    pub zone: ZoneId,
    /// Number of zones of the deployment.
    pub zones: u8,
    /// The request classes, from 1 to 256, in the order of their ids.
    pub classes: Vec<RequestClass>,
    /// The tenants, in the order of their ids; empty if no quotas apply.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its priority weight; at
    /// least 0.
    pub over_quota_weight: f64,
    /// Whether priority weights count per unit of work rather than per request.
    pub weight_per_work: bool,
    /// Whether the weights in the endpoint list give the backends' relative sizes. Otherwise they
    /// are not used.
    pub endpoint_weights_given: bool,
    /// How backends' load reports reach the node, if at all.
    pub load_reporting: LoadReporting,
    /// Whether load reports contain both utilization and throughput, from which a backend's
    /// capacity follows.
    pub throughput_reported: bool,
    /// Whether changes of the endpoint list arrive only when discovery is polled.
    pub polled_discovery: bool,
    /// Largest number of attempts per request, the first included; at least 1.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether load probes may be sent.
    pub load_probes_allowed: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Time without a request after which a connection to a backend is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection that is not established counts as
    /// [`AttemptOutcome::ConnectFailed`](crate::AttemptOutcome::ConnectFailed).
    pub connect_timeout: Duration,
    /// Longest Retry-After that rejected clients comply with; `None` if clients are sent none.
    pub max_retry_after: Option<Duration>,
    /// Limits that the protocol sets for the balancer.
    pub protocol_limits: ProtocolLimits,
}

/// An error that makes settings unusable.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no classes, or more than ids can identify.
    #[error("classes: {count} given, between 1 and 256 allowed")]
    ClassCount {
        /// Number of classes in the settings.
        count: usize,
    },
    /// A number is not finite or is out of its range.
    #[error("{setting}: {value} is out of range")]
    OutOfRange {
        /// Path of the field in [`Settings`], without the positions of list entries.
        setting: &'static str,
        /// The rejected value, durations in seconds.
        value: f64,
    },
    /// The node's zone is not below the number of zones.
    #[error("zone: {zone} is not among the {zones} zones")]
    UnknownZone {
        /// The rejected position of the node's zone.
        zone: u8,
        /// Number of zones of the deployment.
        zones: u8,
    },
}

impl Settings {
    /// Checks that a balancer can work with these settings.
    ///
    /// # Errors
    ///
    /// Returns the error of the first setting that fails its check: a wrong number of classes, a
    /// number out of its range, or an unknown zone.
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

    /// Returns the class with this id.
    ///
    /// # Panics
    ///
    /// If the id is not below the number of classes.
    pub(crate) fn class(&self, class: ClassId) -> &RequestClass {
        &self.classes[usize::from(class.0)]
    }

    /// Whether neither load probes nor measured capacity show how much more load the backends can
    /// take.
    pub(crate) fn is_capacity_unknown(&self) -> bool {
        !self.throughput_reported && self.load_reporting != LoadReporting::OnProbe
    }

    /// Returns the shortest latency objective of all classes, in seconds.
    pub(crate) fn shortest_latency_objective(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.latency_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min)
    }
}

impl RequestClass {
    /// Returns the latency objective in seconds, including the extension by the request's own
    /// `work` in seconds; `None` extends it by nothing.
    pub(crate) fn objective_seconds(&self, work: Option<f64>) -> f64 {
        self.latency_objective.as_secs_f64() + self.objective_work_factor * work.unwrap_or(0.0)
    }

    /// Checks the class's objective, deadline and weights; returns the error of the first that is
    /// out of its range.
    fn check(&self) -> Result<(), SettingsError> {
        let objective = self.latency_objective.as_secs_f64();
        check_range(
            "classes.latency_objective",
            objective,
            MIN_DURATION,
            f64::MAX,
        )?;
        let deadline = self.deadline.as_secs_f64();
        check_range("classes.deadline", deadline, MIN_DURATION, f64::MAX)?;
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

/// Checks that a value is finite and within `min` and `max`, both inclusive; otherwise returns an
/// error with the name of the setting.
fn check_range(setting: &'static str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= min && value <= max {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { setting, value })
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
