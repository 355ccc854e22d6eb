//! The backends with their prices and speeds, and the updates of these from responses, load reports
//! and failures.

use crate::backend::Backend;
use crate::backend_table::BackendTable;
use crate::call_budget::CallBudget;
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

/// Fraction of its measured capacity up to which a backend is used; reports miss the rest.
pub const USABLE_CAPACITY_FRACTION: f64 = 0.72;
/// Price of this node's own attempts in flight at a backend, per multiple of those usual there.
const OWN_IN_FLIGHT_PRICE: f64 = 0.5;
/// Time constant, in seconds, with which the fraction of failed new connections decays.
const CONNECT_RECOVERY_TIME: f64 = 24.0;
/// Weight of a new connection in the fraction that fails.
const CONNECT_FAILURE_GAIN: f64 = 1.0 / 8.0;
/// Weight of a request in the mean work.
const MEAN_WORK_GAIN: f64 = 1.0 / 32.0;
/// Lowest relative speed that a backend counts with.
const MIN_RELATIVE_SPEED: f64 = 0.01;
/// Sum of trust in load reports below which the fleet counts as idle.
const MIN_REPORT_TRUST: f64 = 0.01;
/// Initial value of the sum of recent shares, against a division by zero.
const MIN_SUM_OF_SHARES: f64 = 1e-9;
/// Lower bound of the initial typical latency, in seconds.
const MIN_INITIAL_LATENCY: f64 = 1e-3;

/// This node's part of the traffic of all nodes.
#[derive(Clone, Copy)]
pub struct NodeTraffic {
    /// Fraction of all requests that this node sends.
    pub fraction: f64,
    /// Requests that arrive here per second.
    pub arrivals_per_second: f64,
}

/// The backends, their prices and speeds.
pub struct Fleet {
    settings: Arc<Settings>,
    /// The backends.
    pub backends: BackendTable,
    /// Their prices.
    pub pricing: Pricing,
    /// Their speeds.
    pub speeds: SpeedEstimates,
    /// The typical latency of a response.
    pub typical_latency: LatencyQuantile,
    /// The mean work of a request.
    pub mean_work: MeanWork,
    /// Fraction of the latest new connections that failed.
    pub connect_failures: ExponentialMean,
    /// The limit for backends that are probably warm.
    call_budget: CallBudget,
}

impl Fleet {
    /// No backends yet. `rank_seed` differs from node to node.
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
            call_budget: CallBudget::new(&settings.protocol_limits, settings.nodes),
            settings,
        }
    }

    /// Takes in an endpoint list or changes to it; new backends start at the mean price.
    pub fn apply_endpoint_list(&mut self, now: Time, update: ListUpdate, endpoints: &[Endpoint]) {
        let initial_price = self.pricing.mean_price;
        self.backends.apply(now, update, endpoints, initial_price);
    }

    /// Takes in a backend's load report.
    pub fn record_load_report(&mut self, now: Time, id: BackendId, report: &LoadReport) {
        let typical_latency = self.typical_latency.seconds();
        if let Some(backend) = self.backends.get_mut(id) {
            self.pricing
                .record_load_report(now, backend, report, typical_latency);
        }
    }

    /// Takes in a response that succeeded, with its latency in seconds and the work in seconds of
    /// its request, where known.
    pub fn record_response(&mut self, now: Time, id: BackendId, latency: f64, work: Option<f64>) {
        self.typical_latency.record(latency);
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        pricing::record_success(backend);
        if backend.is_probably_warm(&self.settings.protocol_limits, now) {
            self.call_budget.record_response(now);
        }
        if !self.settings.throughput_reported {
            let mean_work = self.mean_work.seconds();
            // Where no work is known at all, any constant gives the same relative speeds.
            let work = work.unwrap_or(if mean_work > 0.0 { mean_work } else { 1.0 });
            self.speeds.record_response(now, backend, work, latency);
        }
    }

    /// Counts an attempt that starts at a backend.
    pub fn record_attempt(&mut self, now: Time, id: BackendId) {
        let limits = &self.settings.protocol_limits;
        let backend = self.backends.get(id);
        if backend.is_some_and(|backend| backend.is_probably_warm(limits, now)) {
            self.call_budget.record_attempt(now);
        }
    }

    /// Takes in a failed attempt or load probe.
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

    /// Records, at the end of an attempt, whether the backend has an open connection, and how often
    /// new connections fail.
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

    /// Removes an attempt from those in flight at a backend: it is answered or has ended.
    pub fn release_in_flight(&mut self, id: BackendId, started_at: Time) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.release_in_flight(started_at);
        }
    }

    /// Load of a backend in units of its capacity, where known.
    pub fn load_of(&self, id: BackendId) -> Option<f64> {
        self.backends.get(id)?.reported.load
    }

    /// Updates all prices and the means of price, load and speed. `elapsed` is in seconds since the
    /// last refresh.
    pub fn refresh(&mut self, now: Time, elapsed: f64) {
        let recovery = (elapsed / CONNECT_RECOVERY_TIME).min(1.0);
        self.connect_failures.scale(1.0 - recovery);
        let count = self.backends.active_count() as f64;
        let typical_latency = self.typical_latency.seconds();
        let [mut price, mut load, mut trusts, mut speed, mut samples] = [0.0; 5];
        for position in 0..self.backends.active_count() {
            let backend = self.backends.nth_active_mut(position);
            self.pricing.update_price(now, backend, typical_latency);
            price += backend.price / count;
            // Old reports fade out of the mean load: a fleet that sheds much receives few reports.
            if let Some(reported_load) = backend.reported.load {
                let age = (now - backend.reported.reported_at).as_secs_f64();
                let trust = (self.pricing.report_lifetime() - age).min(0.0).exp();
                load += reported_load * trust;
                trusts += trust;
            }
            fade_old_samples(now, backend, elapsed);
            speed += backend.speed.requests_per_second * backend.speed.sample_weight;
            samples += backend.speed.sample_weight;
        }
        self.pricing.mean_price = price;
        self.pricing.mean_load = if trusts > MIN_REPORT_TRUST {
            load / trusts
        } else {
            0.0
        };
        self.speeds
            .set_mean_speed((samples > 0.0).then_some(speed / samples));
        let work_rates: f64 = self
            .backends
            .active()
            .map(|backend| self.speeds.expected_work_rate(backend))
            .sum();
        self.speeds.set_mean_work_rate(work_rates / count);
    }

    /// Decides which backends count as warm that are probably so. They do where less than half of
    /// the backends open to a class are certainly warm: the others would be overloaded, or load
    /// would be shed. What they get is limited by counted attempts instead.
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
        if self.call_budget.has_room(now, probably_warm.len()) {
            for class in &self.settings.classes {
                self.mark_where_few_are_warm(now, class, &mut is_needed);
            }
        }
        for position in probably_warm {
            self.backends.nth_active_mut(position).counts_as_warm = is_needed[position];
        }
    }

    /// Marks the positions open to a class if less than half of these backends are certainly warm.
    fn mark_where_few_are_warm(&self, now: Time, class: &RequestClass, marks: &mut [bool]) {
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

    /// What the share allocation needs of each active backend, in the node's order.
    pub fn share_inputs(&self, now: Time, traffic: NodeTraffic) -> Vec<ShareInput> {
        let count = self.backends.active_count() as f64;
        let [mut mean_weight, mut in_flight, mut recent_shares] = [0.0, 0.0, MIN_SUM_OF_SHARES];
        for backend in self.backends.active() {
            mean_weight += backend.weight / count;
            in_flight += backend.in_flight.len() as f64;
            recent_shares += backend.recent_share;
        }
        self.backends
            .active()
            .map(|backend| {
                let usual_in_flight = in_flight * backend.recent_share / recent_shares;
                let speed = self.speeds.relative_speed(backend, mean_weight);
                ShareInput {
                    price: self.present_price(now, backend, usual_in_flight),
                    speed: speed.max(MIN_RELATIVE_SPEED),
                    max_share: self.max_share(now, backend, speed, traffic),
                }
            })
            .collect()
    }

    /// A backend's price, corrected by what this node knows before a report can: its own attempts in
    /// flight beyond the usual, and failing connections.
    fn present_price(&self, now: Time, backend: &Backend, usual_in_flight: f64) -> f64 {
        let own_price = if self.settings.is_capacity_unknown() {
            OWN_IN_FLIGHT_PRICE
        } else {
            0.0
        };
        let excess = backend.in_flight.len() as f64 - usual_in_flight;
        let price = backend.price + own_price * excess / (usual_in_flight + 1.0);
        let is_reachable = self.speeds.is_capacity_known()
            || backend.is_connected(now, self.settings.idle_timeout);
        let connect_price = if is_reachable {
            0.0
        } else {
            self.connect_failures.value()
        };
        price + connect_price
    }

    /// Largest share of a backend: this node's part of its usable capacity (the paper's local
    /// constraint, eq. 10), and what slow start allows.
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

    /// Extra wait, in seconds, to be expected at a backend without an open connection.
    pub fn expected_connect_wait(&self, now: Time, backend: &Backend) -> f64 {
        if backend.is_connected(now, self.settings.idle_timeout) {
            0.0
        } else {
            self.connect_failures.value() * self.settings.connect_timeout.as_secs_f64()
        }
    }

    /// Requests per second that the active backends serve, by their reports; for those that report
    /// none, by the fleet's mean speed and load.
    pub fn served_per_second(&self) -> f64 {
        let usual = self.speeds.mean_speed() * self.pricing.mean_load.min(1.0);
        self.backends
            .active()
            .map(|backend| backend.reported.throughput)
            .map(|throughput| if throughput > 0.0 { throughput } else { usual })
            .sum()
    }

    /// What the node logs of its active backends, given their shares in the node's order.
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

/// Reduces the weight of the samples of a backend that has not responded recently.
fn fade_old_samples(now: Time, backend: &mut Backend, elapsed: f64) {
    if (now - backend.sampled_at).as_secs_f64() > DRIFT_TIME / 2.0 {
        let kept = 1.0 - (elapsed / DRIFT_TIME).min(1.0);
        backend.speed.sample_weight *= kept;
        backend.work_rate.sample_weight *= kept;
    }
}
