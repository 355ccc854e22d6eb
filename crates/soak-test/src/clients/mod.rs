//! Clients: an open loop of requests at each node over kept connections, clients that leave early,
//! clients that let connections rest, and peers that send no proper request.

mod malformed_peer;

use crate::cluster::TestCluster;
use crate::http::{Connection, ConnectionEnd, Message};
use crate::invariants::{OBSERVER_ALLOWANCE, RESPONSE_ALLOWANCE};
use crate::message_body;
use crate::plan::{ClassIndex, Idempotency, RequestClass, Scenario};
use crate::proxy_node::ProxyNode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Chance that a connection is kept for another request.
const KEEP_PROBABILITY: f64 = 0.9;
/// Clients at each node that let their connections rest.
const RESTING_CLIENTS: usize = 12;
/// Pause after which a client tries again to get a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// About how long they do: as long as a node keeps a connection without a request.
const REST_DURATION: Duration = Duration::from_secs(5);
/// Chance that a request is written in two parts.
const SPLIT_PROBABILITY: f64 = 0.05;
/// Chance that a request or its response is large, where clients send large messages.
const LARGE_PROBABILITY: f64 = 0.03;
/// Sizes of large bodies, in bytes: more than a node buffers.
const LARGE_BYTES: std::ops::Range<f64> = 70_000.0..300_000.0;
/// Pause between the two parts.
const SPLIT_PAUSE: Duration = Duration::from_millis(60);
/// Chance that an impatient client leaves a request.
const LEAVE_PROBABILITY: f64 = 0.4;
/// Chance that a malformed peer comes in place of a client.
const MALFORMED_PROBABILITY: f64 = 0.3;
/// A client gives up a connection that is not established by then.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than a response may take a patient client waits for it.
const PATIENCE: Duration = Duration::from_millis(200);
/// A reset follows the end of a connection within this, where something on it was not read.
const RESET_FOLLOWS_WITHIN: Duration = Duration::from_millis(1500);

/// What the clients of a node do. Each has random numbers of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    OpenLoop = 0,
    Resting = 1,
}

/// The clients of one node.
pub struct Clients {
    cluster: Rc<TestCluster>,
    node: Rc<ProxyNode>,
    idle_connections: RefCell<Vec<Connection>>,
    random: RefCell<SmallRng>,
}

/// A request as a client writes it.
struct ClientRequest {
    text: String,
    /// How long the client waits.
    timeout: Duration,
    /// Least size of the body of a response that succeeds.
    response_bytes: usize,
}

/// Whether the connection of a request is good for another.
enum Exchange {
    Reusable(Connection),
    Closed,
}

impl Clients {
    fn new(cluster: Rc<TestCluster>, node: Rc<ProxyNode>, kind: ClientKind) -> Rc<Self> {
        let stream = node.index.0 as u64 * 2 + kind as u64;
        let seed = cluster
            .plan
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(stream);
        Rc::new(Clients {
            cluster,
            node,
            idle_connections: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Clients that let a connection rest until about the time at which the node closes it, and then
    /// send another request on it.
    pub async fn run_resting(cluster: Rc<TestCluster>, node: Rc<ProxyNode>) {
        let clients = Clients::new(cluster, node, ClientKind::Resting);
        let tasks: Vec<_> = (0..RESTING_CLIENTS)
            .map(|number| spawn_local(clients.clone().run_resting_client(number)))
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    async fn run_resting_client(self: Rc<Self>, number: usize) {
        sleep(Duration::from_secs_f64(self.uniform())).await;
        for round in 0.. {
            let Some(connection) = self.connection().await else {
                if self.use_connections_until_exit() && !self.cluster.traffic_ended.get() {
                    sleep(RECONNECT_PAUSE).await;
                    continue;
                }
                return;
            };
            let id = format!("{}-r{number}-{round}", self.node.index);
            let exchange = self.send_request(&id, connection).await;
            if self.cluster.traffic_ended.get() {
                return;
            }
            sleep(REST_DURATION.mul_f64(0.97 + 0.06 * self.uniform())).await;
            // Whatever the connection looks like: the node may be closing it at this moment.
            if let Exchange::Reusable(connection) = exchange {
                self.send_request(&format!("{id}b"), connection).await;
            }
        }
    }

    /// Sends requests until the traffic ends, and waits for the last responses.
    pub async fn run_open_loop(cluster: Rc<TestCluster>, node: Rc<ProxyNode>) {
        let clients = Clients::new(cluster, node, ClientKind::OpenLoop);
        let mut number = 0;
        let mut tasks = Vec::new();
        while !clients.cluster.traffic_ended.get() {
            sleep(clients.draw_interarrival_time()).await;
            // The front sends nothing new to a node that has been down for long.
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

    /// A number from 0 to 1.
    fn uniform(&self) -> f64 {
        self.random.borrow_mut().random_range(0.0..1.0)
    }

    /// The time until the next request of a Poisson process.
    fn draw_interarrival_time(&self) -> Duration {
        let exponential = -self.uniform().max(1e-9).ln();
        let rate = self.cluster.plan.requests_per_second * self.cluster.crowd_factor.get();
        Duration::from_secs_f64(exponential / rate)
    }

    /// Whether clients go on using the connections that they have to a node that gets no new ones.
    fn use_connections_until_exit(&self) -> bool {
        self.cluster.plan.scenario == Scenario::Operations
    }

    /// An idle connection, or else a new one.
    async fn connection(&self) -> Option<Connection> {
        match self.idle_connection() {
            Some(connection) => Some(connection),
            None => self.connect().await,
        }
    }

    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle_connections.borrow_mut();
        std::iter::from_fn(|| idle.pop()).find(|connection| Connection::is_open(&connection.socket))
    }

    /// A new connection. Where the node's listener outlives its processes the front makes none to a
    /// node without a process: it would wait for the next one.
    async fn connect(&self) -> Option<Connection> {
        if self.use_connections_until_exit() && !self.node.receives_traffic() {
            return None;
        }
        let connecting = TcpStream::connect(self.node.address);
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        connected.ok()?.ok().map(Connection::new)
    }

    /// Sends one request, and keeps its connection at times.
    async fn run_client(&self, number: u64) {
        let Some(connection) = self.connection().await else {
            return;
        };
        let id = format!("{}-{number}", self.node.index);
        if let Exchange::Reusable(connection) = self.send_request(&id, connection).await {
            if self.uniform() < KEEP_PROBABILITY {
                self.idle_connections.borrow_mut().push(connection);
            }
        }
    }

    /// Sends one request and waits for its response, or leaves it.
    async fn send_request(&self, id: &str, mut connection: Connection) -> Exchange {
        let generation = self.node.generation();
        let connections_broken = self.node.connections_broken();
        let class = self.draw_class();
        let request = self.draw_request(id, class);
        self.cluster
            .checker()
            .request_started(id, class, self.node.index, request.timeout);
        if self.write(&connection, &request.text).await.is_err() {
            self.cluster.checker().request_unread();
            return Exchange::Closed;
        }
        self.cluster.checker().request_sent(id);
        let leaves = self.cluster.clients_impatient.get() && self.uniform() < LEAVE_PROBABILITY;
        let patience = if leaves {
            request.timeout.mul_f64(self.uniform() * 0.8)
        } else {
            request.timeout + RESPONSE_ALLOWANCE + OBSERVER_ALLOWANCE + PATIENCE
        };
        match timeout(patience, connection.read()).await {
            // It may have waited at the listener for the next process, which knows nothing of the time
            // that passed.
            Ok(Ok(_)) if self.use_connections_until_exit() && self.node.was_killed(generation) => {
                self.cluster.checker().request_unread();
            }
            Ok(Ok(response)) => {
                return self.response_received(id, connection, &request, &response);
            }
            Ok(Err(_)) if request.response_bytes > 0 && connection.incomplete_bytes() > 0 => {
                let network_failed = self.node.connections_broken() > connections_broken;
                self.response_ended_early(id, network_failed, generation);
            }
            Ok(Err(end)) => {
                self.connection_ended(id, &connection, end, generation)
                    .await;
            }
            Err(_) if leaves => {
                drop(connection);
                self.cluster.checker().client_disconnected(id);
            }
            Err(_) if self.node.was_killed(generation) => {
                self.cluster.checker().request_unread();
            }
            Err(_) => self
                .cluster
                .checker()
                .request_lost(id, "no response in time"),
        }
        Exchange::Closed
    }

    fn draw_class(&self) -> ClassIndex {
        let classes = self.cluster.plan.classes.len();
        ClassIndex(self.random.borrow_mut().random_range(0..classes))
    }

    fn draw_request(&self, id: &str, class: ClassIndex) -> ClientRequest {
        let plan = &self.cluster.plan;
        let class = &plan.classes[class.0];
        let timeout = class.deadline.mul_f64(0.3 + 0.7 * self.uniform());
        let timeout_ms = timeout.as_millis() as u64;
        let cost = plan.service_time.as_micros();
        let head = format!(
            "HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout_ms}m\r\nX-Cost: {cost}\r\n"
        );
        let response_bytes = self.draw_large_bytes();
        ClientRequest {
            text: self.request_text(id, class, &head, response_bytes),
            timeout: Duration::from_millis(timeout_ms),
            response_bytes,
        }
    }

    /// The whole request, with the end of its first line and its common headers in `head`.
    fn request_text(
        &self,
        id: &str,
        class: &RequestClass,
        head: &str,
        response_bytes: usize,
    ) -> String {
        let name = class.name;
        let query = if response_bytes > 0 {
            message_body::query(response_bytes)
        } else {
            String::new()
        };
        if class.idempotency == Idempotency::Idempotent {
            return format!("GET /{name}/x{query} {head}\r\n");
        }
        let key = match class.idempotency {
            Idempotency::Keyed => format!("Idempotency-Key: k{id}\r\n"),
            Idempotency::Idempotent | Idempotency::NonIdempotent => String::new(),
        };
        let mut body = "body".to_owned();
        message_body::fill(&mut body, self.draw_large_bytes());
        let length = body.len();
        format!("POST /{name}/x{query} {head}{key}Content-Length: {length}\r\n\r\n{body}")
    }

    /// The size of a body; 0 for a small one.
    fn draw_large_bytes(&self) -> usize {
        let sends_large = self.cluster.plan.scenario == Scenario::Operations;
        if !sends_large || self.uniform() >= LARGE_PROBABILITY {
            return 0;
        }
        self.random.borrow_mut().random_range(LARGE_BYTES) as usize
    }

    /// Writes a request, at times in two parts.
    async fn write(&self, connection: &Connection, text: &str) -> std::io::Result<()> {
        if self.uniform() >= SPLIT_PROBABILITY {
            return connection.write(text.as_bytes()).await;
        }
        let (first, second) = text.split_at(text.len() / 2);
        connection.write(first.as_bytes()).await?;
        sleep(SPLIT_PAUSE).await;
        connection.write(second.as_bytes()).await
    }

    fn response_received(
        &self,
        id: &str,
        connection: Connection,
        request: &ClientRequest,
        response: &Message,
    ) -> Exchange {
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
            Exchange::Closed
        } else {
            Exchange::Reusable(connection)
        }
    }

    /// The connection ended within a large response, which the client can tell. Only a backend or a
    /// network that broke it off excuses that.
    fn response_ended_early(&self, id: &str, network_failed: bool, generation: u64) {
        let mut checker = self.cluster.checker();
        if self.node.was_killed(generation) {
            checker.request_unread();
        } else if network_failed || checker.backend_restarted(id) {
            checker.response_interrupted();
        } else {
            checker.request_lost(id, "its response ended early");
        }
    }

    /// The connection ended before the response: a request that was not read is sent again
    /// elsewhere, any other is lost.
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
            checker.request_unread();
        } else if checker.was_forwarded(id) {
            checker.request_lost(id, "forwarded, and its connection ended without a response");
        } else if unread {
            checker.request_unread();
        } else {
            checker.request_lost(id, "read, and its connection closed without a response");
        }
    }
}

/// Whether a connection that the peer has closed is reset as well: the peer left something unread.
async fn reset_follows(connection: &Connection) -> bool {
    let failed = connection.socket.ready(Interest::ERROR);
    matches!(timeout(RESET_FOLLOWS_WITHIN, failed).await, Ok(Ok(ready)) if ready.is_error())
}
