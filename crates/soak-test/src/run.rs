//! One run of a plan: starts its cluster, generates traffic, injects its faults, and reports what
//! the invariant checker found.

use crate::backend;
use crate::clients::Clients;
use crate::cluster::{NewCluster, TestCluster};
use crate::fault_injector;
use crate::invariants::{Totals, Violation};
use crate::plan::{BackendIndex, NodeIndex, Plan};
use crate::proxy_node::{Programs, ProxyNode};
use std::future::Future;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// Interval at which the observer, the soak test's own process, measures its scheduling lag and
/// checks the nodes' processes for crashes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);

/// Result of one run.
pub struct RunReport {
    /// The plan that was run.
    pub plan: Plan,
    /// Numbers of requests, by result, and of attempts.
    pub totals: Totals,
    /// The violated invariants, in order of time.
    pub violations: Vec<Violation>,
    /// Longest lag of the observer, the soak test's own process. If it is long, the run proves
    /// nothing, since the measured times are those of the observer.
    pub max_observer_lag: Duration,
}

/// Runs a plan. `folder` takes the nodes' files; `network` is the second octet of the addresses
/// within 127.0.0.0/8 that the run uses. Runs in parallel need different folders and networks. Must
/// be called within a `LocalSet`.
///
/// # Errors
///
/// The folder cannot be written, or an address of a backend, a node or discovery cannot be bound.
///
/// # Cancellation
///
/// Dropping the future leaves its tasks running in the `LocalSet`. Dropping the `LocalSet` kills
/// the nodes' processes.
pub async fn run(
    plan: Plan,
    network: u8,
    folder: &Path,
    programs: Programs<'_>,
) -> io::Result<RunReport> {
    let NewCluster {
        cluster,
        backend_listeners,
    } = TestCluster::create(plan, network).await?;
    for (index, listener) in backend_listeners.into_iter().enumerate() {
        spawn_local(backend::serve(
            cluster.clone(),
            BackendIndex(index),
            listener,
        ));
    }
    let nodes = start_nodes(&cluster, folder, programs).await?;
    spawn_local(measure_observer_lag(cluster.clone()));
    spawn_local(watch_for_crashes(nodes.clone()));
    run_traffic(&cluster, &nodes).await;
    join(spawn_for_each(&nodes, |node| async move {
        node.stop().await;
    }))
    .await;
    let checker = cluster.checker();
    Ok(RunReport {
        plan: cluster.plan.clone(),
        totals: checker.totals(),
        violations: checker.violations().to_vec(),
        max_observer_lag: checker.max_observer_lag(),
    })
}

/// Creates the plan's nodes and starts them concurrently; returns once each is ready or has been
/// recorded as not ready in time.
async fn start_nodes(
    cluster: &Rc<TestCluster>,
    folder: &Path,
    programs: Programs<'_>,
) -> io::Result<Vec<Rc<ProxyNode>>> {
    let mut nodes = Vec::new();
    for index in 0..cluster.plan.nodes {
        nodes.push(ProxyNode::new(cluster, NodeIndex(index), folder, programs).await?);
    }
    join(spawn_for_each(&nodes, |node| async move {
        node.start().await;
    }))
    .await;
    Ok(nodes)
}

/// Runs clients and faults for the plan's traffic duration, and then waits until every client has
/// its response or has given up and every fault has ended.
async fn run_traffic(cluster: &Rc<TestCluster>, nodes: &[Rc<ProxyNode>]) {
    cluster.checker().traffic_started();
    let mut tasks = Vec::new();
    for node in nodes {
        let open_loop = Clients::run_open_loop(cluster.clone(), node.clone());
        tasks.push(spawn_local(open_loop));
        let idle_timeout_clients = Clients::run_idle_timeout_clients(cluster.clone(), node.clone());
        tasks.push(spawn_local(idle_timeout_clients));
        let slow_readers = Clients::run_slow_readers(cluster.clone(), node.clone());
        tasks.push(spawn_local(slow_readers));
    }
    for fault in &cluster.plan.faults {
        let injection = fault_injector::inject(cluster.clone(), nodes.to_vec(), fault.clone());
        tasks.push(spawn_local(injection));
    }
    sleep(cluster.plan.traffic_duration).await;
    cluster.traffic_ended.set(true);
    join(tasks).await;
}

/// Spawns `task` for each node; the tasks run concurrently.
fn spawn_for_each<F: Future<Output = ()> + 'static>(
    nodes: &[Rc<ProxyNode>],
    task: impl Fn(Rc<ProxyNode>) -> F,
) -> Vec<JoinHandle<()>> {
    nodes
        .iter()
        .map(|node| spawn_local(task(node.clone())))
        .collect()
}

/// Waits until all tasks have ended, whether or not they panic.
async fn join(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        let _ = task.await;
    }
}

/// Reports to the checker how much later than due this process's timers fire. Runs until it is
/// dropped.
async fn measure_observer_lag(cluster: Rc<TestCluster>) {
    loop {
        let before = Instant::now();
        sleep(OBSERVATION_INTERVAL).await;
        let lag = before.elapsed().saturating_sub(OBSERVATION_INTERVAL);
        cluster.checker().observer_lagged(lag);
    }
}

/// Checks regularly whether a node's process has exited without being signalled to, and records
/// that as a violation. Runs until it is dropped.
async fn watch_for_crashes(nodes: Vec<Rc<ProxyNode>>) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        for node in &nodes {
            node.check_running();
        }
    }
}
