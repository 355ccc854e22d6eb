//! Checks that a seed draws the same plan in every version, so that a failed seed can be run again.

use soak_test::plan::{
    BackendBehavior, BackendIndex, Fault, Idempotency, KeyScope, NodeIndex, Plan, Scenario,
    ScheduledFault,
};
use std::time::Duration;

/// The seed whose plan is compared with known values.
const SEED: u64 = 2;
/// Number of nodes in each plan.
const NODES: usize = 4;
/// Duration of the traffic in each plan, on which the times of the faults depend.
const TRAFFIC_DURATION: Duration = Duration::from_secs(6);

fn plan() -> Plan {
    Plan::draw(SEED, NODES, TRAFFIC_DURATION)
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn nodes(indices: [usize; 2]) -> Vec<NodeIndex> {
    indices.map(NodeIndex).to_vec()
}

fn backends(indices: [usize; 2]) -> Vec<BackendIndex> {
    indices.map(BackendIndex).to_vec()
}

#[test]
fn settings_and_sizes_of_a_seed_stay_the_same() {
    let plan = plan();
    assert_eq!((plan.seed, plan.nodes, plan.backends), (2, 4, 9));
    let cells: Vec<u16> = plan
        .locations
        .iter()
        .map(|location| location.cell)
        .collect();
    assert_eq!(cells, [0, 0, 0, 1, 1, 1, 2, 2, 2]);
    let zones: Vec<usize> = plan
        .locations
        .iter()
        .map(|location| location.zone)
        .collect();
    assert_eq!(zones, [0, 1, 0, 1, 0, 1, 0, 1, 0]);
    assert!(!plan.discovery_pushed && !plan.hedging_allowed && plan.load_reports);
    assert_eq!(plan.requests_per_second, 62.945_112_402_707_78);
    assert_eq!(plan.service_time, milliseconds(32));
    assert_eq!(plan.drain_grace, milliseconds(752));
    assert_eq!(plan.slow_start_initial_capacity, 0.392_986_078_673_232_65);
    assert_eq!(plan.slow_start_duration, milliseconds(4362));
    assert_eq!(plan.idle_timeout, milliseconds(2604));
}

#[test]
fn classes_of_a_seed_stay_the_same() {
    let classes = plan().classes;
    let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
    assert_eq!(names, ["read", "post", "pay"]);
    let idempotency: Vec<Idempotency> = classes.iter().map(|class| class.idempotency).collect();
    assert_eq!(
        idempotency,
        [
            Idempotency::Idempotent,
            Idempotency::Keyed,
            Idempotency::NonIdempotent
        ]
    );
    assert!(classes
        .iter()
        .all(|class| class.key_scope == KeyScope::Zone));
    let key_windows: Vec<Duration> = classes.iter().map(|class| class.key_window).collect();
    assert_eq!(key_windows, [1768, 1431, 1108].map(milliseconds));
    let deadlines: Vec<Duration> = classes.iter().map(|class| class.deadline).collect();
    assert_eq!(deadlines, [764, 1601, 1547].map(milliseconds));
}

#[test]
fn faults_of_a_seed_stay_the_same() {
    let scheduled_fault = |at_ns, duration_ns, fault| ScheduledFault {
        at: Duration::from_nanos(at_ns),
        duration: Duration::from_nanos(duration_ns),
        fault,
    };
    assert_eq!(
        plan().faults,
        [
            scheduled_fault(
                1_562_976_517,
                2_905_596_844,
                Fault::PauseNodes(nodes([2, 0]))
            ),
            scheduled_fault(1_607_445_087, 592_223_309, Fault::KillNodes(nodes([0, 3]))),
            scheduled_fault(
                1_847_728_756,
                1_981_226_917,
                Fault::TerminateNodes(nodes([2, 0]))
            ),
            scheduled_fault(
                1_863_286_681,
                2_835_895_896,
                Fault::DrainBackends(backends([1, 3]))
            ),
            scheduled_fault(2_181_021_717, 847_922_688, Fault::PauseNodes(nodes([0, 2]))),
            scheduled_fault(
                2_221_624_858,
                665_839_901,
                Fault::Misbehave(backends([1, 2]), BackendBehavior::Garbage)
            ),
        ]
    );
}

#[test]
fn operations_of_a_seed_stay_the_same() {
    let draw = || Plan::draw_operations(SEED, NODES, TRAFFIC_DURATION);
    let plan = draw();
    assert_eq!(plan.scenario, Scenario::Operations);
    assert_eq!(plan.faults, draw().faults);
    let is_operation = |scheduled: &&ScheduledFault| {
        matches!(
            scheduled.fault,
            Fault::UpgradeNodes(_) | Fault::Maintenance(..) | Fault::FailStateWrites(_)
        )
    };
    let operations: Vec<_> = plan.faults.iter().filter(is_operation).collect();
    let summary: Vec<String> = operations
        .iter()
        .map(|operation| format!("{} {:?}", operation.at.as_millis(), operation.fault))
        .collect();
    assert_eq!(
        summary,
        [
            "1318 FailStateWrites([1, 3])",
            "1469 FailStateWrites([0])",
            "1518 Maintenance([1, 3], 2)",
            "1669 Maintenance([0], 4)",
            "1762 UpgradeNodes([0])",
            "1788 Maintenance([3, 0], 4)",
            "4183 FailStateWrites([3, 0])",
        ]
    );
}

/// The plan of a seed with operations contains all faults of its plan without them, and more.
#[test]
fn operations_are_added_to_the_faults_of_their_seed() {
    for seed in 1..50 {
        let faults = Plan::draw(seed, NODES, TRAFFIC_DURATION).faults;
        let plan = Plan::draw_operations(seed, NODES, TRAFFIC_DURATION);
        assert!(faults.iter().all(|fault| plan.faults.contains(fault)));
        assert!(plan.faults.len() > faults.len());
        for scheduled in &plan.faults {
            if let Fault::Maintenance(_, backend) = scheduled.fault {
                assert!(backend.0 < plan.backends, "seed {seed}");
            }
        }
    }
}
