//! Monitors the other process of the same node, which runs during an upgrade.

use crate::admin::operator_control::OperatorControl;
use crate::downstream::listener::Listener;
use crate::event_log::EventLog;
use crate::operator_state::store::OperatorStateStore;
use crate::resource_limits::ResourceLimits;
use crate::upstream::pool::ConnectionPool;
use std::rc::Rc;
use std::time::Duration;

/// How often a process checks whether a peer process runs and has changed the operator state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the operator state that a peer process has stored, and shares the machine's resources with
/// it while it runs.
pub struct PeerProcessMonitor {
    /// Applies changes of the operator state.
    pub control: Rc<OperatorControl>,
    /// Detects the peer process.
    pub operator_state: Rc<OperatorStateStore>,
    /// What the processes share.
    pub resource_limits: ResourceLimits,
    /// Accepts connections from clients.
    pub listener: Rc<Listener>,
    /// Holds connections to backends.
    pub upstream_pool: Rc<ConnectionPool>,
    /// The process's log.
    pub log: EventLog,
    /// Whether a peer process was running when the connection pools were sized last.
    pub peer_process_running: bool,
}

impl PeerProcessMonitor {
    /// Monitors the peer process for as long as this one runs.
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

    fn resize_pools(&self) {
        let sizes = self.resource_limits.pool_sizes(self.peer_process_running);
        self.listener.resize(sizes.client_connections);
        self.upstream_pool.resize(sizes.upstream_connections);
        self.log.log(format_args!(
            "peer_process_running={} clients={} upstream={}",
            self.peer_process_running, sizes.client_connections, sizes.upstream_connections
        ));
    }
}
