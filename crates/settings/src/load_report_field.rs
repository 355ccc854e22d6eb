//! The figures that a load report can hold.

use balancer::LoadReport;

/// One figure of a load report. The settings list which ones a report holds, in which order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Busy fraction of the cores.
    Utilization,
    /// Requests served per second.
    Throughput,
    /// Requests waiting in the backend's queue.
    QueueDepth,
    /// Requests accepted and not yet answered.
    InFlight,
    /// Recent service time, in milliseconds.
    ServiceTimeMs,
    /// A figure the balancer has no use for.
    Unused,
}

impl LoadReportField {
    /// The field that the settings call `name`.
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

    /// Sets this figure of `report`; `value` is in the unit of the message.
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
