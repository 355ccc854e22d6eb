//! Load shedding: which arrivals are admitted when the backends cannot serve all of them.
//!
//! Classes that may go to the same backends form a placement group, which sheds as a whole: a
//! fraction of its arrivals, those of little priority weight first. A tenant's requests weigh the
//! less the further it exceeds its quota.

use crate::ids::{ClassId, TenantId};
use crate::numeric::MIN_DIVISOR;
use crate::rate::Rate;
use crate::settings::{LoadReporting, RequestClass, Settings};
use crate::share_allocation::ClassPlacement;
use crate::time::Time;
use std::collections::VecDeque;
use std::sync::Arc;

/// Time constant, in seconds, of a tenant's rate.
const TENANT_WINDOW: f64 = 5.0;
/// Load above which arrivals are shed, in units of a backend's capacity.
const SHEDDING_LOAD: f64 = 1.0;
/// Load above which arrivals are shed where backends report none, as a fraction of the latency
/// objective: latency rises late.
const UNREPORTED_SHEDDING_LOAD: f64 = 0.2;
/// Step of the logarithm of the admitted fraction, per second and unit of excess load.
const SHEDDING_STEP: f64 = 2.0;
/// Longest time, in seconds, for which one attempt moves the shed fraction.
const MAX_STEP_TIME: f64 = 0.5;
/// Largest fraction that is shed; the rest goes on testing whether backends have recovered.
const MAX_SHED_FRACTION: f64 = 0.98;
/// Time constant, in seconds, with which the shed fraction decays while no attempt moves it.
const RECOVERY_TIME: f64 = 24.0;
/// Highest multiple of its class's priority weight that a request counts with.
const MAX_WEIGHT_MULTIPLE: f64 = 8.0;
/// Recent arrivals whose weights set the thresholds.
const RECENT_ARRIVALS: usize = 64;
/// Fraction of what is admitted that goes to all classes alike.
const EVEN_FRACTION: f64 = 2.0 / 3.0;
/// Shed fraction up to which nothing is shed.
const MIN_SHED_FRACTION: f64 = 1e-3;
/// Relative width of the bracket around a threshold at which the search for it ends.
const THRESHOLD_TOLERANCE: f64 = 1e-3;

/// The priority weight of a recent arrival.
struct ArrivalWeight {
    class: ClassId,
    weight: f64,
}

/// The classes with the same allowed zones and machine types, and how they shed together.
pub struct PlacementGroup {
    /// Fraction of the arrivals that is shed for what attempts met.
    pub shed_fraction: f64,
    shed_fraction_updated_at: Time,
    /// Priority weight below which arrivals of all classes are shed in part.
    pub shed_threshold: f64,
    recent_weights: VecDeque<ArrivalWeight>,
}

impl PlacementGroup {
    fn new(now: Time) -> Self {
        PlacementGroup {
            shed_fraction: 0.0,
            shed_fraction_updated_at: now,
            shed_threshold: 0.0,
            recent_weights: VecDeque::new(),
        }
    }

    fn record_arrival(&mut self, class: ClassId, weight: f64) {
        if self.recent_weights.len() == RECENT_ARRIVALS {
            self.recent_weights.pop_front();
        }
        self.recent_weights
            .push_back(ArrivalWeight { class, weight });
    }

    fn weights(&self) -> impl Iterator<Item = f64> + Clone + '_ {
        self.recent_weights.iter().map(|arrival| arrival.weight)
    }

    fn weights_of(&self, class: ClassId) -> impl Iterator<Item = f64> + Clone + '_ {
        self.recent_weights
            .iter()
            .filter(move |arrival| arrival.class == class)
            .map(|arrival| arrival.weight)
    }
}

/// How one class sheds by itself.
struct ClassShedding {
    /// Its group's position.
    group: usize,
    /// Priority weight below which its arrivals are shed in part; it sheds the same fraction of
    /// each class.
    shed_threshold: f64,
}

/// Decides which arrivals are admitted.
pub struct Admission {
    settings: Arc<Settings>,
    /// In the order of their first classes.
    groups: Vec<PlacementGroup>,
    classes: Vec<ClassShedding>,
    /// Admitted requests of each tenant.
    tenants: Vec<Rate>,
}

impl Admission {
    /// Everything is admitted to begin with.
    pub fn new(settings: Arc<Settings>, now: Time) -> Self {
        let mut first_classes: Vec<&RequestClass> = Vec::new();
        let mut classes = Vec::with_capacity(settings.classes.len());
        for class in &settings.classes {
            let known = first_classes
                .iter()
                .position(|first| has_same_placement(first, class));
            let group = known.unwrap_or_else(|| {
                first_classes.push(class);
                first_classes.len() - 1
            });
            classes.push(ClassShedding {
                group,
                shed_threshold: 0.0,
            });
        }
        let groups = first_classes.iter().map(|_| PlacementGroup::new(now));
        let tenants = settings
            .tenants
            .iter()
            .map(|_| Rate::new(now, TENANT_WINDOW));
        Admission {
            groups: groups.collect(),
            classes,
            tenants: tenants.collect(),
            settings,
        }
    }

    /// The placement group of a class.
    pub fn group(&self, class: ClassId) -> &PlacementGroup {
        &self.groups[self.classes[usize::from(class.0)].group]
    }

    /// The placement group of a class, to be changed.
    pub fn group_mut(&mut self, class: ClassId) -> &mut PlacementGroup {
        &mut self.groups[self.classes[usize::from(class.0)].group]
    }

    /// Whether any arrivals are shed.
    pub fn is_shedding(&self) -> bool {
        self.groups.iter().any(|group| group.shed_threshold != 0.0)
    }

    /// Priority weight of an arrival: the less, the more of its quota its tenant uses. Only
    /// admitted requests count there: clients that are rejected come back, and would be rejected
    /// the more for it.
    pub fn record_arrival(&mut self, now: Time, class: ClassId, tenant: TenantId) -> f64 {
        let mut weight = self.settings.classes[usize::from(class.0)].priority_weight;
        let tenant = usize::from(tenant.0);
        if let Some(admitted) = self.tenants.get_mut(tenant) {
            let rate = admitted.advance(now) * f64::from(self.settings.nodes);
            let quota = self.settings.tenants[tenant].quota_per_second;
            let within_quota = quota / rate.max(MIN_DIVISOR);
            weight *= within_quota.min(MAX_WEIGHT_MULTIPLE)
                + (1.0 - within_quota).max(0.0) * self.settings.over_quota_weight;
        }
        self.group_mut(class).record_arrival(class, weight);
        weight
    }

    /// Counts an admitted request against its tenant's quota.
    pub fn record_admitted(&mut self, now: Time, tenant: TenantId) {
        if let Some(admitted) = self.tenants.get_mut(usize::from(tenant.0)) {
            admitted.record(now, 1.0);
        }
    }

    /// Each tenant's rate over all nodes, as a fraction of its quota.
    pub fn quota_usage(&self, now: Time) -> Vec<f64> {
        let nodes = f64::from(self.settings.nodes);
        self.tenants
            .iter()
            .zip(&self.settings.tenants)
            .map(|(admitted, tenant)| admitted.per_second(now) * nodes / tenant.quota_per_second)
            .collect()
    }

    /// Probability that an arrival of this priority weight is shed. Of what is admitted a part goes
    /// to all classes alike; the rest is by weight among classes too, which alone would leave a
    /// class of little weight with hardly anything.
    pub fn shed_probability(&self, class: ClassId, weight: f64) -> f64 {
        let probability = |threshold: f64| (threshold / weight.max(MIN_DIVISOR)).min(1.0);
        let class_threshold = self.classes[usize::from(class.0)].shed_threshold;
        EVEN_FRACTION * probability(class_threshold)
            + (1.0 - EVEN_FRACTION) * probability(self.group(class).shed_threshold)
    }

    /// Moves the shed fraction of a class's group by the load that one attempt met, in units of the
    /// backend's capacity.
    pub fn update_shed_fraction(&mut self, now: Time, class: ClassId, load: f64) {
        let max_load = if self.settings.load_reporting == LoadReporting::Absent {
            UNREPORTED_SHEDDING_LOAD
        } else {
            SHEDDING_LOAD
        };
        let group = self.group_mut(class);
        let elapsed = (now - group.shed_fraction_updated_at).as_secs_f64();
        let time = elapsed.min(MAX_STEP_TIME);
        group.shed_fraction_updated_at = now;
        let admitted_factor = (-SHEDDING_STEP * time * (load - max_load)).exp();
        let shed_fraction = 1.0 - (1.0 - group.shed_fraction) * admitted_factor;
        group.shed_fraction = shed_fraction.clamp(0.0, MAX_SHED_FRACTION);
    }

    /// Sets the thresholds by how much of each class's traffic the shares have room for, and lets the
    /// shed fractions decay. `elapsed` is in seconds since the last update.
    pub fn update_thresholds(&mut self, elapsed: f64, placements: &[ClassPlacement]) {
        for position in 0..self.groups.len() {
            let (mut unplaced, mut traffic) = (0.0, 0.0);
            for (class, placement) in self.classes.iter().zip(placements) {
                if class.group == position {
                    unplaced += placement.traffic_fraction * placement.unplaced_fraction;
                    traffic += placement.traffic_fraction;
                }
            }
            let group = &mut self.groups[position];
            group.shed_fraction *= 1.0 - (elapsed / RECOVERY_TIME).min(1.0);
            let unplaced_fraction = unplaced / traffic.max(MIN_DIVISOR);
            let shed_fraction = group.shed_fraction.max(unplaced_fraction);
            self.set_thresholds(position, shed_fraction);
        }
    }

    /// Sets a group's thresholds so that they shed this fraction of its recent arrivals: over the
    /// whole group, and class by class.
    fn set_thresholds(&mut self, position: usize, shed_fraction: f64) {
        let group = &mut self.groups[position];
        let threshold = shed_threshold(&group.weights(), shed_fraction);
        group.shed_threshold = threshold;
        for (index, class) in self.classes.iter_mut().enumerate() {
            if class.group == position {
                let weights = group.weights_of(ClassId(index as u8));
                class.shed_threshold = shed_threshold(&weights, shed_fraction);
            }
        }
    }
}

fn has_same_placement(one: &RequestClass, other: &RequestClass) -> bool {
    one.allowed_zones == other.allowed_zones
        && one.allowed_machine_types == other.allowed_machine_types
}

/// The threshold at which this fraction of arrivals with these weights is shed, where a weight
/// below the threshold is shed for certain and one above it with probability threshold / weight.
fn shed_threshold(weights: &(impl Iterator<Item = f64> + Clone), shed_fraction: f64) -> f64 {
    if shed_fraction <= MIN_SHED_FRACTION {
        return 0.0;
    }
    let wanted = shed_fraction * weights.clone().count() as f64;
    let mut low = 0.0;
    let mut high = 2.0 * weights.clone().fold(0.0, f64::max);
    while high - low > THRESHOLD_TOLERANCE * high {
        let middle = f64::midpoint(low, high);
        let shed: f64 = weights
            .clone()
            .map(|weight| (middle / weight.max(MIN_DIVISOR)).min(1.0))
            .sum();
        if shed < wanted {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
