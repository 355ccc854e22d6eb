//! Injects the faults of a plan into nodes, backends, discovery and clients.

use crate::cluster::{EndpointState, TestCluster};
use crate::discovery;
use crate::discovery_mode::DiscoveryMode;
use crate::operator;
use crate::plan::{
    BackendBehavior, BackendIndex, Fault, NodeIndex, ScheduledFault, SystemCallFault,
};
use crate::proxy_node::ProxyNode;
use fault_injection::SystemCall;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Rate of rare failures, in millionths of the calls.
const RARE_RATE: u64 = 5_000;
/// Rate at which a node pauses after `epoll_wait`, in millionths of the calls.
const PAUSE_RATE: u64 = 20_000;
/// Rate of frequent failures, in millionths of the calls.
const FREQUENT_RATE: u64 = 100_000;
/// Rate of very frequent failures and of short reads and writes, in millionths of the calls.
const VERY_FREQUENT_RATE: u64 = 200_000;
/// Failure rate of the calls that store operator state, in millionths. It is high since these calls
/// are made only once in a while.
const STATE_WRITE_FAILURE_RATE: u64 = 500_000;
/// Duration of one pause of a node.
const PAUSE_DURATION: Duration = Duration::from_millis(150);
/// Least time between two pauses of a node, since the time that the invariant checks allow for
/// delays covers only one.
const MIN_PAUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Waits until a fault is due, injects it, and ends it after its duration. The time of the fault
/// counts from this call, which must be made when the traffic starts, within a `LocalSet`.
pub async fn inject(
    cluster: Rc<TestCluster>,
    nodes: Vec<Rc<ProxyNode>>,
    scheduled: ScheduledFault,
) {
    sleep(scheduled.at).await;
    let injector = FaultInjector {
        cluster,
        nodes,
        duration: scheduled.duration,
    };
    injector.inject(&scheduled.fault).await;
}

/// Injects one fault into the test cluster.
struct FaultInjector {
    cluster: Rc<TestCluster>,
    /// All nodes of the run, by [`NodeIndex`].
    nodes: Vec<Rc<ProxyNode>>,
    /// How long the fault lasts. Faults that happen once ignore it.
    duration: Duration,
}

impl FaultInjector {
    /// Injects the fault, and returns when it is over.
    async fn inject(&self, fault: &Fault) {
        match fault {
            Fault::TerminateNodes(nodes) => {
                self.run_on_nodes(nodes, |node| async move { node.restart().await })
                    .await;
            }
            Fault::KillNodes(nodes) => {
                self.run_on_nodes(nodes, |node| async move { node.kill().await })
                    .await;
            }
            Fault::ReloadNodes(nodes) => {
                self.run_on_nodes(nodes, |node| async move { node.reload().await })
                    .await;
            }
            Fault::DrainBackends(backends) => self.withdraw(backends, EndpointState::Draining),
            Fault::RemoveBackends(backends) => self.withdraw(backends, EndpointState::Removed),
            Fault::RestartBackends(backends) => backends
                .iter()
                .for_each(|&backend| self.cluster.restart_backend(backend)),
            Fault::JoinBackends(backends) => backends
                .iter()
                .for_each(|&backend| self.cluster.join_backend(backend)),
            Fault::Misbehave(backends, behavior) => self.misbehave(backends, *behavior).await,
            Fault::DiscoveryDown => self.change_discovery_mode(DiscoveryMode::Down).await,
            Fault::DiscoverySilent => self.change_discovery_mode(DiscoveryMode::Silent).await,
            Fault::DiscoverySlow(delay) => {
                self.change_discovery_mode(DiscoveryMode::Responding(*delay))
                    .await;
            }
            Fault::ResetWatches => self.cluster.watch_resets.send_modify(|resets| *resets += 1),
            Fault::FailSystemCalls(nodes, calls) => {
                self.run_call_faults(nodes, |node| fail_system_calls(node, *calls))
                    .await;
            }
            Fault::PauseNodes(nodes) => self.run_call_faults(nodes, pause_occasionally).await,
            Fault::StepWallClock(nodes, seconds) => {
                for node in self.nodes_at(nodes) {
                    node.control.set_wall_clock_offset(*seconds);
                }
            }
            Fault::ImpatientClients => self.set_temporarily(&self.cluster.clients_impatient).await,
            Fault::MalformedPeers => self.set_temporarily(&self.cluster.malformed_peers).await,
            Fault::UpgradeNodes(nodes) => {
                self.run_on_nodes(nodes, |node| async move { node.upgrade().await })
                    .await;
            }
            Fault::Maintenance(nodes, backend) => {
                let (backend, duration) = (*backend, self.duration);
                self.run_on_nodes(nodes, move |node| async move {
                    operator::run_maintenance(&node, backend, duration).await;
                })
                .await;
            }
            Fault::FailStateWrites(nodes) => self.run_call_faults(nodes, fail_state_writes).await,
            Fault::Crowd(factor) => self.multiply_request_rate(*factor).await,
        }
    }

    /// Returns the nodes at these indices, in the same order.
    fn nodes_at<'a>(&'a self, nodes: &'a [NodeIndex]) -> impl Iterator<Item = &'a Rc<ProxyNode>> {
        nodes.iter().map(|&node| &self.nodes[node.0])
    }

    /// Runs an action on these nodes concurrently, and waits until all are done.
    async fn run_on_nodes<F: Future<Output = ()> + 'static>(
        &self,
        nodes: &[NodeIndex],
        action: impl Fn(Rc<ProxyNode>) -> F,
    ) {
        let tasks: Vec<_> = self
            .nodes_at(nodes)
            .map(|node| spawn_local(action(node.clone())))
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Makes system calls of these nodes fail or pause, as `set_faults` sets it, for the duration
    /// of the fault. The end clears all such faults of the nodes, including those of overlapping
    /// faults.
    async fn run_call_faults(&self, nodes: &[NodeIndex], set_faults: impl Fn(&ProxyNode)) {
        for node in self.nodes_at(nodes) {
            set_faults(node);
        }
        sleep(self.duration).await;
        for node in self.nodes_at(nodes) {
            node.control.clear_faults();
        }
    }

    /// Lists these backends as draining, or removes them from the endpoint list.
    fn withdraw(&self, backends: &[BackendIndex], state: EndpointState) {
        for &backend in backends {
            self.cluster.withdraw_backend(backend, state);
        }
    }

    /// Sets the behavior of these backends for the duration of the fault, and then back to normal.
    async fn misbehave(&self, backends: &[BackendIndex], behavior: BackendBehavior) {
        self.set_behavior(backends, behavior);
        sleep(self.duration).await;
        self.set_behavior(backends, BackendBehavior::Normal);
    }

    fn set_behavior(&self, backends: &[BackendIndex], behavior: BackendBehavior) {
        for &backend in backends {
            self.cluster.backends[backend.0].behavior.set(behavior);
        }
    }

    /// Sets the mode of discovery for the duration of the fault, and then back to prompt responses.
    async fn change_discovery_mode(&self, mode: DiscoveryMode) {
        discovery::set_mode(&self.cluster, mode);
        sleep(self.duration).await;
        discovery::set_mode(&self.cluster, DiscoveryMode::PROMPT);
    }

    /// Sets the request rate to a multiple of the plan's for the duration of the fault.
    async fn multiply_request_rate(&self, factor: f64) {
        self.cluster.request_rate_multiple.set(factor);
        sleep(self.duration).await;
        self.cluster.request_rate_multiple.set(1.0);
    }

    /// Sets a flag for the duration of the fault, and then clears it.
    async fn set_temporarily(&self, flag: &Cell<bool>) {
        flag.set(true);
        sleep(self.duration).await;
        flag.set(false);
    }
}

/// Makes the calls that store a node's operator state, syncs and renames, fail at random.
fn fail_state_writes(node: &ProxyNode) {
    let errors = [libc::ENOSPC, libc::EIO];
    for call in [SystemCall::Sync, SystemCall::Rename] {
        node.control
            .faults(call)
            .set_rate(STATE_WRITE_FAILURE_RATE, &errors);
    }
}

/// Makes a node pause at random between reading events and reacting to them.
fn pause_occasionally(node: &ProxyNode) {
    node.control
        .after_epoll_wait
        .set_rate(PAUSE_RATE, PAUSE_DURATION, MIN_PAUSE_INTERVAL);
}

/// Makes the system calls of this group fail at random in a node's processes. Under
/// [`SystemCallFault::ShortIo`], reads and writes transfer only a few bytes instead.
fn fail_system_calls(node: &ProxyNode, calls: SystemCallFault) {
    let set_failure_rate =
        |call, rate, errors: &[i32]| node.control.faults(call).set_rate(rate, errors);
    match calls {
        SystemCallFault::Accept => {
            let errors = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
            set_failure_rate(SystemCall::Accept, VERY_FREQUENT_RATE, &errors);
        }
        SystemCallFault::Connect => {
            let errors = [
                libc::ENFILE,
                libc::ENOBUFS,
                libc::EADDRNOTAVAIL,
                libc::ENETUNREACH,
            ];
            set_failure_rate(SystemCall::Socket, FREQUENT_RATE, &[libc::ENFILE]);
            set_failure_rate(SystemCall::Connect, VERY_FREQUENT_RATE, &errors);
        }
        SystemCallFault::InterruptedWaits => {
            set_failure_rate(SystemCall::EpollWait, VERY_FREQUENT_RATE, &[libc::EINTR]);
            set_failure_rate(SystemCall::Poll, VERY_FREQUENT_RATE, &[libc::EINTR]);
        }
        SystemCallFault::ShortIo => node.control.set_short_io_rate(VERY_FREQUENT_RATE),
        SystemCallFault::BrokenConnections => {
            let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
            set_failure_rate(SystemCall::Receive, RARE_RATE, &errors);
        }
    }
}
