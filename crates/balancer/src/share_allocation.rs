//! The shares of the backends in the traffic of each request class.
//!
//! Each class draws from shares over the backends open to it, which solve the concave program of
//! [`share_solver`](crate::share_solver) at the backends' prices.

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

/// Own attempts per active backend after which shares are solved anew within an interval.
const STALE_ATTEMPTS: f64 = 0.2;
/// Least `price + lambda` where capacity is known: keeps failing backends nearly closed where upper
/// bounds leave no room.
const MIN_TOTAL_PRICE: f64 = 0.1;
/// Seconds within which a node is to receive a response from each backend that it uses.
const CONTACT_INTERVAL: f64 = 1.0;
/// Fewest backends that a node uses for a class.
const MIN_BACKENDS: f64 = 5.0;
/// Price above the traffic-weighted one from which a backend does not count among those used.
const CLOSED_PRICE: f64 = 0.25;
/// Factor on the recent share of a backend per price interval.
const RECENT_SHARE_DECAY: f64 = 0.95;
/// Lambda at which the first search begins.
const INITIAL_LAMBDA: f64 = 0.5;
/// Weight of a request in its class's mean work.
const MEAN_WORK_GAIN: f64 = 1.0 / 64.0;
/// Time constant, in seconds, of the rates of arrivals.
const ARRIVAL_WINDOW: f64 = 1.0;
/// Time constant, in seconds, of the rate of attempts that decides on the number of backends.
const CONTACT_WINDOW: f64 = 10.0;

/// The allocation of one class.
pub struct ClassAllocation {
    /// Shares of the active backends in the node's order, of sum at most `eligible_backends`; 0
    /// where the class may not go.
    pub shares: Vec<f64>,
    /// Number of active backends among which the class's traffic is shared out.
    pub eligible_backends: f64,
    /// The multiplier of the last solution.
    lambda: f64,
    /// Mean work of a request: the hinted one or, without hints, the latency of a response.
    pub mean_work: MeanWork,
    /// Requests that arrive.
    pub arrivals: Rate,
    /// Attempts that start.
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
            attempts: Rate::new(now, CONTACT_WINDOW),
        }
    }
}

/// How much of a class's traffic the upper bounds of the shares have room for.
#[derive(Clone, Copy)]
pub struct ClassPlacement {
    /// The class's fraction of all arrivals.
    pub traffic_fraction: f64,
    /// Fraction of its traffic to which the upper bounds of the shares leave no room.
    pub unplaced_fraction: f64,
}

/// The shares of all classes.
pub struct ShareAllocation {
    settings: Arc<Settings>,
    /// The allocation of each class.
    pub classes: Vec<ClassAllocation>,
    /// When the shares were last solved; `None` once they are out of date.
    pub refreshed_at: Option<Time>,
    /// Attempts started since then.
    attempts_since_refresh: f64,
}

impl ShareAllocation {
    /// No shares yet.
    pub fn new(settings: Arc<Settings>, now: Time) -> Self {
        let classes = settings.classes.iter().map(|_| ClassAllocation::new(now));
        ShareAllocation {
            classes: classes.collect(),
            settings,
            refreshed_at: None,
            attempts_since_refresh: 0.0,
        }
    }

    /// The allocation of a class.
    pub fn class(&self, class: ClassId) -> &ClassAllocation {
        &self.classes[usize::from(class.0)]
    }

    /// The mean work of a class's requests, to take in another.
    pub fn mean_work_mut(&mut self, class: ClassId) -> &mut MeanWork {
        &mut self.classes[usize::from(class.0)].mean_work
    }

    /// Counts an arrival.
    pub fn record_arrival(&mut self, now: Time, class: ClassId) {
        self.classes[usize::from(class.0)].arrivals.record(now, 1.0);
    }

    /// Counts an attempt that starts.
    pub fn record_attempt(&mut self, now: Time, class: ClassId) {
        self.classes[usize::from(class.0)].attempts.record(now, 1.0);
        self.attempts_since_refresh += 1.0;
    }

    /// The shares are out of date.
    pub fn invalidate(&mut self) {
        self.refreshed_at = None;
    }

    /// Whether the shares are due to be solved anew: once per price interval, or after a few own
    /// attempts where only these tell the load. Returns the seconds since the last solution, and
    /// counts the shares as solved at `now`.
    pub fn begin_refresh(&mut self, now: Time, active_backends: usize) -> Option<f64> {
        let elapsed = self
            .refreshed_at
            .map_or(PRICE_INTERVAL, |at| (now - at).as_secs_f64());
        let max_attempts = STALE_ATTEMPTS * active_backends as f64;
        let is_stale =
            self.settings.is_capacity_unknown() && self.attempts_since_refresh > max_attempts;
        if (elapsed < PRICE_INTERVAL && !is_stale) || active_backends == 0 {
            return None;
        }
        self.refreshed_at = Some(now);
        self.attempts_since_refresh = 0.0;
        Some(elapsed)
    }

    /// Requests of each class that arrive per second.
    pub fn arrival_rates(&mut self, now: Time) -> Vec<f64> {
        self.classes
            .iter_mut()
            .map(|class| class.arrivals.advance(now))
            .collect()
    }

    /// Solves each class's shares over the backends open to it.
    ///
    /// `inputs` are those of the active backends in the node's order, `arrival_rates` the requests
    /// per second of each class, and `elapsed` the seconds since the last solution. Returns how
    /// much of each class's traffic the upper bounds have room for.
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
            self.limit_to_contacted(now, fleet, inputs, &mut eligible);
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

    /// Solves the shares of one class, keeps them, and returns them in the order of `positions`.
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

    /// For each class and backend, the work that classes open to fewer backends bring there, in
    /// units of the class's own: it is no longer there for the class.
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
                let brought = work_rates[other] / work_rates[class] * count / speeds;
                for &position in narrower {
                    work_taken[class][position] += brought * inputs[position].speed;
                }
            }
        }
        work_taken
    }

    /// Limits each class to as many backends as this node hears from often enough. Where no load is
    /// reported, closed backends and what warming ones cannot take make room for others: otherwise
    /// all that would fall on the few that are well.
    fn limit_to_contacted(
        &mut self,
        now: Time,
        fleet: &Fleet,
        inputs: &[ShareInput],
        eligible: &mut [Vec<usize>],
    ) {
        let is_load_reported = self.settings.load_reporting != LoadReporting::Absent;
        let closed_price = fleet.pricing.traffic_weighted_price + CLOSED_PRICE;
        let usable_fraction = |position: usize| {
            if is_load_reported {
                1.0
            } else if fleet.backends.nth_active(position).price > closed_price {
                0.0
            } else {
                inputs[position].max_share.min(1.0)
            }
        };
        for (allocation, positions) in self.classes.iter_mut().zip(eligible) {
            let contacted = CONTACT_INTERVAL * allocation.attempts.advance_unbiased(now);
            let wanted = contacted.max(MIN_BACKENDS).ceil();
            let mut usable = 0.0;
            positions.retain(|&position| {
                let is_wanted = usable < wanted;
                usable += usable_fraction(position);
                is_wanted
            });
        }
    }
}

/// Requests of all classes that arrive per second, never 0.
pub fn total_rate(arrival_rates: &[f64]) -> f64 {
    arrival_rates.iter().sum::<f64>().max(MIN_DIVISOR)
}

/// Traffic of all classes that equal shares would bring to each backend, relative to the mean.
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

/// The inputs of one class. Upper bounds are on a backend's whole traffic: a class gets as much of
/// them as of the traffic that equal shares would bring there.
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
