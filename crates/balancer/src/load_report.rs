//! The load that a backend reports of itself.

/// A backend's report of its own load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy fraction of its cores.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Requests waiting.
    pub queue_depth: Option<f64>,
    /// Requests in service or waiting.
    pub in_flight: Option<f64>,
    /// Seconds a request took lately, without waiting.
    pub service_time: Option<f64>,
}
