//! A seed runs the same faults in every version, so that a failure can be run again.

use soak_test::plan::{
    BackendBehavior, BackendIndex, Fault, Idempotency, KeyScope, NodeIndex, Plan, ScheduledFault,
};
use std::time::Duration;

const SEED: u64 = 2;
const NODES: usize = 4;
const TRAFFIC_DURATION: Duration = Duration::from_secs(6);

fn plan() -> Plan {
    Plan::draw(SEED, NODES, TRAFFIC_DURATION)
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn nodes(positions: [usize; 2]) -> Vec<NodeIndex> {
    positions.map(NodeIndex).to_vec()
}

fn backends(positions: [usize; 2]) -> Vec<BackendIndex> {
    positions.map(BackendIndex).to_vec()
}

#[test]
fn settings_and_sizes_of_a_seed_stay_the_same() {
    let plan = plan();
    assert_eq!((plan.seed, plan.nodes, plan.backends), (2, 4, 9));
    let cells: Vec<u16> = plan.locations.iter().map(|place| place.cell).collect();
    assert_eq!(cells, [0, 0, 0, 1, 1, 1, 2, 2, 2]);
    let zones: Vec<usize> = plan.locations.iter().map(|place| place.zone).collect();
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
    let windows: Vec<Duration> = classes.iter().map(|class| class.key_window).collect();
    assert_eq!(windows, [1768, 1431, 1108].map(milliseconds));
    let deadlines: Vec<Duration> = classes.iter().map(|class| class.deadline).collect();
    assert_eq!(deadlines, [764, 1601, 1547].map(milliseconds));
}

#[test]
fn faults_of_a_seed_stay_the_same() {
    let fault = |at, duration, fault| ScheduledFault {
        at: Duration::from_nanos(at),
        duration: Duration::from_nanos(duration),
        fault,
    };
    assert_eq!(
        plan().faults,
        [
            fault(
                1_562_976_517,
                2_905_596_844,
                Fault::PauseNodes(nodes([2, 0]))
            ),
            fault(1_607_445_087, 592_223_309, Fault::KillNodes(nodes([0, 3]))),
            fault(
                1_847_728_756,
                1_981_226_917,
                Fault::TerminateNodes(nodes([2, 0]))
            ),
            fault(
                1_863_286_681,
                2_835_895_896,
                Fault::DrainBackends(backends([1, 3]))
            ),
            fault(2_181_021_717, 847_922_688, Fault::PauseNodes(nodes([0, 2]))),
            fault(
                2_221_624_858,
                665_839_901,
                Fault::Misbehave(backends([1, 2]), BackendBehavior::Garbage)
            ),
        ]
    );
}
