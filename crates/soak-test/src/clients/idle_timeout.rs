//! Clients that reuse a connection about when the node closes it as idle.

use super::{ClientKind, Clients, ConnectionAfterRequest};
use crate::cluster::TestCluster;
use crate::proxy_node::ProxyNode;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of idle-timeout clients at each node.
const IDLE_TIMEOUT_CLIENTS: usize = 12;
/// Pause before an idle-timeout client without a connection tries again to get one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// About how long idle-timeout clients leave a connection idle: as long as a node keeps a client
/// connection without a request.
const IDLE_DURATION: Duration = Duration::from_secs(5);

impl Clients {
    /// Runs the clients that leave a connection idle until about the time at which the node closes
    /// it, and then send another request on it. Returns when all of them have ended.
    pub async fn run_idle_timeout_clients(cluster: Rc<TestCluster>, node: Rc<ProxyNode>) {
        let clients = Clients::new(cluster, node, ClientKind::IdleTimeout);
        let tasks: Vec<_> = (0..IDLE_TIMEOUT_CLIENTS)
            .map(|number| spawn_local(clients.clone().run_idle_timeout_client(number)))
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Runs rounds of a request, an idle time and another request on the same connection, until the
    /// traffic ends. In plans without operations, the client ends at the first failure to connect.
    async fn run_idle_timeout_client(self: Rc<Self>, number: usize) {
        sleep(Duration::from_secs_f64(self.uniform())).await;
        for round in 0.. {
            let Some(connection) = self.acquire_connection().await else {
                if self.use_connections_until_exit() && !self.cluster.traffic_ended.get() {
                    sleep(RECONNECT_PAUSE).await;
                    continue;
                }
                return;
            };
            let id = format!("{}-r{number}-{round}", self.node.index);
            let connection_after = self.send_request(&id, connection).await;
            if self.cluster.traffic_ended.get() {
                return;
            }
            sleep(IDLE_DURATION.mul_f64(0.97 + 0.06 * self.uniform())).await;
            // Sent without checking that the connection is open: the node may be closing it right
            // now.
            if let ConnectionAfterRequest::Reusable(connection) = connection_after {
                self.send_request(&format!("{id}b"), connection).await;
            }
        }
    }
}
