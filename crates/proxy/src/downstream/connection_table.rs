//! The open client connections, and the slots that bound their number.

use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_state::ConnectionState;
use crate::downstream::eviction::evict;
use crate::metrics::Metrics;
use crate::resizable_semaphore::ResizableSemaphore;
use crate::shutdown::ShutdownPhase;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::timeout;

/// How often eviction is repeated while no slot is free and no connection can be closed yet.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// One eviction frees up to one in this many slots, since more connections are likely to wait.
const EVICTION_DIVISOR: usize = 8;

/// Slots are scarce when fewer than one in this many are free.
const SCARCITY_DIVISOR: usize = 4;

/// The right to hold one client connection.
pub struct ConnectionSlot {
    _permit: OwnedSemaphorePermit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionId(u64);

/// All open client connections.
pub struct ConnectionTable {
    slots: ResizableSemaphore,
    connections: RefCell<FxHashMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    connection_closed: Notify,
    metrics: Rc<Metrics>,
}

impl ConnectionTable {
    /// An empty table for this many connections.
    pub fn new(capacity: usize, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(ConnectionTable {
            slots: ResizableSemaphore::new(capacity),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            connection_closed: Notify::new(),
            metrics,
        })
    }

    /// Changes the number of slots, and evicts connections if more are open.
    pub fn resize(&self, capacity: usize) {
        self.slots.resize(capacity);
        if self.slots.is_over_capacity() {
            self.evict();
        }
    }

    /// Waits for a slot. If none is free, connections without a request are evicted, so that they
    /// don't keep others out.
    pub async fn acquire_slot(&self) -> ConnectionSlot {
        loop {
            if self.slots.available() == 0 {
                self.evict();
            }
            if self.slots.is_over_capacity() {
                tokio::time::sleep(EVICTION_RETRY_INTERVAL).await;
            } else if let Ok(permit) = timeout(EVICTION_RETRY_INTERVAL, self.slots.acquire()).await
            {
                return ConnectionSlot { _permit: permit };
            }
        }
    }

    /// Whether so few slots are free that clients should not keep their connections.
    pub fn is_scarce(&self) -> bool {
        self.slots.available() < self.slots.capacity() / SCARCITY_DIVISOR
    }

    /// Adds a connection; dropping the returned value removes it and returns its slot.
    pub fn insert(
        self: &Rc<Self>,
        connection: ClientConnection,
        slot: ConnectionSlot,
    ) -> OpenConnection {
        let connection = Rc::new(connection);
        let id = ConnectionId(self.next_id.replace(self.next_id.get() + 1));
        self.connections.borrow_mut().insert(id, connection.clone());
        OpenConnection {
            table: self.clone(),
            id,
            connection,
            slot: Some(slot),
        }
    }

    /// Ends whatever has exceeded its timeout, on all connections.
    pub fn close_expired(&self, phase: ShutdownPhase) {
        for connection in self.connections.borrow().values() {
            connection.close_expired(phase, &self.metrics);
        }
    }

    /// Whether a request is being read or is in flight.
    pub fn has_requests_in_progress(&self) -> bool {
        self.connections.borrow().values().any(|connection| {
            let state = connection.state();
            matches!(state, ConnectionState::ReadingHead { .. }) || state.is_request_in_flight()
        })
    }

    /// Waits until no connection is open.
    pub async fn wait_until_empty(&self) {
        loop {
            let closed = self.connection_closed.notified();
            if self.connections.borrow().is_empty() {
                return;
            }
            closed.await;
        }
    }

    fn evict(&self) {
        let limit = self.slots.capacity().div_ceil(EVICTION_DIVISOR);
        evict(self.connections.borrow().values(), limit, &self.metrics);
    }
}

/// A connection in the table, with the slot that it holds.
pub struct OpenConnection {
    table: Rc<ConnectionTable>,
    id: ConnectionId,
    connection: Rc<ClientConnection>,
    /// `None` only while the value is dropped.
    slot: Option<ConnectionSlot>,
}

impl OpenConnection {
    /// The connection itself.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    /// The table that holds it.
    pub fn table(&self) -> &ConnectionTable {
        &self.table
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
        drop(self.slot.take());
        self.table.connection_closed.notify_one();
    }
}
