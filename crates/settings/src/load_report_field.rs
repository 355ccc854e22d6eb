//! The fields that a load report can hold, and their names in the settings.

use balancer::LoadReport;

/// A field of load reports. The settings list which fields a report holds, and in which order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Fraction of the backend's cores that is busy.
    Utilization,
    /// Requests served per second.
    Throughput,
    /// Number of requests that wait in the backend's queue.
    QueueDepth,
    /// Number of requests that the backend has accepted and not yet answered.
    InFlight,
    /// Recent service time of a request, in milliseconds.
    ServiceTimeMs,
    /// Any other field; the balancer does not use it.
    Unused,
}

impl LoadReportField {
    /// Returns the field that the settings call `name`; [`LoadReportField::Unused`] if there is
    /// none.
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "utilization" => LoadReportField::Utilization,
            "throughput" => LoadReportField::Throughput,
            "backlog" => LoadReportField::QueueDepth,
            "outstanding" => LoadReportField::InFlight,
            "recent_ms" => LoadReportField::ServiceTimeMs,
            _ => LoadReportField::Unused,
        }
    }

    /// Sets this field of `report` to `value`. Of the units only that of the service time differs:
    /// it is given in milliseconds and stored in seconds. [`LoadReportField::Unused`] sets nothing.
    pub fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            LoadReportField::Utilization => report.utilization = Some(value),
            LoadReportField::Throughput => report.throughput = Some(value),
            LoadReportField::QueueDepth => report.queue_depth = Some(value),
            LoadReportField::InFlight => report.in_flight = Some(value),
            LoadReportField::ServiceTimeMs => report.service_time = Some(value / 1e3),
            LoadReportField::Unused => {}
        }
    }
}
