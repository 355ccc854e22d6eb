//! A copy of the state of a balancer and its backends at one moment, for the node's log.

use crate::ids::BackendId;
use crate::load_report::LoadReport;

/// The state of one active backend at the time of the snapshot.
#[derive(Clone, Copy, Debug)]
pub struct BackendSnapshot {
    /// The backend that the other fields describe.
    pub backend: BackendId,
    /// Its weight in the endpoint list, or the default weight if that is not a positive finite
    /// number.
    pub weight: f64,
    /// Its price, at least 0, relative to the number of active backends.
    pub price: f64,
    /// Its load by the latest load report or an overloaded attempt since, in units of its capacity;
    /// `None` if it is not known.
    pub load: Option<f64>,
    /// Its latest load report; all fields are `None` before the first.
    pub load_report: LoadReport,
    /// Fraction of its full capacity that it certainly has under slow start; 1 once it is warm.
    pub available_capacity: f64,
    /// Its estimated speed, relative to the fleet's mean, whatever its weight in the endpoint list.
    pub speed: f64,
    /// Its share of the first class's draws, relative to an even share (1 if all are equal).
    pub share: f64,
    /// Number of this node's attempts in flight there.
    pub in_flight: usize,
}

/// The state of a balancer at the time of the snapshot.
#[derive(Clone, Debug)]
pub struct BalancerSnapshot {
    /// Fraction of the first class's arrivals that is shed because of the load that attempts met.
    pub shed_fraction: f64,
    /// Mean load of the active backends that report one, in units of a backend's capacity.
    pub mean_load: f64,
    /// Typical latency of a successful response, in seconds.
    pub typical_latency: f64,
    /// Number of retries left in the retry budget.
    pub retry_budget: f64,
    /// Each tenant's rate of admitted requests, estimated over all nodes, as a fraction of its
    /// quota; in the order of the settings.
    pub quota_usage: Vec<f64>,
    /// The active backends, in this node's order.
    pub backends: Vec<BackendSnapshot>,
}
