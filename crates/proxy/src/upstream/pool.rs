//! The connections to all backends: opens them, keeps idle ones for reuse, and bounds their number.

use super::backend::Backend;
use super::connection::Connection;
use crate::metrics::Metrics;
use crate::resizable_semaphore::ResizableSemaphore;
use crate::send_invariants::Invariant;
use crate::transient_errors;
use balancer::{AttemptOutcome, BackendId};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout, Instant};

/// Time that a connection stays unused after a response. Surplus bytes that were still on their way
/// would otherwise be read as the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// Pauses before connecting again where the node itself lacks a descriptor, a port or a buffer, in
/// milliseconds.
const SHORTAGE_PAUSES_MS: [u64; 6] = [1, 2, 4, 8, 16, 32];
/// Least interval between two searches for expired idle connections.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Limits on the connections to backends.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Connections to all backends together.
    pub max_connections: usize,
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// Time after which a backend closes an idle connection.
    pub idle_timeout: Duration,
}

/// Why there is no connection to a backend.
#[derive(Debug, thiserror::Error)]
pub enum AcquireError {
    /// The limit is reached, and no idle connection could be closed.
    #[error("all connections to backends are in use")]
    PoolExhausted,
    /// The node lacks descriptors, ports or memory.
    #[error("connecting to {0} failed for lack of local resources: {1}")]
    LocalShortage(SocketAddr, io::Error),
    /// The backend moved or restarted in the meantime.
    #[error("the backend at {0} was replaced while connecting")]
    BackendReplaced(SocketAddr),
    /// The backend cannot be reached.
    #[error("connecting to {0} failed: {1}")]
    ConnectFailed(SocketAddr, io::Error),
    /// The backend did not accept in time.
    #[error("connecting to {0} took longer than {1:?}")]
    ConnectTimeout(SocketAddr, Duration),
    /// The connection ended at once.
    #[error("the HTTP handshake with {0} failed: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

impl AcquireError {
    /// The outcome of an attempt that got no connection. The node's own shortages say nothing of the
    /// backend.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AcquireError::PoolExhausted
            | AcquireError::LocalShortage(..)
            | AcquireError::BackendReplaced(_) => AttemptOutcome::NotSent,
            AcquireError::ConnectFailed(..)
            | AcquireError::ConnectTimeout(..)
            | AcquireError::Handshake(..) => AttemptOutcome::ConnectFailed,
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Owner of the idle connections. Those in use belong to their exchange until they are released.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// Idle connections are closed well before the backend closes them, since a request that crosses
    /// the close may be lost.
    max_idle: Duration,
    permits: ResizableSemaphore,
    /// The most recently used connection is last.
    idle: RefCell<FxHashMap<BackendId, Vec<IdleConnection>>>,
    metrics: Rc<Metrics>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits, metrics: Rc<Metrics>) -> Self {
        ConnectionPool {
            connect_timeout: limits.connect_timeout,
            max_idle: limits.idle_timeout * 3 / 4,
            permits: ResizableSemaphore::new(limits.max_connections),
            idle: RefCell::default(),
            metrics,
        }
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.permits.in_use()
    }

    /// Changes the limit on connections. Idle ones beyond it are closed at once, others when they
    /// end.
    pub fn resize(&self, max_connections: usize) {
        let excess = self.permits.in_use().saturating_sub(max_connections);
        self.permits.resize(max_connections);
        for _ in 0..excess {
            self.close_longest_idle();
        }
    }

    /// Returns the most recently used idle connection that has been quiet since, or a new one.
    ///
    /// # Errors
    ///
    /// Returns an [`AcquireError`] if there is neither.
    pub async fn acquire(&self, backend: &Backend) -> Result<Connection, AcquireError> {
        while let Some(connection) = self.take_idle(backend.id()) {
            if connection.is_reusable() {
                return Ok(connection);
            }
        }
        self.connect(backend).await
    }

    /// Takes back a connection after its response was read. It is closed unless it can be reused.
    pub async fn release(&self, backend: &Backend, mut connection: Connection) {
        let is_reusable = connection.ready().await
            && connection.is_reusable()
            && connection.generation() == backend.generation()
            && backend.accepts_requests();
        if !is_reusable {
            return;
        }
        let idle_connection = IdleConnection {
            connection,
            idle_since: Instant::now(),
        };
        self.idle
            .borrow_mut()
            .entry(backend.id())
            .or_default()
            .push(idle_connection);
    }

    /// Closes the idle connections to a backend, and those in use once they are released.
    pub fn abandon_connections(&self, backend: &Backend) {
        backend.start_generation();
        self.idle.borrow_mut().remove(&backend.id());
    }

    /// Closes connections that have been idle for too long, until it is cancelled.
    pub async fn close_expired(&self) {
        let mut interval = tokio::time::interval((self.max_idle / 8).max(MIN_EXPIRY_INTERVAL));
        loop {
            interval.tick().await;
            for idle in self.idle.borrow_mut().values_mut() {
                idle.retain(|idle| idle.idle_since.elapsed() < self.max_idle);
            }
        }
    }

    fn take_idle(&self, backend: BackendId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&backend)?;
        let usable_age = REUSE_DELAY..self.max_idle;
        let position = connections
            .iter()
            .rposition(|idle| usable_age.contains(&idle.idle_since.elapsed()))?;
        Some(connections.remove(position).connection)
    }

    async fn connect(&self, backend: &Backend) -> Result<Connection, AcquireError> {
        let permit = self
            .acquire_permit()
            .await
            .ok_or(AcquireError::PoolExhausted)?;
        let generation = backend.generation();
        let address = backend.address();
        self.metrics.count(|c| c.backend_connects += 1);
        let stream = match timeout(self.connect_timeout, connect_with_retries(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if transient_errors::is_resource_shortage(&error) => {
                return Err(AcquireError::LocalShortage(address, error))
            }
            Ok(Err(error)) => return Err(AcquireError::ConnectFailed(address, error)),
            Err(_) => return Err(AcquireError::ConnectTimeout(address, self.connect_timeout)),
        };
        // Whatever listens at the old address now is another process.
        if generation != backend.generation() {
            self.metrics.invariants.prevented(Invariant::Drain);
            return Err(AcquireError::BackendReplaced(address));
        }
        // Without this option the connection works all the same, only slower.
        let _ = stream.set_nodelay(true);
        Connection::open(stream, permit, generation)
            .await
            .map_err(|error| AcquireError::Handshake(address, error))
    }

    /// A permit for one more connection; closes the longest idle one if need be.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.permits.try_acquire() {
            return Some(permit);
        }
        self.close_longest_idle();
        // The closed connection's driver is dropped, and its permit with it, when the runtime polls
        // it next.
        tokio::task::yield_now().await;
        self.permits.try_acquire()
    }

    fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let longest_idle = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        if let Some(connections) = longest_idle {
            connections.remove(0);
        }
    }
}

/// Connects, with retries where the node itself lacks a resource.
async fn connect_with_retries(address: SocketAddr) -> io::Result<TcpStream> {
    for pause in SHORTAGE_PAUSES_MS.map(Duration::from_millis) {
        match TcpStream::connect(address).await {
            Err(error) if transient_errors::is_resource_shortage(&error) => {
                tokio::time::sleep(pause).await;
            }
            result => return result,
        }
    }
    TcpStream::connect(address).await
}
