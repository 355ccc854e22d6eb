//! One run: starts the cluster of a plan, lets its faults happen, and reports what the checker found.

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

/// How often the observer measures its own lag and looks at the processes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);

/// What came of one run.
pub struct RunReport {
    /// What was run.
    pub plan: Plan,
    /// What was counted.
    pub totals: Totals,
    /// The violated invariants, in order of time.
    pub violations: Vec<Violation>,
    /// The longest time by which the observer itself was late. Its verdict proves nothing where this
    /// is long.
    pub max_observer_lag: Duration,
}

/// Runs a plan in a folder of its own, on a network of its own within 127.0.0.0/8. Needs a `LocalSet`.
///
/// # Errors
///
/// The folder cannot be written or an address cannot be bound.
///
/// # Cancellation
///
/// Dropping the future leaves tasks behind in the `LocalSet`; dropping that ends the processes.
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
    spawn_local(measure_lag(cluster.clone()));
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

/// Runs clients and faults until the traffic is over and the last client has its response.
async fn run_traffic(cluster: &Rc<TestCluster>, nodes: &[Rc<ProxyNode>]) {
    cluster.checker().traffic_started();
    let mut tasks = Vec::new();
    for node in nodes {
        let open_loop = Clients::run_open_loop(cluster.clone(), node.clone());
        tasks.push(spawn_local(open_loop));
        let resting = Clients::run_resting(cluster.clone(), node.clone());
        tasks.push(spawn_local(resting));
    }
    for fault in &cluster.plan.faults {
        let injecting = fault_injector::inject(cluster.clone(), nodes.to_vec(), fault.clone());
        tasks.push(spawn_local(injecting));
    }
    sleep(cluster.plan.traffic_duration).await;
    cluster.traffic_ended.set(true);
    join(tasks).await;
}

fn spawn_for_each<F: Future<Output = ()> + 'static>(
    nodes: &[Rc<ProxyNode>],
    task: impl Fn(Rc<ProxyNode>) -> F,
) -> Vec<JoinHandle<()>> {
    nodes
        .iter()
        .map(|node| spawn_local(task(node.clone())))
        .collect()
}

/// Waits for all tasks, whether or not they panic.
async fn join(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        let _ = task.await;
    }
}

async fn measure_lag(cluster: Rc<TestCluster>) {
    loop {
        let before = Instant::now();
        sleep(OBSERVATION_INTERVAL).await;
        let lag = before.elapsed().saturating_sub(OBSERVATION_INTERVAL);
        cluster.checker().observer_lagged(lag);
    }
}

async fn watch_for_crashes(nodes: Vec<Rc<ProxyNode>>) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        for node in &nodes {
            node.check_running();
        }
    }
}
