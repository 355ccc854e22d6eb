//! Clients that read large responses slowly at first, so that the end of a response waits in the node
//! while the node ends.

use super::{ClientKind, Clients};
use crate::cluster::TestCluster;
use crate::http::{Connection, ReadPace};
use crate::plan::Scenario;
use crate::proxy_node::ProxyNode;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Number of slow readers at each node.
const SLOW_READERS: usize = 8;
/// Range of the sizes of the responses, in bytes: around what the system's buffers between a node and
/// a client hold.
pub(super) const SLOW_RESPONSE_BYTES: Range<f64> = 400_000.0..700_000.0;
/// Receive buffer of a slow reader, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Slowest rate, in bytes per second, at which a client may read.
const SLOWEST_READ_RATE: usize = 64_000;
/// How long a slow reader reads at that rate: longer than a process that has been signalled to exit
/// keeps connections that are idle.
const SLOW_DURATION: Duration = Duration::from_secs(4);
/// How much longer than any other client a slow reader waits for the end of its response.
pub(super) const SLOW_READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest pause between two requests of a slow reader.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl Clients {
    /// Runs the clients that read slowly, each request on a connection of its own, until the traffic
    /// ends. Only plans with operations have such clients.
    pub async fn run_slow_readers(cluster: Rc<TestCluster>, node: Rc<ProxyNode>) {
        if cluster.plan.scenario != Scenario::Operations {
            return;
        }
        let clients = Clients::new(cluster, node, ClientKind::SlowReader);
        let tasks: Vec<_> = (0..SLOW_READERS)
            .map(|number| spawn_local(clients.clone().run_slow_reader(number)))
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    async fn run_slow_reader(self: Rc<Self>, number: usize) {
        for round in 0.. {
            sleep(MAX_PAUSE.mul_f64(self.uniform())).await;
            if self.cluster.traffic_ended.get() {
                return;
            }
            let id = format!("{}-s{number}-{round}", self.node.index);
            if let Some(connection) = self.connect_slow_reader().await {
                self.send_request(&id, connection).await;
            }
        }
    }

    /// Opens a connection that is read slowly at first; `None` if the node gets no new connections or
    /// if it is not established in time.
    async fn connect_slow_reader(&self) -> Option<Connection> {
        if !self.node.receives_traffic() {
            return None;
        }
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
        let connected = timeout(CONNECT_TIMEOUT, socket.connect(self.node.address)).await;
        let mut connection = Connection::new(connected.ok()?.ok()?);
        connection.read_slowly(ReadPace::new(SLOWEST_READ_RATE, SLOW_DURATION));
        Some(connection)
    }
}
