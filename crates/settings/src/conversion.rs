//! Converts settings from their JSON form, [`SettingsDocument`], into [`InstanceSettings`].

use crate::document::{
    AttemptLimitsDocument, ClassDocument, DiscoveryMode, EndpointWeights, LoadReportDocument,
    ProtocolLimitsDocument, SettingsDocument, TenantDocument, WeightUnit, WireIdempotency,
    WireKeyScope, WireLoadReporting,
};
use crate::{InstanceSettings, LoadReportField, SettingNames};
use balancer::{
    Idempotency, KeyScope, LoadReporting, MachineTypeId, ProtocolLimits, RequestClass, Settings,
    Tenant, ZoneId,
};
use std::time::Duration;

impl From<SettingsDocument> for InstanceSettings {
    fn from(document: SettingsDocument) -> Self {
        let load_report_fields = document.load_report.parsed_fields();
        InstanceSettings {
            settings: document.balancer_settings(&load_report_fields),
            load_report_fields,
            names: document.into_names(),
        }
    }
}

impl SettingsDocument {
    /// Returns the balancer's settings, given the fields of the load reports. More than 255 zones
    /// count as 255, and an empty list of zones as one zone.
    fn balancer_settings(&self, load_report_fields: &[LoadReportField]) -> Settings {
        let limits = &self.limits;
        Settings {
            nodes: self.nodes,
            zone: ZoneId(self.zone),
            zones: u8::try_from(self.zones.len().max(1)).unwrap_or(u8::MAX),
            classes: self.classes.iter().map(RequestClass::from).collect(),
            tenants: self.tenants.iter().map(Tenant::from).collect(),
            over_quota_weight: self.over_quota_weight,
            weight_per_work: matches!(self.weight_unit, WeightUnit::Work),
            endpoint_weights_given: !matches!(self.endpoint_weights, EndpointWeights::Absent),
            load_reporting: LoadReporting::from(&self.load_report.reporting),
            throughput_reported: load_report_fields.contains(&LoadReportField::Utilization)
                && load_report_fields.contains(&LoadReportField::Throughput),
            polled_discovery: matches!(self.discovery_mode, DiscoveryMode::Polled),
            max_attempts: limits.max_attempts,
            cancellation_allowed: limits.cancellation_allowed,
            load_probes_allowed: limits.load_probes_allowed,
            hedging_allowed: limits.hedging_allowed,
            idle_timeout: Duration::from_nanos(limits.idle_timeout_ns),
            connect_timeout: Duration::from_nanos(limits.connect_timeout_ns),
            max_retry_after: limits.max_retry_after(),
            protocol_limits: ProtocolLimits::from(&self.protocol_limits),
        }
    }

    /// Returns the names of classes, tenants, zones, machine types and load report fields, in their
    /// order in the settings.
    fn into_names(self) -> SettingNames {
        SettingNames {
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: self.zones,
            machine_types: self.machine_types,
            load_report_fields: self.load_report.fields,
        }
    }
}

impl LoadReportDocument {
    /// Returns the fields of load reports in their order in the settings; names that are not known
    /// become [`LoadReportField::Unused`].
    fn parsed_fields(&self) -> Vec<LoadReportField> {
        self.fields
            .iter()
            .map(|name| LoadReportField::from_name(name))
            .collect()
    }
}

impl AttemptLimitsDocument {
    /// Returns the longest Retry-After, or `None` if clients are sent none.
    fn max_retry_after(&self) -> Option<Duration> {
        self.retry_after_allowed
            .then(|| Duration::from_nanos(self.max_retry_after_ns))
    }
}

impl ClassDocument {
    /// Returns the idempotency of the class; key scope and key window count only for keyed
    /// requests.
    fn idempotency(&self) -> Idempotency {
        match self.idempotency {
            WireIdempotency::Idempotent => Idempotency::Idempotent,
            WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
            WireIdempotency::Keyed => Idempotency::Keyed {
                scope: KeyScope::from(&self.key_scope),
                window: Duration::from_nanos(self.key_window_ns),
            },
        }
    }

    /// Returns the zones that may serve the class; `None` allows all.
    fn allowed_zones(&self) -> Option<Vec<ZoneId>> {
        let zones = self.allowed_zones.as_ref()?;
        Some(zones.iter().copied().map(ZoneId).collect())
    }

    /// Returns the machine types that may serve the class; `None` allows all.
    fn allowed_machine_types(&self) -> Option<Vec<MachineTypeId>> {
        let machine_types = self.allowed_machine_types.as_ref()?;
        Some(machine_types.iter().copied().map(MachineTypeId).collect())
    }
}

impl From<&ClassDocument> for RequestClass {
    fn from(class: &ClassDocument) -> Self {
        RequestClass {
            idempotency: class.idempotency(),
            latency_objective: Duration::from_nanos(class.latency_objective_ns),
            objective_work_factor: class.objective_work_factor,
            deadline: Duration::from_nanos(class.deadline_ns),
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            streaming: class.streaming,
            allowed_zones: class.allowed_zones(),
            allowed_machine_types: class.allowed_machine_types(),
        }
    }
}

impl From<&TenantDocument> for Tenant {
    fn from(tenant: &TenantDocument) -> Self {
        Tenant {
            quota_per_second: tenant.quota_per_second,
        }
    }
}

impl From<&WireKeyScope> for KeyScope {
    fn from(value: &WireKeyScope) -> Self {
        match value {
            WireKeyScope::All => KeyScope::All,
            WireKeyScope::Zone => KeyScope::Zone,
            WireKeyScope::Cell => KeyScope::Cell,
        }
    }
}

impl From<&WireLoadReporting> for LoadReporting {
    fn from(value: &WireLoadReporting) -> Self {
        match value {
            WireLoadReporting::WithResponses => LoadReporting::WithResponses,
            WireLoadReporting::OnProbe => LoadReporting::OnProbe,
            WireLoadReporting::Absent => LoadReporting::Absent,
        }
    }
}

impl From<&ProtocolLimitsDocument> for ProtocolLimits {
    fn from(limits: &ProtocolLimitsDocument) -> Self {
        ProtocolLimits {
            drain_grace: Duration::from_nanos(limits.drain_grace_ns),
            slow_start_initial_capacity: limits.slow_start_initial_capacity,
            slow_start_duration: Duration::from_nanos(limits.slow_start_duration_ns),
            overload_multiple: limits.overload_multiple,
            overload_duration: Duration::from_nanos(limits.overload_duration_ns),
            poll_interval_limit: Duration::from_nanos(limits.poll_interval_limit_ns),
        }
    }
}
