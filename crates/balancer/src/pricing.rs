//! Prices of backends, moved by a projected dual step on the load that backends report:
//!
//! ```text
//! price ← [price − ν · t · (ρ − load)]₊
//! ```
//!
//! where ν is the step size, t the time in seconds for which the latest report is valid, and ρ the
//! fraction of its capacity that a backend is meant to use. Prices are relative to the number of
//! active backends, and loads are in units of a backend's capacity.

use crate::backend::Backend;
use crate::estimators::{ExponentialMean, InFlightBaseline};
use crate::events::AttemptOutcome;
use crate::load_report::LoadReport;
use crate::settings::Settings;
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Seconds between two steps of a price.
pub const PRICE_INTERVAL: f64 = 0.05;
/// Seconds in which an unreported price drifts to the traffic-weighted one, and a speed to the
/// mean.
pub const DRIFT_TIME: f64 = 6.0;
/// Load beyond its capacity that is assumed of a saturated backend, in units of that capacity.
pub const EXCESS_LOAD: f64 = 0.5;
/// Multiple of the typical latency after which an unanswered attempt counts as overload.
pub const OVERDUE_LATENCY_MULTIPLE: f64 = 2.5;
/// Lowest utilization at which a report indicates a backend's capacity.
pub const MIN_INFORMATIVE_UTILIZATION: f64 = 0.05;

/// Change of a price per second and unit of excess load: the step size ν.
const STEP_SIZE: f64 = 0.15;
/// Fraction of its capacity that a backend is meant to use (ρ); less in an idle fleet.
const TARGET_LOAD: f64 = 0.7;
/// Upper bound of every load, in units of a backend's capacity.
const MAX_LOAD: f64 = 4.0;
/// Highest price above the traffic-weighted one, so that no backend is avoided for long.
const MAX_PRICE_ABOVE_TRAFFIC: f64 = 1.0;
/// Price of a failure at a backend all of whose latest responses failed.
const FAILURE_PRICE: f64 = 0.5;
/// Number of latest responses over which the fraction of failures is measured.
const FAILURE_SAMPLES: f64 = 16.0;
/// Fraction of failures from which a backend's load reports are set aside.
const FAILING_FRACTION: f64 = 0.5;
/// Utilization above which a report gives only a lower bound of the load.
const SATURATED_UTILIZATION: f64 = 0.85;
/// Seconds for which a report is valid, where reports are frequent.
const MIN_REPORT_LIFETIME: f64 = 0.5;
/// Seconds for which a report is valid, where reports are rare.
const MAX_REPORT_LIFETIME: f64 = 4.0;
/// Weight of a sample in the lifetime of reports.
const REPORT_LIFETIME_GAIN: f64 = 1.0 / 64.0;

/// What a failure did to a backend's price.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriceChange {
    /// None.
    Unchanged,
    /// The price rose, unless it was at its maximum.
    Raised,
}

/// The fleet's prices as a whole, and how reports move those of single backends.
pub struct Pricing {
    settings: Arc<Settings>,
    /// Mean price of the active backends.
    pub mean_price: f64,
    /// Mean price that this node's traffic pays.
    pub traffic_weighted_price: f64,
    /// Mean load of the active backends that report.
    pub mean_load: f64,
    /// Seconds for which a report moves a price.
    report_lifetime: ExponentialMean,
    in_flight_baseline: InFlightBaseline,
}

impl Pricing {
    /// Prices of an idle fleet.
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

    /// Seconds for which a report moves a price.
    pub fn report_lifetime(&self) -> f64 {
        self.report_lifetime.value()
    }

    /// Moves a backend's price by the whole intervals that have passed since it was last updated:
    /// by the dual step for as long as its report is valid, for the rest back towards the
    /// traffic-weighted price. `typical_latency` is in seconds.
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
        // A hung backend reports nothing: its oldest unanswered attempt counts instead.
        let overdue = backend.longest_unanswered(now).map_or(0.0, |unanswered| {
            unanswered / (OVERDUE_LATENCY_MULTIPLE * typical_latency)
        });
        if overdue > 1.0 {
            reported_time = elapsed;
            load = overdue.min(MAX_LOAD);
        }
        let target_load = TARGET_LOAD.min(self.mean_load);
        let max_price = self.traffic_weighted_price + MAX_PRICE_ABOVE_TRAFFIC;
        backend.price = (backend.price + STEP_SIZE * reported_time * (load - target_load))
            .clamp(0.0, max_price);
        // An idle backend sends no load reports: unless its price drifted back it would never be
        // picked again.
        backend.price += (self.traffic_weighted_price - backend.price)
            * ((elapsed - reported_time) / DRIFT_TIME).min(1.0);
        // A warming backend is idle since its share is bounded: if it were cheap for that, it would
        // be overloaded once it is warm.
        if backend.is_warming_up(limits, now) {
            backend.price = backend.price.max(self.traffic_weighted_price);
        }
    }

    /// Takes in a load report. One without a usable utilization is ignored.
    pub fn record_load_report(
        &mut self,
        now: Time,
        backend: &mut Backend,
        report: &LoadReport,
        typical_latency: f64,
    ) {
        let Some(utilization) = usable(report.utilization) else {
            return;
        };
        let utilization = utilization.min(MAX_LOAD);
        self.update_price(now, backend, typical_latency);
        backend.reported.report = *report;
        backend.reported.load = Some(self.load_of(report, utilization, typical_latency));
        let throughput = usable(report.throughput).unwrap_or(0.0);
        backend.reported.throughput = throughput;
        if throughput > 0.0 && utilization > MIN_INFORMATIVE_UTILIZATION {
            // The latest report says more than all before it.
            backend.speed.record(throughput / utilization, 1.0);
            backend.sampled_at = now;
        }
        let previous = std::mem::replace(&mut backend.reported.reported_at, now);
        if self.settings.is_capacity_unknown() {
            let gap = (now - previous).as_secs_f64();
            self.report_lifetime
                .record(gap.clamp(MIN_REPORT_LIFETIME, MAX_REPORT_LIFETIME));
        }
    }

    /// The load that a report indicates, in units of the backend's capacity.
    fn load_of(&mut self, report: &LoadReport, utilization: f64, typical_latency: f64) -> f64 {
        // Requests that wait count by the fraction of the latency objective that they take.
        let objective = self.settings.shortest_latency_objective();
        let queue_depth = usable(report.queue_depth).unwrap_or(0.0);
        let mut load = utilization + queue_depth * typical_latency / objective;
        if report.queue_depth.is_some() {
            return load.min(MAX_LOAD);
        }
        // What is in flight beyond the usual for this utilization waits.
        if let Some(in_flight) = usable(report.in_flight) {
            if utilization > MIN_INFORMATIVE_UTILIZATION && utilization < SATURATED_UTILIZATION {
                self.in_flight_baseline.record(in_flight, utilization);
            }
            load = load.max(self.in_flight_baseline.load(in_flight));
        }
        let saturation = (utilization - SATURATED_UTILIZATION) / (1.0 - SATURATED_UTILIZATION);
        (load + EXCESS_LOAD * saturation.clamp(0.0, 1.0)).min(MAX_LOAD)
    }

    /// Raises the price of a backend by a failed attempt or load probe: one that fails fast would
    /// look idle. Where capacity is unknown, a backend that rejects or times out is at its limit.
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
            let max_price = self.traffic_weighted_price + MAX_PRICE_ABOVE_TRAFFIC;
            backend.price = (backend.price + FAILURE_PRICE * failure_fraction).min(max_price);
            PriceChange::Raised
        };
        // A backend that answers well for the most part goes on by its load.
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

/// Counts a response that succeeded among the backend's latest ones.
pub fn record_success(backend: &mut Backend) {
    backend.failures.record(false, FAILURE_SAMPLES);
}

/// A reported number, if it is finite and not negative.
pub fn usable(reported: Option<f64>) -> Option<f64> {
    reported.filter(|value| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
#[path = "pricing_tests.rs"]
mod tests;
