//! Load shedding: decides which arriving requests are admitted when the backends cannot serve all
//! of them.
//!
//! Classes with the same allowed zones and machine types form a placement group, which sheds load
//! as a whole: it rejects a fraction of its arrivals, those of low priority weight first. The
//! further a tenant exceeds its quota, the lower is the weight of its requests.

use crate::ids::{ClassId, TenantId};
use crate::numeric::MIN_DIVISOR;
use crate::rate::Rate;
use crate::settings::{LoadReporting, RequestClass, Settings};
use crate::share_allocation::ClassPlacement;
use crate::time::Time;
use std::collections::VecDeque;
use std::sync::Arc;

/// Time constant, in seconds, of the rate of a tenant's admitted requests.
const TENANT_WINDOW: f64 = 5.0;
/// Load indicated by an attempt, in units of a backend's capacity, above which the shed fraction
/// rises and below which it falls.
const SHEDDING_LOAD: f64 = 1.0;
/// Replaces [`SHEDDING_LOAD`] where backends report no load: latency as a fraction of the latency
/// objective. It is this low because latency rises only once the backends are nearly overloaded.
const UNREPORTED_SHEDDING_LOAD: f64 = 0.2;
/// Decrease of the natural logarithm of the admitted fraction, per second and per unit of load in
/// excess of the shedding load.
const SHEDDING_STEP: f64 = 2.0;
/// Upper bound, in seconds, of the time since the previous attempt that one attempt's change of the
/// shed fraction accounts for.
const MAX_STEP_TIME: f64 = 0.5;
/// Upper bound of the shed fraction; the requests that are still admitted show whether the backends
/// have recovered.
const MAX_SHED_FRACTION: f64 = 0.98;
/// Time constant, in seconds, with which the shed fraction decays at each update of the thresholds,
/// so that it also falls while no attempt changes it.
const RECOVERY_TIME: f64 = 24.0;
/// Upper bound of the factor by which a tenant's unused quota raises the priority weight of its
/// requests above that of their class.
const MAX_WEIGHT_MULTIPLE: f64 = 8.0;
/// Number of latest arrivals of a placement group whose weights determine its thresholds.
const RECENT_ARRIVALS: usize = 64;
/// Fraction of the shed probability that is determined class by class, so that this part of the
/// admitted traffic goes to all classes of a group alike.
const EVEN_FRACTION: f64 = 2.0 / 3.0;
/// Shed fraction at or below which nothing is shed.
const MIN_SHED_FRACTION: f64 = 1e-3;
/// Width of the bracket around a threshold, relative to the bracket's upper end, at which the
/// bisection ends.
const THRESHOLD_TOLERANCE: f64 = 1e-3;

/// The class and the priority weight of a recent arrival.
struct ArrivalWeight {
    class: ClassId,
    weight: f64,
}

/// The shedding state of the classes that have the same allowed zones and machine types and
/// therefore compete for the same backends.
pub struct PlacementGroup {
    /// Fraction of the group's arrivals to be shed because of the load that attempts indicated,
    /// between 0 and [`MAX_SHED_FRACTION`].
    pub shed_fraction: f64,
    shed_fraction_updated_at: Time,
    /// Priority weight up to which an arrival of any class of the group is shed for certain by the
    /// part of the shed probability that compares weights across classes; 0 if nothing is shed.
    pub shed_threshold: f64,
    /// The latest arrivals, at most [`RECENT_ARRIVALS`], the oldest first.
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

/// The shedding state of one class.
struct ClassShedding {
    /// Index of the class's placement group in [`Admission::groups`].
    group: usize,
    /// Priority weight up to which an arrival of the class is shed for certain by the part of the
    /// shed probability that is determined class by class; 0 if nothing is shed. The thresholds of
    /// a group's classes each shed the same fraction of their class.
    shed_threshold: f64,
}

/// Decides which arrivals are admitted, by placement group, class, priority weight and tenant
/// quota.
pub struct Admission {
    settings: Arc<Settings>,
    /// The placement groups, in the order of the first class of each.
    groups: Vec<PlacementGroup>,
    /// The shedding state of each class, in the order of the settings.
    classes: Vec<ClassShedding>,
    /// Rate at which this node admits requests of each tenant, in the order of the settings.
    tenants: Vec<Rate>,
}

impl Admission {
    /// Creates the state in which every arrival is admitted.
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

    /// Returns the placement group of a class.
    pub fn group(&self, class: ClassId) -> &PlacementGroup {
        &self.groups[self.classes[usize::from(class.0)].group]
    }

    /// Returns the placement group of a class, to be changed.
    pub fn group_mut(&mut self, class: ClassId) -> &mut PlacementGroup {
        &mut self.groups[self.classes[usize::from(class.0)].group]
    }

    /// Whether any placement group is shedding arrivals.
    pub fn is_shedding(&self) -> bool {
        self.groups.iter().any(|group| group.shed_threshold != 0.0)
    }

    /// Records an arrival and returns its priority weight: the more of its quota the tenant uses,
    /// the lower the weight. A tenant that the settings do not list leaves the weight of the class
    /// as it is.
    ///
    /// Only admitted requests count as use of the quota: rejected clients send their requests
    /// again, and counting these would make further rejections more likely.
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

    /// Counts an admitted request as use of its tenant's quota.
    pub fn record_admitted(&mut self, now: Time, tenant: TenantId) {
        if let Some(admitted) = self.tenants.get_mut(usize::from(tenant.0)) {
            admitted.record(now, 1.0);
        }
    }

    /// Returns the rate of each tenant's admitted requests as a fraction of its quota, in the order
    /// of the settings. The rate over all nodes is estimated as this node's times their number.
    pub fn quota_usage(&self, now: Time) -> Vec<f64> {
        let nodes = f64::from(self.settings.nodes);
        self.tenants
            .iter()
            .zip(&self.settings.tenants)
            .map(|(admitted, tenant)| admitted.per_second(now) * nodes / tenant.quota_per_second)
            .collect()
    }

    /// Returns the probability with which an arrival of this class and priority weight is shed.
    ///
    /// [`EVEN_FRACTION`] of it follows the threshold of the class, so that this part of what is
    /// admitted goes to all classes alike. The rest follows the threshold of the group and thus
    /// compares weights across classes as well; that alone would leave a class of low weight with
    /// hardly any admitted requests.
    pub fn shed_probability(&self, class: ClassId, weight: f64) -> f64 {
        let probability = |threshold: f64| (threshold / weight.max(MIN_DIVISOR)).min(1.0);
        let class_threshold = self.classes[usize::from(class.0)].shed_threshold;
        EVEN_FRACTION * probability(class_threshold)
            + (1.0 - EVEN_FRACTION) * probability(self.group(class).shed_threshold)
    }

    /// Raises or lowers the shed fraction of a class's group by the load that one attempt
    /// indicated, in units of the backend's capacity.
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

    /// Lets the shed fraction of each group decay and sets the group's thresholds by that fraction
    /// or, if it is larger, by the fraction of the group's traffic for which the shares have no
    /// room.
    ///
    /// `elapsed` is the time since the last update in seconds; `placements` has one entry for each
    /// class, in the order of the settings.
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

    /// Sets the thresholds of the group at `position` so that they shed this fraction of its recent
    /// arrivals: one threshold over the whole group, and one for each of its classes.
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

/// Whether two classes may use the same backends, by zone and machine type.
fn has_same_placement(one: &RequestClass, other: &RequestClass) -> bool {
    one.allowed_zones == other.allowed_zones
        && one.allowed_machine_types == other.allowed_machine_types
}

/// Returns the threshold at which the given fraction of arrivals with these weights is shed, where
/// an arrival with a weight below the threshold is shed for certain and one with a weight above it
/// with probability threshold / weight. The result is 0 if nothing is to be shed.
fn shed_threshold(weights: &(impl Iterator<Item = f64> + Clone), shed_fraction: f64) -> f64 {
    if shed_fraction <= MIN_SHED_FRACTION {
        return 0.0;
    }
    let target_shed = shed_fraction * weights.clone().count() as f64;
    let mut low = 0.0;
    let mut high = 2.0 * weights.clone().fold(0.0, f64::max);
    while high - low > THRESHOLD_TOLERANCE * high {
        let middle = f64::midpoint(low, high);
        let shed: f64 = weights
            .clone()
            .map(|weight| (middle / weight.max(MIN_DIVISOR)).min(1.0))
            .sum();
        if shed < target_shed {
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
