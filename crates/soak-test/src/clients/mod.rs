//! Simulated clients of the nodes: an open loop of requests over reused connections, clients that
//! disconnect early, clients that reuse a connection about when the node closes it as idle, clients
//! that read slowly, and peers that send malformed requests.

mod idle_timeout;
mod malformed_peer;
mod request;
mod slow_reader;

use crate::cluster::TestCluster;
use crate::http::{Connection, ConnectionEnd, Message};
use crate::invariants::{OBSERVER_ALLOWANCE, RESPONSE_ALLOWANCE};
use crate::message_body;
use crate::plan::{NodeIndex, Scenario};
use crate::proxy_node::ProxyNode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use request::ClientRequest;
use slow_reader::SLOW_READ_TIMEOUT;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Probability that an open-loop client keeps a reusable connection for another request.
const REUSE_PROBABILITY: f64 = 0.9;
/// Probability that a request is written in two parts.
const SPLIT_PROBABILITY: f64 = 0.05;
/// Pause between the two parts of a request.
const SPLIT_PAUSE: Duration = Duration::from_millis(60);
/// Probability that a client disconnects before its response, while clients are impatient.
const DISCONNECT_PROBABILITY: f64 = 0.4;
/// Probability that a malformed peer takes the place of an open-loop client, while there are such
/// peers.
const MALFORMED_PROBABILITY: f64 = 0.3;
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client that does not disconnect early waits for its response beyond the request's
/// timeout and all allowances.
const EXTRA_WAIT: Duration = Duration::from_millis(200);
/// Time within which a reset follows the close of a connection if the node left something on it
/// unread.
const RESET_WAIT: Duration = Duration::from_millis(1500);

/// Kind of the clients of a node. Each kind has a random number stream of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    /// Start requests at random times, independent of responses.
    OpenLoop = 0,
    /// Send another request on a connection at about the time at which the node closes it as idle.
    IdleTimeout = 1,
    /// Read large responses slowly at first.
    SlowReader = 2,
}

impl ClientKind {
    /// Returns the number of the random number stream of these clients at a node.
    fn random_stream(self, node: NodeIndex) -> u64 {
        let node = node.0 as u64;
        match self {
            ClientKind::OpenLoop | ClientKind::IdleTimeout => node * 2 + self as u64,
            // Kept apart from the streams of the other kinds, which do not depend on this one.
            ClientKind::SlowReader => node | 1 << 32,
        }
    }

    /// Returns how much longer than the usual limit a client of this kind waits for its whole
    /// response.
    fn extra_read_time(self) -> Duration {
        match self {
            ClientKind::OpenLoop | ClientKind::IdleTimeout => Duration::ZERO,
            ClientKind::SlowReader => SLOW_READ_TIMEOUT,
        }
    }
}

/// The clients of one kind at one node.
pub struct Clients {
    kind: ClientKind,
    cluster: Rc<TestCluster>,
    node: Rc<ProxyNode>,
    /// Open connections that no request uses; the last one is reused first.
    idle_connections: RefCell<Vec<Connection>>,
    /// Source of all random draws of these clients.
    random: RefCell<SmallRng>,
}

/// What becomes of a connection after a request on it.
enum ConnectionAfterRequest {
    /// It can be used for another request.
    Reusable(Connection),
    /// It was closed, or has to be.
    Closed,
}

impl Clients {
    /// Creates the clients of a kind, with a random number stream that depends on the plan's seed,
    /// the node and the kind.
    fn new(cluster: Rc<TestCluster>, node: Rc<ProxyNode>, kind: ClientKind) -> Rc<Self> {
        let seed = cluster
            .plan
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(kind.random_stream(node.index));
        Rc::new(Clients {
            kind,
            cluster,
            node,
            idle_connections: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Starts requests at random times until the traffic ends, and waits until all clients have
    /// ended.
    pub async fn run_open_loop(cluster: Rc<TestCluster>, node: Rc<ProxyNode>) {
        let clients = Clients::new(cluster, node, ClientKind::OpenLoop);
        let mut number = 0;
        let mut tasks = Vec::new();
        while !clients.cluster.traffic_ended.get() {
            sleep(clients.draw_interarrival_time()).await;
            // A load balancer sends nothing new to a node that has been down for a while. In plans
            // with operations, clients still use their open connections to it.
            if !clients.node.receives_traffic() && !clients.use_connections_until_exit() {
                continue;
            }
            number += 1;
            let clients = clients.clone();
            let malformed =
                clients.cluster.malformed_peers.get() && clients.uniform() < MALFORMED_PROBABILITY;
            tasks.push(spawn_local(async move {
                if malformed {
                    clients.run_malformed_peer(number).await;
                } else {
                    clients.run_client(number).await;
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Draws a number from 0 up to, but not including, 1.
    fn uniform(&self) -> f64 {
        self.random.borrow_mut().random_range(0.0..1.0)
    }

    /// Draws the time until the next request of a Poisson process with the current request rate.
    fn draw_interarrival_time(&self) -> Duration {
        let exponential = -self.uniform().max(1e-9).ln();
        let rate = self.cluster.plan.requests_per_second * self.cluster.request_rate_multiple.get();
        Duration::from_secs_f64(exponential / rate)
    }

    /// Whether clients go on using their open connections to a node that gets no new connections.
    fn use_connections_until_exit(&self) -> bool {
        self.cluster.plan.scenario == Scenario::Operations
    }

    /// Returns an idle connection, or else a new one; `None` if none can be established.
    async fn acquire_connection(&self) -> Option<Connection> {
        match self.take_idle_connection() {
            Some(connection) => Some(connection),
            None => self.connect().await,
        }
    }

    /// Takes the most recently used idle connection that is still open, and drops those that are
    /// not.
    fn take_idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle_connections.borrow_mut();
        std::iter::from_fn(|| idle.pop()).find(|connection| Connection::is_open(&connection.socket))
    }

    /// Opens a new connection; `None` if it is not established in time. In plans with operations
    /// the node's listener outlives its processes, and a connection to a node without a process
    /// would wait for the next one. So in these plans none is opened while the node receives no
    /// traffic.
    async fn connect(&self) -> Option<Connection> {
        if self.use_connections_until_exit() && !self.node.receives_traffic() {
            return None;
        }
        let connecting = TcpStream::connect(self.node.address);
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        connected.ok()?.ok().map(Connection::new)
    }

    /// Sends one request, and keeps its connection with a probability of [`REUSE_PROBABILITY`].
    async fn run_client(&self, number: u64) {
        let Some(connection) = self.acquire_connection().await else {
            return;
        };
        let id = format!("{}-{number}", self.node.index);
        if let ConnectionAfterRequest::Reusable(connection) =
            self.send_request(&id, connection).await
        {
            if self.uniform() < REUSE_PROBABILITY {
                self.idle_connections.borrow_mut().push(connection);
            }
        }
    }

    /// Sends one request of a random class and waits for its response, or disconnects early.
    /// Reports to the checker how the request ended.
    async fn send_request(&self, id: &str, mut connection: Connection) -> ConnectionAfterRequest {
        let generation = self.node.generation();
        let connections_broken = self.node.connections_broken();
        let class = self.draw_class();
        let request = self.draw_request(id, class);
        self.cluster
            .checker()
            .request_started(id, class, self.node.index, request.timeout);
        if self
            .write_request(&connection, &request.text)
            .await
            .is_err()
        {
            self.cluster.checker().request_unanswered();
            return ConnectionAfterRequest::Closed;
        }
        self.cluster.checker().request_sent(id);
        let disconnects_early =
            self.cluster.clients_impatient.get() && self.uniform() < DISCONNECT_PROBABILITY;
        let wait_limit = if disconnects_early {
            request.timeout.mul_f64(self.uniform() * 0.8)
        } else {
            request.timeout
                + RESPONSE_ALLOWANCE
                + OBSERVER_ALLOWANCE
                + EXTRA_WAIT
                + self.kind.extra_read_time()
        };
        match timeout(wait_limit, connection.read()).await {
            // The response is not checked: the request may have waited at the listener for the next
            // process, which does not know how long it waited.
            Ok(Ok(_)) if self.use_connections_until_exit() && self.node.was_killed(generation) => {
                self.cluster.checker().request_unanswered();
            }
            Ok(Ok(response)) => {
                return self.response_received(id, connection, &request, &response);
            }
            Ok(Err(_)) if request.response_bytes > 0 && connection.incomplete_bytes() > 0 => {
                let network_failed = self.node.connections_broken() > connections_broken
                    || self.node.cut_off_by_kill(&connection.socket);
                self.response_ended_early(id, network_failed, generation);
            }
            Ok(Err(end)) => {
                self.connection_ended(id, &connection, end, generation)
                    .await;
            }
            Err(_) if disconnects_early => {
                drop(connection);
                self.cluster.checker().client_disconnected(id);
            }
            Err(_) if self.node.was_killed(generation) => {
                self.cluster.checker().request_unanswered();
            }
            Err(_) => self
                .cluster
                .checker()
                .request_lost(id, "no response in time"),
        }
        ConnectionAfterRequest::Closed
    }

    /// Writes a request, in two parts with a probability of [`SPLIT_PROBABILITY`].
    async fn write_request(&self, connection: &Connection, text: &str) -> std::io::Result<()> {
        if self.uniform() >= SPLIT_PROBABILITY {
            return connection.write(text.as_bytes()).await;
        }
        let (first, second) = text.split_at(text.len() / 2);
        connection.write(first.as_bytes()).await?;
        sleep(SPLIT_PAUSE).await;
        connection.write(second.as_bytes()).await
    }

    /// Reports a complete response to the checker, and, if it is a success, whether its body is
    /// altered or too short. Returns whether the connection can be used again.
    fn response_received(
        &self,
        id: &str,
        connection: Connection,
        request: &ClientRequest,
        response: &Message,
    ) -> ConnectionAfterRequest {
        let status = response.status().unwrap_or(0);
        let mut checker = self.cluster.checker();
        checker.response_received(id, status, response);
        let is_whole = response.body.len() >= request.response_bytes
            && message_body::is_intact(&response.body);
        if status == 200 && !is_whole {
            checker.response_altered(id, response.body.len(), request.response_bytes);
        }
        drop(checker);
        let closes = response
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if closes {
            ConnectionAfterRequest::Closed
        } else {
            ConnectionAfterRequest::Reusable(connection)
        }
    }

    /// Reports that the connection ended within a large response, which the client can detect. That
    /// is excused only by a killed node, a backend that restarted or a network failure, or by SIGKILL
    /// when the shutdown timeout is over.
    fn response_ended_early(&self, id: &str, network_failed: bool, generation: u64) {
        let mut checker = self.cluster.checker();
        if self.node.was_killed(generation) {
            checker.request_unanswered();
        } else if network_failed || checker.backend_restarted(id) {
            checker.response_interrupted();
        } else {
            checker.request_lost(id, "its response ended early");
        }
    }

    /// Reports that the connection ended before the response. A request that the node has not read,
    /// or whose node was killed, counts as unanswered, since a client may send it again elsewhere;
    /// any other is lost.
    async fn connection_ended(
        &self,
        id: &str,
        connection: &Connection,
        end: ConnectionEnd,
        generation: u64,
    ) {
        let unread = match end {
            ConnectionEnd::Reset => true,
            ConnectionEnd::Closed(0) => reset_follows(connection).await,
            ConnectionEnd::Closed(_) => false,
        };
        let mut checker = self.cluster.checker();
        if self.node.was_killed(generation) {
            checker.request_unanswered();
        } else if checker.was_forwarded(id) {
            checker.request_lost(
                id,
                "forwarded to a backend, but the connection ended without a response",
            );
        } else if unread {
            checker.request_unanswered();
        } else {
            checker.request_lost(
                id,
                "read by the node, but the connection closed without a response",
            );
        }
    }
}

/// Whether a reset follows within [`RESET_WAIT`] on a connection that the peer has closed, which
/// means that the peer left something unread.
async fn reset_follows(connection: &Connection) -> bool {
    let failed = connection.socket.ready(Interest::ERROR);
    matches!(timeout(RESET_WAIT, failed).await, Ok(Ok(ready)) if ready.is_error())
}
