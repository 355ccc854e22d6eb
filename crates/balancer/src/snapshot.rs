//! The state of a balancer at one moment, for the node's log.

use crate::ids::BackendId;
use crate::load_report::LoadReport;

/// The state of one backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Its price, relative to the number of active backends.
    pub price: f64,
    /// Its load as last reported, in units of its capacity.
    pub load: Option<f64>,
    /// Its latest load report.
    pub load_report: LoadReport,
    /// Fraction of its full capacity that it has for certain (slow start); 1 once it is warm.
    pub available_capacity: f64,
    /// Its speed, relative to the fleet's mean.
    pub speed: f64,
    /// Its share in the draws of the first class, relative to an even share.
    pub share: f64,
    /// Attempts in flight there.
    pub in_flight: usize,
}

/// The state of a balancer at one moment.
#[derive(Clone, Debug)]
pub struct BalancerSnapshot {
    /// Fraction of the first class's arrivals that is shed.
    pub shed_fraction: f64,
    /// Mean load of the backends that report, in units of a backend's capacity.
    pub mean_load: f64,
    /// Typical latency of a response, in seconds.
    pub typical_latency: f64,
    /// Retries that the retry budget holds.
    pub retry_budget: f64,
    /// Each tenant's rate over all nodes, as a fraction of its quota.
    pub quota_usage: Vec<f64>,
    /// The active backends.
    pub backends: Vec<BackendSnapshot>,
}
