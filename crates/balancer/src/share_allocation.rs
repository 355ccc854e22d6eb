//! Computes the share of each backend in the traffic of each request class.
//!
//! The requests of a class draw their backends by shares over the backends that the class may use.
//! The shares solve the concave program of [`share_solver`](crate::share_solver) at the backends'
//! prices.

use crate::estimators::MeanWork;
use crate::fleet::Fleet;
use crate::ids::ClassId;
use crate::numeric::MIN_DIVISOR;
use crate::pricing::PRICE_INTERVAL;
use crate::rate::Rate;
use crate::settings::{LoadReporting, Settings};
use crate::share_solver::{solve_shares, ShareInput};
use crate::time::Time;
use std::sync::Arc;

/// Number of this node's attempts per active backend after which the shares are solved again before
/// the price interval has ended, where capacity is unknown.
const REFRESH_ATTEMPTS_PER_BACKEND: f64 = 0.2;
/// Lower bound of `price + lambda` in the [`share_solver`](crate::share_solver), where capacity is
/// known. It keeps the shares of failing backends near 0 where the upper bounds of the other shares
/// leave no room for the rest of the traffic.
const MIN_TOTAL_PRICE: f64 = 0.1;
/// Time, in seconds, within which a node should receive a response from each backend that it uses;
/// determines how many backends it uses where capacity is unknown.
const TARGET_RESPONSE_INTERVAL: f64 = 1.0;
/// Lower bound of the number of backends that a node uses for a class, if as many are allowed.
const MIN_BACKENDS: f64 = 5.0;
/// Largest amount by which a backend's price may exceed the traffic-weighted price for the backend
/// to count towards the number of backends used, where no load is reported.
const USABLE_PRICE_MARGIN: f64 = 0.25;
/// Factor by which a backend's recent share decays per price interval.
const RECENT_SHARE_DECAY: f64 = 0.95;
/// Value of lambda at which the share solver's first search for a class begins.
const INITIAL_LAMBDA: f64 = 0.5;
/// Weight of each new sample in a class's mean work.
const MEAN_WORK_GAIN: f64 = 1.0 / 64.0;
/// Time constant, in seconds, of the arrival rate of a class.
const ARRIVAL_WINDOW: f64 = 1.0;
/// Time constant, in seconds, of the attempt rate that determines the number of backends used.
const ATTEMPT_RATE_WINDOW: f64 = 10.0;

/// The shares of one class, and the rates and the mean work that they are computed from.
pub struct ClassAllocation {
    /// Shares of the active backends in the node's order. Their sum is at most
    /// `eligible_backends`; the share is 0 for each backend that is not among those.
    pub shares: Vec<f64>,
    /// Number of active backends over which the traffic of the class is distributed.
    pub eligible_backends: f64,
    /// The multiplier of the last solution, at which the next search begins.
    lambda: f64,
    /// Mean work of a request in seconds: the expected work that requests give or, where they give
    /// none, the latency of their responses.
    pub mean_work: MeanWork,
    /// Rate at which requests of the class arrive at this node.
    pub arrivals: Rate,
    /// Rate at which attempts of the class start at this node.
    attempts: Rate,
}

impl ClassAllocation {
    fn new(now: Time) -> Self {
        ClassAllocation {
            shares: Vec::new(),
            eligible_backends: 0.0,
            lambda: INITIAL_LAMBDA,
            mean_work: MeanWork::new(MEAN_WORK_GAIN),
            arrivals: Rate::new(now, ARRIVAL_WINDOW),
            attempts: Rate::new(now, ATTEMPT_RATE_WINDOW),
        }
    }
}

/// A class's part of the traffic, and how much of that finds no room in the shares' upper bounds.
#[derive(Clone, Copy)]
pub struct ClassPlacement {
    /// Fraction of all arrivals at this node that are of the class.
    pub traffic_fraction: f64,
    /// Fraction of the class's traffic for which the upper bounds of the shares leave no room.
    pub unplaced_fraction: f64,
}

/// Computes the shares of all classes and decides when they are due to be solved again.
pub struct ShareAllocation {
    settings: Arc<Settings>,
    /// The shares of each class, in the order of the settings.
    pub classes: Vec<ClassAllocation>,
    /// When the shares were last solved; `None` before that and once they are out of date.
    pub refreshed_at: Option<Time>,
    /// Attempts that have started since the shares were last solved.
    attempts_since_refresh: f64,
}

impl ShareAllocation {
    /// Creates an allocation without any shares; they are due to be solved immediately.
    pub fn new(settings: Arc<Settings>, now: Time) -> Self {
        let classes = settings.classes.iter().map(|_| ClassAllocation::new(now));
        ShareAllocation {
            classes: classes.collect(),
            settings,
            refreshed_at: None,
            attempts_since_refresh: 0.0,
        }
    }

    /// Returns the shares of a class and what they are computed from.
    pub fn class(&self, class: ClassId) -> &ClassAllocation {
        &self.classes[usize::from(class.0)]
    }

    /// Returns the mean work of a class's requests, to record another sample.
    pub fn mean_work_mut(&mut self, class: ClassId) -> &mut MeanWork {
        &mut self.classes[usize::from(class.0)].mean_work
    }

    /// Counts a request of the class that arrives.
    pub fn record_arrival(&mut self, now: Time, class: ClassId) {
        self.classes[usize::from(class.0)].arrivals.record(now, 1.0);
    }

    /// Counts an attempt of the class that starts.
    pub fn record_attempt(&mut self, now: Time, class: ClassId) {
        self.classes[usize::from(class.0)].attempts.record(now, 1.0);
        self.attempts_since_refresh += 1.0;
    }

    /// Marks the shares as out of date, so that the next refresh solves them again.
    pub fn invalidate(&mut self) {
        self.refreshed_at = None;
    }

    /// Decides whether the shares are due to be solved again: once per price interval, when they
    /// are out of date, or after a few of this node's own attempts where capacity is unknown, since
    /// only these indicate the load there.
    ///
    /// If so, returns the seconds since the last solution (the price interval if the shares are out
    /// of date) and records `now` as the time of the solution. Returns `None` if the shares are not
    /// due or there is no active backend.
    pub fn begin_refresh(&mut self, now: Time, active_backends: usize) -> Option<f64> {
        let elapsed = self
            .refreshed_at
            .map_or(PRICE_INTERVAL, |at| (now - at).as_secs_f64());
        let max_attempts = REFRESH_ATTEMPTS_PER_BACKEND * active_backends as f64;
        let is_stale =
            self.settings.is_capacity_unknown() && self.attempts_since_refresh > max_attempts;
        if (elapsed < PRICE_INTERVAL && !is_stale) || active_backends == 0 {
            return None;
        }
        self.refreshed_at = Some(now);
        self.attempts_since_refresh = 0.0;
        Some(elapsed)
    }

    /// Returns the requests of each class that arrive per second, in the order of the settings.
    pub fn arrival_rates(&mut self, now: Time) -> Vec<f64> {
        self.classes
            .iter_mut()
            .map(|class| class.arrivals.advance(now))
            .collect()
    }

    /// Solves the shares of each class over the backends that it may use.
    ///
    /// Also updates the recent shares of the backends and the traffic-weighted price. `inputs` has
    /// one entry for each active backend in the node's order, `arrival_rates` the requests per
    /// second of each class, and `elapsed` is the time since the last solution in seconds. Returns,
    /// for each class, how much of its traffic finds no room in the upper bounds of the shares.
    pub fn allocate_shares(
        &mut self,
        now: Time,
        elapsed: f64,
        fleet: &mut Fleet,
        inputs: &[ShareInput],
        arrival_rates: &[f64],
    ) -> Vec<ClassPlacement> {
        let mut eligible: Vec<Vec<usize>> = self
            .settings
            .classes
            .iter()
            .map(|class| fleet.backends.positions_allowed_for(class))
            .collect();
        let total_rate = total_rate(arrival_rates);
        let density = traffic_density(&eligible, arrival_rates, inputs.len());
        let narrower_work = self.work_of_narrower_classes(&eligible, arrival_rates, inputs);
        if self.settings.is_capacity_unknown() {
            self.limit_backends_in_use(now, fleet, inputs, &mut eligible);
        }
        let intervals = elapsed / PRICE_INTERVAL;
        let decay = RECENT_SHARE_DECAY.powf(intervals);
        for position in 0..inputs.len() {
            fleet.backends.nth_active_mut(position).recent_share *= decay;
        }
        let mut traffic_weighted_price = 0.0;
        let mut placements = Vec::with_capacity(eligible.len());
        for (class, positions) in eligible.iter().enumerate() {
            let class_inputs = class_inputs(positions, inputs, &density, &narrower_work[class]);
            let shares = self.solve_class(fleet, class, positions, &class_inputs, inputs.len());
            let count = positions.len() as f64;
            let traffic_fraction = arrival_rates[class] / total_rate;
            for (&position, share) in positions.iter().zip(&shares) {
                let backend = fleet.backends.nth_active_mut(position);
                backend.recent_share += traffic_fraction * share / count * elapsed / PRICE_INTERVAL;
                traffic_weighted_price += traffic_fraction * backend.price * share / count;
            }
            placements.push(ClassPlacement {
                traffic_fraction,
                unplaced_fraction: 1.0 - shares.iter().sum::<f64>() / count.max(1.0),
            });
        }
        fleet.pricing.traffic_weighted_price = traffic_weighted_price;
        placements
    }

    /// Solves the shares of one class, stores them, and returns them in the order of `positions`.
    fn solve_class(
        &mut self,
        fleet: &Fleet,
        class: usize,
        positions: &[usize],
        class_inputs: &[ShareInput],
        active_backends: usize,
    ) -> Vec<f64> {
        let min_total_price = if fleet.speeds.is_capacity_known() {
            MIN_TOTAL_PRICE
        } else {
            0.0
        };
        let allocation = &mut self.classes[class];
        let solution = solve_shares(class_inputs, min_total_price, allocation.lambda);
        allocation.lambda = solution.lambda;
        allocation.eligible_backends = positions.len() as f64;
        allocation.shares.clear();
        allocation.shares.resize(active_backends, 0.0);
        for (&position, &share) in positions.iter().zip(&solution.shares) {
            allocation.shares[position] = share;
        }
        solution.shares
    }

    /// Returns, for each class and backend, the work that classes with fewer eligible backends
    /// bring there, in units of the class's own mean work per eligible backend. The capacity that
    /// this work takes is not available to the class.
    fn work_of_narrower_classes(
        &self,
        eligible: &[Vec<usize>],
        arrival_rates: &[f64],
        inputs: &[ShareInput],
    ) -> Vec<Vec<f64>> {
        let work_rates: Vec<f64> = self
            .classes
            .iter()
            .zip(arrival_rates)
            .map(|(class, rate)| class.mean_work.seconds() * rate)
            .collect();
        let mut work_taken = vec![vec![0.0; inputs.len()]; eligible.len()];
        for (class, positions) in eligible.iter().enumerate() {
            if work_rates[class] <= 0.0 {
                continue;
            }
            let count = positions.len() as f64;
            for (other, narrower) in eligible.iter().enumerate() {
                if narrower.len() >= positions.len() {
                    continue;
                }
                let speeds: f64 = narrower
                    .iter()
                    .map(|&position| inputs[position].speed)
                    .sum();
                let work_per_speed = work_rates[other] / work_rates[class] * count / speeds;
                for &position in narrower {
                    work_taken[class][position] += work_per_speed * inputs[position].speed;
                }
            }
        }
        work_taken
    }

    /// Limits each class to as many backends as this node's attempts can reach often enough, the
    /// first in the node's order.
    ///
    /// Where no load is reported, backends with a high price do not count and warming ones count by
    /// what they can take, so that further backends are used. Otherwise all the traffic that these
    /// cannot take would fall on the few healthy backends among the first.
    fn limit_backends_in_use(
        &mut self,
        now: Time,
        fleet: &Fleet,
        inputs: &[ShareInput],
        eligible: &mut [Vec<usize>],
    ) {
        let is_load_reported = self.settings.load_reporting != LoadReporting::Absent;
        let max_usable_price = fleet.pricing.traffic_weighted_price + USABLE_PRICE_MARGIN;
        let usable_fraction = |position: usize| {
            if is_load_reported {
                1.0
            } else if fleet.backends.nth_active(position).price > max_usable_price {
                0.0
            } else {
                inputs[position].max_share.min(1.0)
            }
        };
        for (allocation, positions) in self.classes.iter_mut().zip(eligible) {
            let reachable_backends =
                TARGET_RESPONSE_INTERVAL * allocation.attempts.advance_unbiased(now);
            let target_count = reachable_backends.max(MIN_BACKENDS).ceil();
            let mut usable = 0.0;
            positions.retain(|&position| {
                let is_below_target = usable < target_count;
                usable += usable_fraction(position);
                is_below_target
            });
        }
    }
}

/// Returns the requests of all classes that arrive per second; the result is never 0.
pub fn total_rate(arrival_rates: &[f64]) -> f64 {
    arrival_rates.iter().sum::<f64>().max(MIN_DIVISOR)
}

/// Returns, for each active backend, the traffic of all classes that equal shares would bring
/// there, relative to the mean over the active backends.
fn traffic_density(
    eligible: &[Vec<usize>],
    arrival_rates: &[f64],
    active_backends: usize,
) -> Vec<f64> {
    let total_rate = total_rate(arrival_rates);
    let mut density = vec![0.0; active_backends];
    for (positions, rate) in eligible.iter().zip(arrival_rates) {
        let count = positions.len() as f64;
        for &position in positions {
            density[position] += rate / total_rate * active_backends as f64 / count;
        }
    }
    density
}

/// Returns the inputs of one class's program, in the order of `positions`.
///
/// The upper bound in `inputs` is on the whole traffic of a backend; the class gets the same part
/// of it as of the traffic that equal shares would bring there.
fn class_inputs(
    positions: &[usize],
    inputs: &[ShareInput],
    density: &[f64],
    narrower_work: &[f64],
) -> Vec<ShareInput> {
    let speed_left = |position: usize| inputs[position].speed / (1.0 + narrower_work[position]);
    let count = positions.len() as f64;
    let mean_speed = positions
        .iter()
        .map(|&position| speed_left(position))
        .sum::<f64>()
        / count;
    positions
        .iter()
        .map(|&position| ShareInput {
            price: inputs[position].price,
            speed: speed_left(position) / mean_speed,
            max_share: inputs[position].max_share / density[position].max(MIN_DIVISOR),
        })
        .collect()
}

#[cfg(test)]
#[path = "share_allocation_tests.rs"]
mod tests;
