//! Monitors the peer process: the other process of the same node, which runs during an upgrade.

use crate::admin::operator_control::OperatorControl;
use crate::downstream::listener::Listener;
use crate::event_log::EventLog;
use crate::operator_state::store::OperatorStateStore;
use crate::resource_limits::ResourceLimits;
use crate::upstream::pool::ConnectionPool;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a process checks whether a peer process runs and has changed the operator
/// state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the operator state that a peer process has stored, and resizes the connection pools so
/// that both processes share the node's resources while both run.
pub struct PeerProcessMonitor {
    /// Applies the changes of the operator state that a peer process has stored.
    pub control: Rc<OperatorControl>,
    /// Detects whether a peer process runs.
    pub operator_state: Rc<OperatorStateStore>,
    /// The resources that the processes of the node share.
    pub resource_limits: ResourceLimits,
    /// The listener whose number of client connections is resized.
    pub listener: Rc<Listener>,
    /// The pool whose number of connections to backends is resized.
    pub upstream_pool: Rc<ConnectionPool>,
    /// The log of the process.
    pub log: EventLog,
    /// Whether a peer process was running when the connection pools were last sized.
    pub peer_process_running: bool,
}

impl PeerProcessMonitor {
    /// Checks for the peer process every [`POLL_INTERVAL`]. Never returns.
    pub async fn run(mut self) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            interval.tick().await;
            self.control.refresh().await;
            let is_running = self.operator_state.peer_process_running();
            if is_running != self.peer_process_running {
                self.peer_process_running = is_running;
                self.resize_pools();
            }
        }
    }

    /// Resizes the connection pools for the current number of processes, and logs the sizes.
    fn resize_pools(&self) {
        let sizes = self.resource_limits.pool_sizes(self.peer_process_running);
        self.listener.resize(sizes.client_connections);
        self.upstream_pool.resize(sizes.upstream_connections);
        self.upstream_pool.memory().resize(sizes.memory_bytes);
        self.log.log(format_args!(
            "peer_process_running={} clients={} upstream={} memory_kib={}",
            self.peer_process_running,
            sizes.client_connections,
            sizes.upstream_connections,
            sizes.memory_bytes >> 10
        ));
    }
}
