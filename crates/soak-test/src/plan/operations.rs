//! Draws the plans of [`Scenario::Operations`]: upgrades, maintenance, and either a surge of
//! traffic or impatient clients, in addition to the faults of [`Scenario::Faults`].

use super::{
    draw_indices, draw_milliseconds, location, BackendBehavior, BackendIndex, Fault, NodeIndex,
    Plan, Scenario, ScheduledFault, CORES_PER_BACKEND,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Combined with the seed by XOR, so that operations are drawn independently of the seed's faults.
const SEED_MASK: u64 = 0x6f70_6572_6174_6e73;
/// Number of times that a plan puts a backend into maintenance.
const MAINTENANCE_COUNT: usize = 3;
/// Range of the backends' utilization by the usual traffic.
const USUAL_UTILIZATION: Range<f64> = 0.3..0.5;
/// Utilization of the backends during a crowd, a surge of traffic ([`Fault::Crowd`]).
const CROWD_UTILIZATION: f64 = 0.85;
/// Number of backends of a plan with a crowd, few enough for each to serve many requests.
const CROWD_BACKENDS: usize = 7;
/// Number of backends that join during a crowd: the last ones, which no other fault affects. The
/// last backends of plans without a crowd are not put into maintenance either.
const JOINING_BACKENDS: usize = 2;
/// Multiple of its available capacity above which a backend in slow start is overloaded, in a plan
/// with a crowd.
const CROWD_OVERLOAD_MULTIPLE: f64 = 1.2;
/// Range of the fraction of its full capacity that a backend has when it starts, in a plan with a
/// crowd.
const CROWD_INITIAL_CAPACITY: Range<f64> = 0.04..0.08;

impl Plan {
    /// Draws the plan of a seed in [`Scenario::Operations`], with `nodes` nodes: a seed has either
    /// a crowd or impatient clients, each with probability 0.5.
    ///
    /// The order and number of draws must not change, since a seed names its plan.
    pub fn draw_operations(seed: u64, nodes: usize, traffic_duration: Duration) -> Self {
        let mut plan = Plan::draw(seed, nodes, traffic_duration);
        let random = &mut SmallRng::seed_from_u64(seed ^ SEED_MASK);
        plan.scenario = Scenario::Operations;
        let usual_utilization = random.random_range(USUAL_UTILIZATION);
        if random.random_bool(0.5) {
            plan.backends = CROWD_BACKENDS;
            plan.locations = (0..CROWD_BACKENDS).map(location).collect();
            plan.service_time = draw_milliseconds(random, 20..=24);
            plan.slow_start_initial_capacity = random.random_range(CROWD_INITIAL_CAPACITY);
            plan.slow_start_duration = draw_milliseconds(random, 8000..=10_000);
            plan.overload_multiple = CROWD_OVERLOAD_MULTIPLE;
            plan.schedule_crowd(random, CROWD_UTILIZATION / usual_utilization);
        } else {
            plan.service_time = draw_milliseconds(random, 40..=60);
            plan.slow_start_duration = draw_milliseconds(random, 800..=1500);
            plan.schedule_impatient_clients(random);
        }
        plan.requests_per_second = usual_utilization * plan.capacity() / nodes as f64;
        plan.schedule_upgrades(random);
        plan.schedule_maintenance(random);
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// Returns the requests per second that all backends, at full capacity, can serve together.
    fn capacity(&self) -> f64 {
        (self.backends * CORES_PER_BACKEND) as f64 / self.service_time.as_secs_f64()
    }

    /// Adds a fault that begins `at` seconds after the start of the traffic and lasts for
    /// `duration` seconds.
    fn schedule(&mut self, at: f64, duration: f64, fault: Fault) {
        self.faults.push(ScheduledFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(duration),
            fault,
        });
    }

    /// Draws a time between 0.5 s and half the duration of the traffic, in seconds from its start.
    fn draw_time(&self, random: &mut SmallRng) -> f64 {
        random.random_range(0.5..self.traffic_duration.as_secs_f64() * 0.5)
    }

    /// Schedules one upgrade of some of the nodes, all at the same time.
    fn schedule_upgrades(&mut self, random: &mut SmallRng) {
        let nodes = draw_indices(random, self.nodes, NodeIndex);
        let at = self.draw_time(random);
        self.schedule(at, 0.0, Fault::UpgradeNodes(nodes));
    }

    /// Schedules maintenance of a few backends, and failing writes of the operator state around
    /// some of the admin calls that begin or end it.
    fn schedule_maintenance(&mut self, random: &mut SmallRng) {
        for _ in 0..MAINTENANCE_COUNT {
            let nodes = draw_indices(random, self.nodes, NodeIndex);
            let backend = BackendIndex(random.random_range(0..self.backends - JOINING_BACKENDS));
            let at = self.draw_time(random);
            let duration = random.random_range(1.0..3.0);
            if random.random_bool(0.7) {
                let admin_call_at = at
                    + if random.random_bool(0.5) {
                        0.0
                    } else {
                        duration
                    };
                self.schedule(
                    (admin_call_at - 0.2).max(0.0),
                    0.4,
                    Fault::FailStateWrites(nodes.clone()),
                );
            }
            self.schedule(at, duration, Fault::Maintenance(nodes, backend));
        }
    }

    /// Schedules a crowd at `rate_multiple` times the usual rate, during which some backends join.
    fn schedule_crowd(&mut self, random: &mut SmallRng, rate_multiple: f64) {
        let at = self.draw_time(random);
        let joining = (self.backends - JOINING_BACKENDS..self.backends).map(BackendIndex);
        self.schedule(at, 2.5, Fault::Crowd(rate_multiple));
        self.schedule(at + 0.3, 0.0, Fault::JoinBackends(joining.collect()));
    }

    /// Schedules clients that disconnect early while some backends reject requests late.
    fn schedule_impatient_clients(&mut self, random: &mut SmallRng) {
        let at = self.draw_time(random);
        let rejecting = draw_indices(random, self.backends, BackendIndex);
        self.schedule(at, 3.0, Fault::ImpatientClients);
        self.schedule(
            at,
            3.0,
            Fault::Misbehave(rejecting, BackendBehavior::RejectLate),
        );
    }
}
