//! Plans of [`Scenario::Operations`].

use super::{
    draw_milliseconds, draw_positions, location, BackendBehavior, BackendIndex, Fault, NodeIndex,
    Plan, Scenario, ScheduledFault, CORES_PER_BACKEND,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Sets the draws of operations apart from those of the faults of the same seed.
const SEED_MASK: u64 = 0x6f70_6572_6174_6e73;
/// How often backends are taken out of use.
const MAINTENANCE_COUNT: usize = 3;
/// Utilization of the backends by the usual traffic.
const USUAL_UTILIZATION: Range<f64> = 0.3..0.5;
/// Utilization of the backends by a crowd.
const CROWD_UTILIZATION: f64 = 0.85;
/// Backends of a plan with a crowd, so that each serves many requests.
const CROWD_BACKENDS: usize = 7;
/// Of these, those that join in the crowd: the last, to which nothing else happens.
const JOINING_BACKENDS: usize = 2;
/// Multiple of its present capacity above which a backend in slow start is overloaded in a crowd.
const CROWD_OVERLOAD_MULTIPLE: f64 = 1.2;
/// Fraction of their capacity that backends have when they start in a crowd.
const CROWD_INITIAL_CAPACITY: Range<f64> = 0.04..0.08;

impl Plan {
    /// Draws what a seed runs in [`Scenario::Operations`]: in one half of the seeds with a crowd, in
    /// the other with clients that leave.
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
            plan.schedule_impatience(random);
        }
        plan.requests_per_second = usual_utilization * plan.capacity() / nodes as f64;
        plan.schedule_upgrades(random);
        plan.schedule_maintenance(random);
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// Requests per second that all backends can serve together.
    fn capacity(&self) -> f64 {
        (self.backends * CORES_PER_BACKEND) as f64 / self.service_time.as_secs_f64()
    }

    fn schedule(&mut self, at: f64, duration: f64, fault: Fault) {
        self.faults.push(ScheduledFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(duration),
            fault,
        });
    }

    /// A moment in the first half of the traffic, in seconds.
    fn draw_time(&self, random: &mut SmallRng) -> f64 {
        random.random_range(0.5..self.traffic_duration.as_secs_f64() * 0.5)
    }

    fn schedule_upgrades(&mut self, random: &mut SmallRng) {
        let nodes = draw_positions(random, self.nodes, NodeIndex);
        let at = self.draw_time(random);
        self.schedule(at, 0.0, Fault::UpgradeNodes(nodes));
    }

    /// Maintenance of a few backends, and state files that cannot be written around some of the calls.
    fn schedule_maintenance(&mut self, random: &mut SmallRng) {
        for _ in 0..MAINTENANCE_COUNT {
            let nodes = draw_positions(random, self.nodes, NodeIndex);
            let backend = BackendIndex(random.random_range(0..self.backends - JOINING_BACKENDS));
            let at = self.draw_time(random);
            let duration = random.random_range(1.0..3.0);
            if random.random_bool(0.7) {
                let failing_at = at
                    + if random.random_bool(0.5) {
                        0.0
                    } else {
                        duration
                    };
                self.schedule(
                    (failing_at - 0.2).max(0.0),
                    0.4,
                    Fault::FailStateWrites(nodes.clone()),
                );
            }
            self.schedule(at, duration, Fault::Maintenance(nodes, backend));
        }
    }

    /// A crowd, in which some backends join.
    fn schedule_crowd(&mut self, random: &mut SmallRng, factor: f64) {
        let at = self.draw_time(random);
        let joining = (self.backends - JOINING_BACKENDS..self.backends).map(BackendIndex);
        self.schedule(at, 2.5, Fault::Crowd(factor));
        self.schedule(at + 0.3, 0.0, Fault::JoinBackends(joining.collect()));
    }

    /// Clients that leave, while backends reject late.
    fn schedule_impatience(&mut self, random: &mut SmallRng) {
        let at = self.draw_time(random);
        let late = draw_positions(random, self.backends, BackendIndex);
        self.schedule(at, 3.0, Fault::ImpatientClients);
        self.schedule(at, 3.0, Fault::Misbehave(late, BackendBehavior::RejectLate));
    }
}
