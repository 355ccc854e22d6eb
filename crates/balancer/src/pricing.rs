//! Updates the prices of backends by a projected dual step on the load that they report:
//!
//! ```text
//! price ← [price − ν · t · (ρ − load)]₊
//! ```
//!
//! where ν is the step size, t the time in seconds for which the latest report is valid, and ρ the
//! target load, that is the fraction of its capacity that a backend is meant to use. Prices are
//! relative to the number of active backends, and loads are in units of a backend's capacity.

use crate::backend::Backend;
use crate::estimators::{ExponentialMean, InFlightBaseline};
use crate::events::AttemptOutcome;
use crate::load_report::LoadReport;
use crate::settings::Settings;
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Time between two steps of a price, in seconds.
pub const PRICE_INTERVAL: f64 = 0.05;
/// Time constant, in seconds, with which the price of a backend without a valid load report drifts
/// to the traffic-weighted price, and the speed of a backend without recent samples to the mean.
pub const DRIFT_TIME: f64 = 6.0;
/// Load in excess of its capacity that a saturated backend is assumed to have, in units of that
/// capacity.
pub const EXCESS_LOAD: f64 = 0.5;
/// Multiple of the typical latency after which an attempt without a response counts as a sign of
/// overload.
pub const OVERDUE_LATENCY_MULTIPLE: f64 = 2.5;
/// Utilization above which a load report is used to estimate the backend's capacity and the number
/// of requests in flight that is usual at a utilization.
pub const MIN_INFORMATIVE_UTILIZATION: f64 = 0.05;

/// Step size (ν): change of a price per second and per unit of load above the target load.
const STEP_SIZE: f64 = 0.15;
/// Target load (ρ): fraction of its capacity that a backend is meant to use. If the mean load of
/// the fleet is lower, the mean load is the target instead.
const TARGET_LOAD: f64 = 0.7;
/// Upper bound of every load, in units of a backend's capacity.
const MAX_LOAD: f64 = 4.0;
/// Largest amount by which a price may exceed the traffic-weighted price. The bound keeps backends
/// from being avoided for long.
const MAX_PRICE_EXCESS: f64 = 1.0;
/// Amount by which a failure raises the price of a backend all of whose latest responses failed;
/// where only a fraction of them failed, the amount is multiplied by that fraction.
const FAILURE_PRICE: f64 = 0.5;
/// Number of latest responses over which a backend's fraction of failures is averaged.
const FAILURE_SAMPLES: f64 = 16.0;
/// Fraction of failures at or above which a failure replaces the load that the backend has
/// reported: with an overload if the failure indicates one, and otherwise with an unknown load.
const FAILING_FRACTION: f64 = 0.5;
/// Utilization above which a backend counts as saturated: its load report then gives only a lower
/// bound of the load.
const SATURATED_UTILIZATION: f64 = 0.85;
/// Shortest time, in seconds, for which a load report is valid; applies where reports are frequent.
const MIN_REPORT_LIFETIME: f64 = 0.5;
/// Longest time, in seconds, for which a load report is valid; applies where reports are rare.
const MAX_REPORT_LIFETIME: f64 = 4.0;
/// Weight of each new sample in the mean that gives the lifetime of load reports.
const REPORT_LIFETIME_GAIN: f64 = 1.0 / 64.0;

/// The effect of a failure on a backend's price.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriceChange {
    /// The failure did not change the price.
    Unchanged,
    /// The failure raised the price, unless that was at its upper bound already.
    Raised,
}

/// The mean price and load of the fleet, and the rules by which load reports and failures change
/// the prices of single backends.
pub struct Pricing {
    settings: Arc<Settings>,
    /// Mean price of the active backends.
    pub mean_price: f64,
    /// Mean price of the backends weighted by this node's traffic to them.
    pub traffic_weighted_price: f64,
    /// Mean load of the active backends that report it, where old reports count less; 0 while there
    /// is no report that counts.
    pub mean_load: f64,
    /// Seconds for which a load report moves a price: the mean time between the reports of a
    /// backend where capacity is unknown, otherwise [`MIN_REPORT_LIFETIME`].
    report_lifetime: ExponentialMean,
    /// The usual number of requests in flight, and the utilization that goes with it, learned from
    /// the reports of backends that are neither idle nor saturated.
    in_flight_baseline: InFlightBaseline,
}

impl Pricing {
    /// Creates the pricing of an idle fleet: all prices and loads are 0.
    pub fn new(settings: Arc<Settings>) -> Self {
        Pricing {
            settings,
            mean_price: 0.0,
            traffic_weighted_price: 0.0,
            mean_load: 0.0,
            report_lifetime: ExponentialMean::new(MIN_REPORT_LIFETIME, REPORT_LIFETIME_GAIN),
            in_flight_baseline: InFlightBaseline::default(),
        }
    }

    /// Returns the seconds for which a load report moves a price.
    pub fn report_lifetime(&self) -> f64 {
        self.report_lifetime.value()
    }

    /// Updates a backend's price for the whole price intervals that have passed since its last
    /// update: by the dual step for as long as its latest report was valid, and for the rest of the
    /// time by a drift towards the traffic-weighted price. `typical_latency` is in seconds.
    pub fn update_price(&self, now: Time, backend: &mut Backend, typical_latency: f64) {
        let limits = &self.settings.protocol_limits;
        let intervals = ((now - backend.price_updated_at).as_secs_f64() / PRICE_INTERVAL).floor();
        if intervals < 1.0 {
            return;
        }
        let elapsed = intervals * PRICE_INTERVAL;
        let report_age = (backend.price_updated_at - backend.reported.reported_at).as_secs_f64();
        backend.price_updated_at = backend.price_updated_at + Duration::from_secs_f64(elapsed);
        let mut reported_time = backend.reported.load.map_or(0.0, |_| {
            (self.report_lifetime() - report_age).clamp(0.0, elapsed)
        });
        let mut load = backend.reported.load.unwrap_or(0.0);
        // A hung backend sends no reports: the time that its oldest attempt has been without a
        // response counts as its load instead.
        let overdue_ratio = backend
            .oldest_unanswered_seconds(now)
            .map_or(0.0, |unanswered| {
                unanswered / (OVERDUE_LATENCY_MULTIPLE * typical_latency)
            });
        if overdue_ratio > 1.0 {
            reported_time = elapsed;
            load = overdue_ratio.min(MAX_LOAD);
        }
        let target_load = TARGET_LOAD.min(self.mean_load);
        let max_price = self.traffic_weighted_price + MAX_PRICE_EXCESS;
        backend.price = (backend.price + STEP_SIZE * reported_time * (load - target_load))
            .clamp(0.0, max_price);
        // An idle backend sends no load reports: unless its price drifted back, it would never be
        // drawn again.
        backend.price += (self.traffic_weighted_price - backend.price)
            * ((elapsed - reported_time) / DRIFT_TIME).min(1.0);
        // A warming backend is idle because its share is bounded: if its price fell for that
        // reason, the backend would be overloaded once it is warm.
        if backend.is_warming_up(limits, now) {
            backend.price = backend.price.max(self.traffic_weighted_price);
        }
    }

    /// Records a load report of a backend. A report whose utilization is missing, negative or not
    /// finite is ignored. `typical_latency` is in seconds.
    pub fn record_load_report(
        &mut self,
        now: Time,
        backend: &mut Backend,
        report: &LoadReport,
        typical_latency: f64,
    ) {
        let Some(utilization) = finite_non_negative(report.utilization) else {
            return;
        };
        let utilization = utilization.min(MAX_LOAD);
        self.update_price(now, backend, typical_latency);
        backend.reported.report = *report;
        backend.reported.load = Some(self.load_of(report, utilization, typical_latency));
        let throughput = finite_non_negative(report.throughput).unwrap_or(0.0);
        backend.reported.throughput = throughput;
        if throughput > 0.0 && utilization > MIN_INFORMATIVE_UTILIZATION {
            // The mean is over one sample, since the latest report says more than all before it.
            backend.speed.record(throughput / utilization, 1.0);
            backend.sampled_at = now;
        }
        let previous = std::mem::replace(&mut backend.reported.reported_at, now);
        if self.settings.is_capacity_unknown() {
            let report_interval = (now - previous).as_secs_f64();
            self.report_lifetime
                .record(report_interval.clamp(MIN_REPORT_LIFETIME, MAX_REPORT_LIFETIME));
        }
    }

    /// Returns the load that a report indicates, in units of the backend's capacity.
    fn load_of(&mut self, report: &LoadReport, utilization: f64, typical_latency: f64) -> f64 {
        // Each waiting request adds the typical latency as a fraction of the shortest latency
        // objective.
        let objective = self.settings.shortest_latency_objective();
        let queue_depth = finite_non_negative(report.queue_depth).unwrap_or(0.0);
        let mut load = utilization + queue_depth * typical_latency / objective;
        if report.queue_depth.is_some() {
            return load.min(MAX_LOAD);
        }
        // Requests in flight beyond the number that is usual at this utilization are waiting.
        if let Some(in_flight) = finite_non_negative(report.in_flight) {
            if utilization > MIN_INFORMATIVE_UTILIZATION && utilization < SATURATED_UTILIZATION {
                self.in_flight_baseline.record(in_flight, utilization);
            }
            load = load.max(self.in_flight_baseline.load(in_flight));
        }
        let saturation = (utilization - SATURATED_UTILIZATION) / (1.0 - SATURATED_UTILIZATION);
        (load + EXCESS_LOAD * saturation.clamp(0.0, 1.0)).min(MAX_LOAD)
    }

    /// Raises the price of a backend because of a failed attempt or load probe: a backend that
    /// fails fast would look idle otherwise.
    ///
    /// Where capacity is unknown, a backend that rejects a request or lets it time out is at the
    /// limit of its capacity and is given a load above that; a rejection then does not raise the
    /// price. `typical_latency` is in seconds.
    pub fn record_failure(
        &self,
        now: Time,
        backend: &mut Backend,
        outcome: AttemptOutcome,
        typical_latency: f64,
    ) -> PriceChange {
        self.update_price(now, backend, typical_latency);
        let is_capacity_unknown = self.settings.is_capacity_unknown();
        let is_full = is_capacity_unknown && outcome == AttemptOutcome::Rejected;
        let failure_fraction = match outcome {
            AttemptOutcome::ServerError | AttemptOutcome::ConnectionReset => {
                backend.failures.record(true, FAILURE_SAMPLES)
            }
            _ => 1.0,
        };
        let change = if is_full {
            PriceChange::Unchanged
        } else {
            let max_price = self.traffic_weighted_price + MAX_PRICE_EXCESS;
            backend.price = (backend.price + FAILURE_PRICE * failure_fraction).min(max_price);
            PriceChange::Raised
        };
        // A backend most of whose responses succeed keeps the load that it has reported.
        if failure_fraction >= FAILING_FRACTION {
            let is_overloaded =
                is_full || is_capacity_unknown && outcome == AttemptOutcome::TimedOut;
            if is_overloaded {
                let load = backend.reported.load.unwrap_or(0.0);
                backend.reported.load = Some(load.max(1.0 + EXCESS_LOAD));
                backend.reported.reported_at = now;
            } else {
                backend.reported.load = None;
            }
        }
        change
    }
}

/// Counts a successful response of a backend, which lowers its fraction of failures.
pub fn record_success(backend: &mut Backend) {
    backend.failures.record(false, FAILURE_SAMPLES);
}

/// Returns a reported number if it is finite and not negative, otherwise `None`.
pub fn finite_non_negative(reported: Option<f64>) -> Option<f64> {
    reported.filter(|value| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
#[path = "pricing_tests.rs"]
mod tests;
