//! The fleet of backends as one node sees it: their prices and speeds, how responses, load reports
//! and failures update these, and the inputs that they give to the share allocation.

use crate::attempt_budget::AttemptBudget;
use crate::backend::Backend;
use crate::backend_table::BackendTable;
use crate::estimators::{ExponentialMean, LatencyQuantile, MeanWork};
use crate::events::{AttemptOutcome, Endpoint, ListUpdate};
use crate::ids::BackendId;
use crate::load_report::LoadReport;
use crate::pricing::{self, PriceChange, Pricing, DRIFT_TIME};
use crate::settings::{RequestClass, Settings};
use crate::share_solver::ShareInput;
use crate::slow_start;
use crate::snapshot::BackendSnapshot;
use crate::speed_estimates::SpeedEstimates;
use crate::time::Time;
use std::sync::Arc;

/// Fraction of a backend's measured capacity that may be used; the rest covers what the reports
/// leave out.
pub const USABLE_CAPACITY_FRACTION: f64 = 0.72;
/// Weight of this node's excess attempts in flight in the price of a backend, where capacity is
/// unknown. The excess is `(actual - expected) / (expected + 1)`.
const OWN_IN_FLIGHT_PRICE: f64 = 0.5;
/// Time constant, in seconds, with which the fraction of new connections that fail decays.
const CONNECT_RECOVERY_TIME: f64 = 24.0;
/// Weight of one new connection in the exponential mean of those that fail.
const CONNECT_FAILURE_GAIN: f64 = 1.0 / 8.0;
/// Weight of one request in the exponential mean of the work of requests.
const MEAN_WORK_GAIN: f64 = 1.0 / 32.0;
/// Lower bound of a backend's speed, relative to the mean, in the share allocation.
const MIN_RELATIVE_SPEED: f64 = 0.01;
/// Total weight of all load reports, each of which loses weight with its age, up to which the fleet
/// counts as idle: its mean load is then 0.
const MIN_REPORT_WEIGHTS: f64 = 0.01;
/// Start value of the sum of recent shares; prevents a division by zero.
const MIN_RECENT_SHARE_SUM: f64 = 1e-9;
/// Lower bound of the typical latency that is assumed before the first response, in seconds.
const MIN_INITIAL_LATENCY: f64 = 1e-3;

/// This node's part of the traffic of all nodes, from which the bounds of its shares follow.
#[derive(Clone, Copy)]
pub struct NodeTraffic {
    /// Fraction of all nodes' requests that this node sends.
    pub fraction: f64,
    /// Requests of all classes that arrive at this node per second.
    pub arrivals_per_second: f64,
}

/// All backends with their prices and speeds, and the estimates that span the whole fleet.
pub struct Fleet {
    settings: Arc<Settings>,
    /// The backends' states, by id and in this node's order.
    pub backends: BackendTable,
    /// The rules that move prices, and the fleet's means of price and load.
    pub pricing: Pricing,
    /// Estimates of the backends' speeds relative to the mean.
    pub speeds: SpeedEstimates,
    /// The typical latency of a successful response, over all backends.
    pub typical_latency: LatencyQuantile,
    /// The mean work of a request, over all classes; 0 seconds while unknown.
    pub mean_work: MeanWork,
    /// Fraction of this node's latest new connections that failed, from 0 to 1.
    pub connect_failures: ExponentialMean,
    /// Limits attempts at backends that are probably warm but not certainly so.
    attempt_budget: AttemptBudget,
}

impl Fleet {
    /// Creates a fleet without backends. `rank_seed` sets this node's order of backends; it differs
    /// from node to node.
    pub fn new(settings: Arc<Settings>, rank_seed: u64) -> Self {
        let objective = settings.shortest_latency_objective();
        let initial_latency = (objective / 2.0).max(MIN_INITIAL_LATENCY);
        Fleet {
            backends: BackendTable::new(rank_seed),
            pricing: Pricing::new(settings.clone()),
            speeds: SpeedEstimates::new(settings.clone()),
            typical_latency: LatencyQuantile::new(initial_latency),
            mean_work: MeanWork::new(MEAN_WORK_GAIN),
            connect_failures: ExponentialMean::new(0.0, CONNECT_FAILURE_GAIN),
            attempt_budget: AttemptBudget::new(&settings.protocol_limits, settings.nodes),
            settings,
        }
    }

    /// Applies an endpoint list or a delta; new and restarted backends start at the mean price.
    pub fn apply_endpoint_list(&mut self, now: Time, update: ListUpdate, endpoints: &[Endpoint]) {
        let initial_price = self.pricing.mean_price;
        self.backends.apply(now, update, endpoints, initial_price);
    }

    /// Records a backend's load report; ignored if the backend is not known.
    pub fn record_load_report(&mut self, now: Time, id: BackendId, report: &LoadReport) {
        let typical_latency = self.typical_latency.seconds();
        if let Some(backend) = self.backends.get_mut(id) {
            self.pricing
                .record_load_report(now, backend, report, typical_latency);
        }
    }

    /// Records a successful response. `latency` is in seconds; `work` is the work of its request in
    /// seconds, or `None` if it is not known, in which case the mean work stands in for it.
    pub fn record_response(&mut self, now: Time, id: BackendId, latency: f64, work: Option<f64>) {
        self.typical_latency.record(latency);
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        pricing::record_success(backend);
        if backend.is_probably_warm(&self.settings.protocol_limits, now) {
            self.attempt_budget.record_response(now);
        }
        if !self.settings.throughput_reported {
            let mean_work = self.mean_work.seconds();
            // If no request's work is known, any constant yields the same relative speeds.
            let work = work.unwrap_or(if mean_work > 0.0 { mean_work } else { 1.0 });
            self.speeds.record_response(now, backend, work, latency);
        }
    }

    /// Counts an attempt that starts at a backend against the limit for probably warm backends, if
    /// it is one of these.
    pub fn record_attempt(&mut self, now: Time, id: BackendId) {
        let limits = &self.settings.protocol_limits;
        let backend = self.backends.get(id);
        if backend.is_some_and(|backend| backend.is_probably_warm(limits, now)) {
            self.attempt_budget.record_attempt(now);
        }
    }

    /// Records a failed attempt or load probe of a backend and returns what that did to its price.
    pub fn record_failure(
        &mut self,
        now: Time,
        id: BackendId,
        outcome: AttemptOutcome,
    ) -> PriceChange {
        let typical_latency = self.typical_latency.seconds();
        let Some(backend) = self.backends.get_mut(id) else {
            return PriceChange::Unchanged;
        };
        self.pricing
            .record_failure(now, backend, outcome, typical_latency)
    }

    /// Records, at the end of an attempt, whether this node has an open connection to the backend,
    /// and whether a new connection (`is_new`) failed. An attempt that was never sent tells
    /// neither.
    pub fn record_connection(
        &mut self,
        now: Time,
        id: BackendId,
        is_new: bool,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::NotSent {
            return;
        }
        if is_new {
            let has_failed = outcome == AttemptOutcome::ConnectFailed;
            self.connect_failures
                .record(if has_failed { 1.0 } else { 0.0 });
        }
        let was_connected = !matches!(
            outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset
        );
        if let Some(backend) = self.backends.get_mut(id).filter(|_| was_connected) {
            backend.connected_at = Some(now);
        }
    }

    /// Removes the attempt that started at `started_at` from those in flight at a backend, because
    /// its response has started or it has ended.
    pub fn release_in_flight(&mut self, id: BackendId, started_at: Time) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.release_in_flight(started_at);
        }
    }

    /// Returns the load of a backend in units of its capacity, or `None` if it is not known.
    pub fn load_of(&self, id: BackendId) -> Option<f64> {
        self.backends.get(id)?.reported.load
    }

    /// Updates the prices of all active backends and the fleet's means of price, load, speed and
    /// work rate. `elapsed` is the time since the last refresh, in seconds.
    pub fn refresh(&mut self, now: Time, elapsed: f64) {
        let recovery = (elapsed / CONNECT_RECOVERY_TIME).min(1.0);
        self.connect_failures.scale(1.0 - recovery);
        let count = self.backends.active_count() as f64;
        let typical_latency = self.typical_latency.seconds();
        let [mut mean_price, mut weighted_load, mut report_weights, mut weighted_speed, mut samples] =
            [0.0; 5];
        for position in 0..self.backends.active_count() {
            let backend = self.backends.nth_active_mut(position);
            self.pricing.update_price(now, backend, typical_latency);
            mean_price += backend.price / count;
            // Past their lifetime, reports lose weight in the mean load exponentially rather than
            // in one step: a fleet that sheds much load receives few reports.
            if let Some(reported_load) = backend.reported.load {
                let age = (now - backend.reported.reported_at).as_secs_f64();
                let report_weight = (self.pricing.report_lifetime() - age).min(0.0).exp();
                weighted_load += reported_load * report_weight;
                report_weights += report_weight;
            }
            decay_old_samples(now, backend, elapsed);
            weighted_speed += backend.speed.requests_per_second * backend.speed.sample_weight;
            samples += backend.speed.sample_weight;
        }
        self.pricing.mean_price = mean_price;
        self.pricing.mean_load = if report_weights > MIN_REPORT_WEIGHTS {
            weighted_load / report_weights
        } else {
            0.0
        };
        self.speeds
            .set_mean_speed((samples > 0.0).then_some(weighted_speed / samples));
        let total_work_rate: f64 = self
            .backends
            .active()
            .map(|backend| self.speeds.expected_work_rate(backend))
            .sum();
        self.speeds.set_mean_work_rate(total_work_rate / count);
    }

    /// Decides which of the probably warm backends are used like warm ones.
    ///
    /// A probably warm backend is used like a warm one if, for some class that may use it, less
    /// than half of the allowed backends are certainly warm: otherwise these few would be
    /// overloaded, or load would be shed. Attempts at such backends are limited by the attempt
    /// budget instead of by slow start; if the budget has no room, none of them counts as warm.
    pub fn update_probably_warm(&mut self, now: Time) {
        let limits = &self.settings.protocol_limits;
        let active = self.backends.active().enumerate();
        let probably_warm: Vec<usize> = active
            .filter(|(_, backend)| backend.is_probably_warm(limits, now))
            .map(|(position, _)| position)
            .collect();
        if probably_warm.is_empty() {
            return;
        }
        let mut is_needed = vec![false; self.backends.active_count()];
        if self.attempt_budget.has_room(now, probably_warm.len()) {
            for class in &self.settings.classes {
                self.mark_if_few_are_warm(now, class, &mut is_needed);
            }
        }
        for position in probably_warm {
            self.backends.nth_active_mut(position).counts_as_warm = is_needed[position];
        }
    }

    /// Marks the positions of all active backends allowed for a class, if less than half of these
    /// backends are certainly warm.
    fn mark_if_few_are_warm(&self, now: Time, class: &RequestClass, marks: &mut [bool]) {
        let limits = &self.settings.protocol_limits;
        let positions = self.backends.positions_allowed_for(class);
        let certainly_warm = positions
            .iter()
            .filter(|&&position| {
                !self
                    .backends
                    .nth_active(position)
                    .is_warming_up(limits, now)
            })
            .count();
        if 2 * certainly_warm < positions.len() {
            for position in positions {
                marks[position] = true;
            }
        }
    }

    /// Returns the price, speed and upper bound of the share of each active backend for the share
    /// allocation, in this node's order.
    pub fn share_inputs(&self, now: Time, traffic: NodeTraffic) -> Vec<ShareInput> {
        let count = self.backends.active_count() as f64;
        let [mut mean_weight, mut in_flight, mut recent_shares] = [0.0, 0.0, MIN_RECENT_SHARE_SUM];
        for backend in self.backends.active() {
            mean_weight += backend.weight / count;
            in_flight += backend.in_flight.len() as f64;
            recent_shares += backend.recent_share;
        }
        self.backends
            .active()
            .map(|backend| {
                let expected_in_flight = in_flight * backend.recent_share / recent_shares;
                let speed = self.speeds.relative_speed(backend, mean_weight);
                ShareInput {
                    price: self.corrected_price(now, backend, expected_in_flight),
                    speed: speed.max(MIN_RELATIVE_SPEED),
                    max_share: self.max_share(now, backend, speed, traffic),
                }
            })
            .collect()
    }

    /// Returns a backend's price, corrected by what this node observes before a load report can
    /// show it: the node's own attempts in flight there beyond those expected, where capacity is
    /// unknown, and the fraction of new connections that fail, where no connection to the backend
    /// is certain to be open and no capacity is known.
    fn corrected_price(&self, now: Time, backend: &Backend, expected_in_flight: f64) -> f64 {
        let own_in_flight_price = if self.settings.is_capacity_unknown() {
            OWN_IN_FLIGHT_PRICE
        } else {
            0.0
        };
        let excess = backend.in_flight.len() as f64 - expected_in_flight;
        let price = backend.price + own_in_flight_price * excess / (expected_in_flight + 1.0);
        let is_reachable = self.speeds.is_capacity_known()
            || backend.is_connected(now, self.settings.idle_timeout);
        let connect_price = if is_reachable {
            0.0
        } else {
            self.connect_failures.value()
        };
        price + connect_price
    }

    /// Returns the upper bound of a backend's share: the lower of this node's part of its usable
    /// capacity (the paper's local constraint, eq. 10), where capacity is known, and of what slow
    /// start allows. Infinite where neither applies.
    fn max_share(&self, now: Time, backend: &Backend, speed: f64, traffic: NodeTraffic) -> f64 {
        let count = self.backends.active_count() as f64;
        let mut max_share = f64::INFINITY;
        if self.speeds.is_capacity_known() {
            max_share =
                USABLE_CAPACITY_FRACTION * self.speeds.capacity(backend) * traffic.fraction * count
                    / traffic.arrivals_per_second;
        }
        let limits = &self.settings.protocol_limits;
        let usable_capacity = backend.usable_capacity(limits, now);
        if usable_capacity < 1.0 {
            let warming_share = slow_start::max_share(limits, speed, usable_capacity);
            max_share = max_share.min(warming_share);
        }
        max_share
    }

    /// Returns the expected delay of opening a connection to a backend, in seconds: the connect
    /// timeout times the fraction of new connections that fail; 0 if a connection is open.
    pub fn expected_connect_wait(&self, now: Time, backend: &Backend) -> f64 {
        if backend.is_connected(now, self.settings.idle_timeout) {
            0.0
        } else {
            self.connect_failures.value() * self.settings.connect_timeout.as_secs_f64()
        }
    }

    /// Returns the requests per second that all active backends serve together. For a backend that
    /// reports no throughput, the fleet's mean speed and load stand in for it.
    pub fn served_per_second(&self) -> f64 {
        let typical = self.speeds.mean_speed() * self.pricing.mean_load.min(1.0);
        self.backends
            .active()
            .map(|backend| backend.reported.throughput)
            .map(|throughput| {
                if throughput > 0.0 {
                    throughput
                } else {
                    typical
                }
            })
            .sum()
    }

    /// Returns the state of the active backends for the node's log. `shares` are theirs, in this
    /// node's order; a missing one counts as 0.
    pub fn snapshot(&self, now: Time, shares: &[f64]) -> Vec<BackendSnapshot> {
        let limits = &self.settings.protocol_limits;
        self.backends
            .active()
            .enumerate()
            .map(|(position, backend)| BackendSnapshot {
                backend: backend.id,
                weight: backend.weight,
                price: backend.price,
                load: backend.reported.load,
                load_report: backend.reported.report,
                available_capacity: backend.available_capacity(limits, now),
                speed: self.speeds.measured_relative_speed(backend),
                share: shares.get(position).copied().unwrap_or(0.0),
                in_flight: backend.in_flight.len(),
            })
            .collect()
    }
}

/// Reduces the weight of a backend's samples of speed and work rate if the last one is older than
/// half of [`DRIFT_TIME`]. `elapsed` is the time since the last refresh, in seconds.
fn decay_old_samples(now: Time, backend: &mut Backend, elapsed: f64) {
    if (now - backend.sampled_at).as_secs_f64() > DRIFT_TIME / 2.0 {
        let kept_fraction = 1.0 - (elapsed / DRIFT_TIME).min(1.0);
        backend.speed.sample_weight *= kept_fraction;
        backend.work_rate.sample_weight *= kept_fraction;
    }
}
