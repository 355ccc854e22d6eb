//! The connection pool: opens connections to backends, keeps idle ones for reuse, and limits the
//! total number of connections.

use super::backend::Backend;
use super::connection::Connection;
use crate::memory_budget::{MemoryBudget, Purpose, Reservation};
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

/// Minimum time that a connection stays idle before it is reused. Surplus bytes that are still in
/// transit after a response would otherwise be read as the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// Delays in milliseconds before connecting is retried because the node itself lacks a descriptor,
/// a port or a buffer.
const SHORTAGE_RETRY_DELAYS_MS: [u64; 6] = [1, 2, 4, 8, 16, 32];
/// Minimum interval between two searches for expired idle connections.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Memory in bytes that one connection holds, in use or idle: its state and its buffers.
pub const CONNECTION_BYTES: usize = 36 << 10;

/// Limits on the connections to backends.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections to all backends together, including those being opened.
    pub max_connections: usize,
    /// Maximum time to establish a connection, including retries after local resource shortages.
    pub connect_timeout: Duration,
    /// Time after which backends close an idle connection.
    pub idle_timeout: Duration,
}

/// How many connections and how much memory are in use.
#[derive(Clone, Copy, Debug)]
pub struct PoolUsage {
    /// Number of connections to backends, open or being opened.
    pub open_connections: usize,
    /// Number of bytes reserved of the memory budget.
    pub reserved_bytes: usize,
    /// Number of bytes that the process holds besides, as last measured.
    pub unreserved_bytes: usize,
}

/// Why no connection to a backend could be acquired.
#[derive(Debug, thiserror::Error)]
pub enum AcquireError {
    /// The limit on connections is reached, and no idle connection could be closed.
    #[error("all connections to backends are in use")]
    PoolExhausted,
    /// The node itself lacks descriptors, ports or memory.
    #[error("connecting to {0} failed for lack of local resources: {1}")]
    LocalShortage(SocketAddr, io::Error),
    /// The backend's connections were invalidated while connecting, for example because it has
    /// moved or restarted.
    #[error("the backend at {0} was replaced or drained while connecting")]
    BackendReplaced(SocketAddr),
    /// The backend cannot be reached.
    #[error("connecting to {0} failed: {1}")]
    ConnectFailed(SocketAddr, io::Error),
    /// The connection was not established within the connect timeout.
    #[error("connecting to {0} took longer than {1:?}")]
    ConnectTimeout(SocketAddr, Duration),
    /// Hyper could not set up the connection.
    #[error("the HTTP handshake with {0} failed: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

impl AcquireError {
    /// Returns the outcome of an attempt that got no connection. Shortages of the node itself do
    /// not count against the backend: their outcome is [`AttemptOutcome::NotSent`].
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
    _memory: Reservation,
}

/// Owner of the idle connections. A connection in use belongs to its exchange until it is released.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// How long a connection may stay idle. It is well below the time after which backends close
    /// idle connections, since a request that is sent while the backend closes may be lost.
    max_idle: Duration,
    permits: ResizableSemaphore,
    /// From which each idle connection reserves [`CONNECTION_BYTES`]; requests reserve those in use.
    memory: Rc<MemoryBudget>,
    /// Idle connections by backend, the most recently used one last.
    idle: RefCell<FxHashMap<BackendId, Vec<IdleConnection>>>,
    metrics: Rc<Metrics>,
}

impl ConnectionPool {
    /// Creates a pool without connections. The memory of its idle connections can be reclaimed.
    pub fn new(limits: PoolLimits, memory: Rc<MemoryBudget>, metrics: Rc<Metrics>) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            connect_timeout: limits.connect_timeout,
            max_idle: limits.idle_timeout * 3 / 4,
            permits: ResizableSemaphore::new(limits.max_connections),
            memory,
            idle: RefCell::default(),
            metrics,
        });
        let reclaiming_pool = Rc::downgrade(&pool);
        pool.memory.set_reclaim(move || {
            let pool = reclaiming_pool.upgrade();
            pool.is_some_and(|pool| pool.close_longest_idle())
        });
        pool
    }

    /// Returns the budget from which connections and responses reserve their memory.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Returns how much of the limits is in use.
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            open_connections: self.permits.in_use(),
            reserved_bytes: self.memory.reserved(),
            unreserved_bytes: self.memory.unreserved(),
        }
    }

    /// Changes the limit on connections. Idle connections beyond the new limit are closed
    /// immediately. Those in use are not closed; no connection is opened until their number
    /// is below the limit.
    pub fn resize(&self, max_connections: usize) {
        let excess = self.permits.in_use().saturating_sub(max_connections);
        self.permits.resize(max_connections);
        for _ in 0..excess {
            self.close_longest_idle();
        }
    }

    /// Returns the most recently used idle connection to a backend that is still reusable, or opens
    /// a new one.
    ///
    /// # Errors
    ///
    /// Returns an [`AcquireError`] if none is reusable and none can be opened.
    pub async fn acquire(&self, backend: &Backend) -> Result<Connection, AcquireError> {
        while let Some(connection) = self.take_idle(backend.id()) {
            if connection.is_reusable() {
                return Ok(connection);
            }
        }
        self.connect(backend).await
    }

    /// Takes back a connection after its response was read, and closes it unless it can be reused and
    /// there is memory for it.
    pub async fn release(&self, backend: &Backend, mut connection: Connection) {
        let is_reusable = connection.ready().await
            && connection.is_reusable()
            && connection.generation() == backend.generation()
            && backend.accepts_requests();
        if !is_reusable {
            return;
        }
        let Some(memory) = self
            .memory
            .try_reserve(CONNECTION_BYTES, Purpose::AcceptedWork)
        else {
            return;
        };
        let idle_connection = IdleConnection {
            connection,
            idle_since: Instant::now(),
            _memory: memory,
        };
        self.idle
            .borrow_mut()
            .entry(backend.id())
            .or_default()
            .push(idle_connection);
    }

    /// Closes the idle connections to a backend immediately, and those in use when they are
    /// released.
    pub fn invalidate_connections(&self, backend: &Backend) {
        backend.advance_generation();
        self.idle.borrow_mut().remove(&backend.id());
    }

    /// Closes connections that have been idle for too long. Runs until the future is dropped.
    pub async fn close_expired(&self) {
        let mut interval = tokio::time::interval((self.max_idle / 8).max(MIN_EXPIRY_INTERVAL));
        loop {
            interval.tick().await;
            for idle in self.idle.borrow_mut().values_mut() {
                idle.retain(|idle| idle.idle_since.elapsed() < self.max_idle);
            }
        }
    }

    /// Removes and returns the most recently used idle connection to a backend that is neither too
    /// fresh nor too old to be reused.
    fn take_idle(&self, backend: BackendId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&backend)?;
        let usable_age = REUSE_DELAY..self.max_idle;
        let position = connections
            .iter()
            .rposition(|idle| usable_age.contains(&idle.idle_since.elapsed()))?;
        Some(connections.remove(position).connection)
    }

    /// Opens a connection to a backend.
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
            Ok(Err(error)) if transient_errors::is_resource_shortage_or_interrupted(&error) => {
                return Err(AcquireError::LocalShortage(address, error))
            }
            Ok(Err(error)) => return Err(AcquireError::ConnectFailed(address, error)),
            Err(_) => return Err(AcquireError::ConnectTimeout(address, self.connect_timeout)),
        };
        // The backend was drained or replaced; another process may now listen on the old address.
        if generation != backend.generation() {
            self.metrics.invariants.prevented(Invariant::Drain);
            return Err(AcquireError::BackendReplaced(address));
        }
        // Without this option the connection still works, only slower.
        let _ = stream.set_nodelay(true);
        Connection::open(stream, permit, self.memory.clone(), generation)
            .await
            .map_err(|error| AcquireError::Handshake(address, error))
    }

    /// Acquires a permit for one more connection, for which the longest idle one is closed if the
    /// limit is reached. Returns `None` if that does not free a permit.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.permits.try_acquire() {
            return Some(permit);
        }
        self.close_longest_idle();
        // The driver of the closed connection, which holds the permit, is only dropped when the
        // runtime next polls it.
        tokio::task::yield_now().await;
        self.permits.try_acquire()
    }

    /// Closes the connection that has been idle longest. Returns whether any was idle.
    fn close_longest_idle(&self) -> bool {
        let Ok(mut idle) = self.idle.try_borrow_mut() else {
            return false;
        };
        let longest_idle = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        let Some(connections) = longest_idle else {
            return false;
        };
        connections.remove(0);
        true
    }
}

/// Connects to an address, and retries as long as the node itself lacks a resource and
/// [`SHORTAGE_RETRY_DELAYS_MS`] has delays left.
async fn connect_with_retries(address: SocketAddr) -> io::Result<TcpStream> {
    for delay in SHORTAGE_RETRY_DELAYS_MS.map(Duration::from_millis) {
        match TcpStream::connect(address).await {
            Err(error) if transient_errors::is_resource_shortage_or_interrupted(&error) => {
                tokio::time::sleep(delay).await;
            }
            result => return result,
        }
    }
    TcpStream::connect(address).await
}
