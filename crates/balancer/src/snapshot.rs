//! What a balancer goes by at one moment, for the node's log.

use crate::ids::BackendId;
use crate::load_report::LoadReport;

/// What a balancer holds of one backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Its price, relative to the fleet.
    pub price: f64,
    /// Its load as last reported.
    pub load: Option<f64>,
    /// Its latest load report.
    pub load_report: LoadReport,
    /// Fraction of its capacity that it has by now, at least (slow start).
    pub available_capacity: f64,
    /// Its speed, relative to the fleet's mean.
    pub speed: f64,
    /// Its part of this node's draws; 1 is an even part.
    pub share: f64,
    /// Attempts in flight there.
    pub in_flight: usize,
}

/// What a balancer goes by at one moment.
#[derive(Clone, Debug)]
pub struct BalancerSnapshot {
    /// Fraction of the first class's arrivals that is shed.
    pub shed_fraction: f64,
    /// Mean load of the backends that report.
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
