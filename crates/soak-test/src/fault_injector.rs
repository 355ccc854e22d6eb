//! Carries out the faults of a plan.

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

/// Rate of rare faults, in millionths.
const RARE: u64 = 5_000;
/// Rate of pauses, in millionths.
const OCCASIONAL: u64 = 20_000;
/// Rate of frequent faults, in millionths.
const FREQUENT: u64 = 100_000;
/// Rate of very frequent faults, in millionths.
const VERY_FREQUENT: u64 = 200_000;
/// Rate of faults of calls that are made once in a while, in millionths.
const HALF: u64 = 500_000;
/// How long a paused node stands still.
const PAUSE_DURATION: Duration = Duration::from_millis(150);
/// Least time between two pauses: the allowances of the invariants cover one.
const PAUSE_GAP: Duration = Duration::from_secs(1);

/// Waits for the time of a fault, lets it begin, and ends it after its duration.
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

struct FaultInjector {
    cluster: Rc<TestCluster>,
    nodes: Vec<Rc<ProxyNode>>,
    /// How long a fault lasts, where it lasts.
    duration: Duration,
}

impl FaultInjector {
    async fn inject(&self, fault: &Fault) {
        match fault {
            Fault::TerminateNodes(nodes) => {
                self.on_nodes(nodes, |node| async move { node.restart().await })
                    .await;
            }
            Fault::KillNodes(nodes) => {
                self.on_nodes(nodes, |node| async move { node.kill().await })
                    .await;
            }
            Fault::ReloadNodes(nodes) => {
                self.on_nodes(nodes, |node| async move { node.reload().await })
                    .await;
            }
            Fault::DrainBackends(backends) => self.take_out(backends, EndpointState::Draining),
            Fault::RemoveBackends(backends) => self.take_out(backends, EndpointState::Removed),
            Fault::RestartBackends(backends) => backends
                .iter()
                .for_each(|&backend| self.cluster.restart_backend(backend)),
            Fault::JoinBackends(backends) => backends
                .iter()
                .for_each(|&backend| self.cluster.join_backend(backend)),
            Fault::Misbehave(backends, behavior) => self.misbehave(backends, *behavior).await,
            Fault::DiscoveryDown => self.change_discovery(DiscoveryMode::Down).await,
            Fault::DiscoverySilent => self.change_discovery(DiscoveryMode::Silent).await,
            Fault::DiscoverySlow(delay) => {
                self.change_discovery(DiscoveryMode::Responding(*delay))
                    .await;
            }
            Fault::ResetWatches => self.cluster.watch_resets.send_modify(|resets| *resets += 1),
            Fault::FailSystemCalls(nodes, calls) => {
                self.disturb(nodes, |node| fail_system_calls(node, *calls))
                    .await;
            }
            Fault::PauseNodes(nodes) => self.disturb(nodes, pause_at_times).await,
            Fault::StepWallClock(nodes, seconds) => {
                for node in self.chosen(nodes) {
                    node.control.step_wall_clock(*seconds);
                }
            }
            Fault::ImpatientClients => self.raise(&self.cluster.clients_impatient).await,
            Fault::MalformedPeers => self.raise(&self.cluster.malformed_peers).await,
            Fault::UpgradeNodes(nodes) => {
                self.on_nodes(nodes, |node| async move { node.upgrade().await })
                    .await;
            }
            Fault::Maintenance(nodes, backend) => {
                let (backend, duration) = (*backend, self.duration);
                self.on_nodes(nodes, move |node| async move {
                    operator::maintain(&node, backend, duration).await;
                })
                .await;
            }
            Fault::FailStateWrites(nodes) => self.disturb(nodes, fail_state_writes).await,
            Fault::Crowd(factor) => self.crowd(*factor).await,
        }
    }

    fn chosen<'a>(&'a self, nodes: &'a [NodeIndex]) -> impl Iterator<Item = &'a Rc<ProxyNode>> {
        nodes.iter().map(|&node| &self.nodes[node.0])
    }

    /// Does something at these nodes at the same time, and waits for all.
    async fn on_nodes<F: Future<Output = ()> + 'static>(
        &self,
        nodes: &[NodeIndex],
        action: impl Fn(Rc<ProxyNode>) -> F,
    ) {
        let tasks: Vec<_> = self
            .chosen(nodes)
            .map(|node| spawn_local(action(node.clone())))
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Lets system calls of these nodes fail or pause for a while.
    async fn disturb(&self, nodes: &[NodeIndex], set_faults: impl Fn(&ProxyNode)) {
        for node in self.chosen(nodes) {
            set_faults(node);
        }
        sleep(self.duration).await;
        for node in self.chosen(nodes) {
            node.control.clear_faults();
        }
    }

    fn take_out(&self, backends: &[BackendIndex], state: EndpointState) {
        for &backend in backends {
            self.cluster.take_out(backend, state);
        }
    }

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

    async fn change_discovery(&self, mode: DiscoveryMode) {
        discovery::set_mode(&self.cluster, mode);
        sleep(self.duration).await;
        discovery::set_mode(&self.cluster, DiscoveryMode::PROMPT);
    }

    async fn crowd(&self, factor: f64) {
        self.cluster.crowd_factor.set(factor);
        sleep(self.duration).await;
        self.cluster.crowd_factor.set(1.0);
    }

    async fn raise(&self, flag: &Cell<bool>) {
        flag.set(true);
        sleep(self.duration).await;
        flag.set(false);
    }
}

fn fail_state_writes(node: &ProxyNode) {
    let errors = [libc::ENOSPC, libc::EIO];
    for call in [SystemCall::Sync, SystemCall::Rename] {
        node.control.faults(call).set_rate(HALF, &errors);
    }
}

fn pause_at_times(node: &ProxyNode) {
    node.control
        .after_epoll_wait
        .set_rate(OCCASIONAL, PAUSE_DURATION, PAUSE_GAP);
}

fn fail_system_calls(node: &ProxyNode, calls: SystemCallFault) {
    let fail = |call, rate, errors: &[i32]| node.control.faults(call).set_rate(rate, errors);
    match calls {
        SystemCallFault::Accept => {
            let errors = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
            fail(SystemCall::Accept, VERY_FREQUENT, &errors);
        }
        SystemCallFault::Connect => {
            let errors = [
                libc::ENFILE,
                libc::ENOBUFS,
                libc::EADDRNOTAVAIL,
                libc::ENETUNREACH,
            ];
            fail(SystemCall::Socket, FREQUENT, &[libc::ENFILE]);
            fail(SystemCall::Connect, VERY_FREQUENT, &errors);
        }
        SystemCallFault::InterruptedWaits => {
            fail(SystemCall::EpollWait, VERY_FREQUENT, &[libc::EINTR]);
            fail(SystemCall::Poll, VERY_FREQUENT, &[libc::EINTR]);
        }
        SystemCallFault::ShortIo => node.control.set_short_io_rate(VERY_FREQUENT),
        SystemCallFault::BrokenConnections => {
            let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
            fail(SystemCall::Receive, RARE, &errors);
        }
    }
}
