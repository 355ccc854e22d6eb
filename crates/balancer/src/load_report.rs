//! The load report, in which a backend describes its own load.

/// A backend's report of its own load. A field that it does not report is `None`; the values are as
/// received and may be out of range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of its cores that is busy.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Number of requests that wait for service.
    pub queue_depth: Option<f64>,
    /// Number of requests in service or waiting.
    pub in_flight: Option<f64>,
    /// Recent service time of a request in seconds, without its wait.
    pub service_time: Option<f64>,
}
