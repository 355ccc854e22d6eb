//! The table of open client connections, and the slots that bound their number.

use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_state::ConnectionState;
use crate::downstream::eviction::evict;
use crate::memory_budget::{MemoryBudget, Purpose, Reservation};
use crate::metrics::Metrics;
use crate::resizable_semaphore::ResizableSemaphore;
use crate::shutdown::PhaseProgress;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{timeout, Instant};

/// Interval at which eviction is repeated while no slot is free and no connection can be closed
/// yet.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// One eviction closes up to the capacity divided by this, rounded up. It closes more than one
/// connection because more clients are likely to be waiting for a slot.
const EVICTION_DIVISOR: usize = 8;

/// Slots are scarce when fewer are free than the capacity divided by this.
const SCARCITY_DIVISOR: usize = 4;

/// Memory in bytes that one client connection holds besides its request: its state and its buffers.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// The table takes the capacity divided by this of connections more, whose requests are refused unless
/// there is room by then.
const SURPLUS_DIVISOR: usize = 8;

/// How long a request on a surplus connection may wait for another slot even if other connections wait for
/// the surplus slot: connections that are evicted free theirs in that time.
const MIN_SURPLUS_WAIT: Duration = Duration::from_millis(100);

/// Largest number of connections beyond the capacity.
pub const MAX_SURPLUS_CONNECTIONS: usize = 16;

/// The permit to hold one client connection open; dropping it frees the slot.
pub struct ConnectionSlot {
    _permit: OwnedSemaphorePermit,
    /// `None` for a surplus connection, which is only open to be told that there is no room.
    memory: Option<Reservation>,
}

impl ConnectionSlot {
    /// Whether the slot is for a connection whose requests are refused unless there is room by then.
    pub fn is_surplus(&self) -> bool {
        self.memory.is_none()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionId(u64);

/// Holds all open client connections, and hands out the slots for them.
pub struct ConnectionTable {
    slots: ResizableSemaphore,
    /// Slots for connections that are accepted while no other slot is free, so that their clients are
    /// answered.
    surplus_slots: ResizableSemaphore,
    /// Whether a connection waits for a surplus slot.
    is_surplus_slot_wanted: Cell<bool>,
    /// Number of requests on surplus connections that wait for another slot.
    waiting_requests: Cell<usize>,
    /// From which each connection reserves [`CONNECTION_BYTES`].
    memory: Rc<MemoryBudget>,
    connections: RefCell<FxHashMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// Notified whenever a connection is removed.
    connection_closed: Notify,
    metrics: Rc<Metrics>,
}

impl ConnectionTable {
    /// Creates an empty table for at most `capacity` connections, which reserve `memory`.
    pub fn new(capacity: usize, memory: Rc<MemoryBudget>, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(ConnectionTable {
            slots: ResizableSemaphore::new(capacity),
            surplus_slots: ResizableSemaphore::new(surplus_connections(capacity)),
            is_surplus_slot_wanted: Cell::new(false),
            waiting_requests: Cell::new(0),
            memory,
            connections: RefCell::default(),
            next_id: Cell::new(0),
            connection_closed: Notify::new(),
            metrics,
        })
    }

    /// Changes the number of slots to `capacity`, and evicts connections if more are open.
    pub fn resize(&self, capacity: usize) {
        self.slots.resize(capacity);
        self.surplus_slots.resize(surplus_connections(capacity));
        if self.slots.is_over_capacity() {
            self.evict();
        }
    }

    /// Returns the budget from which connections reserve memory.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Waits for a free slot and for the memory of a connection, or for a surplus slot. While there is
    /// none, connections that owe no response are evicted, at each [`EVICTION_RETRY_INTERVAL`], so that
    /// they do not keep new ones out.
    pub async fn acquire_slot(&self) -> ConnectionSlot {
        loop {
            // A request that waits for a slot goes before a connection that may send none.
            if self.waiting_requests.get() == 0 {
                if let Some(slot) = self.try_acquire_slot() {
                    return slot;
                }
            }
            self.evict();
            if let Some(slot) = self.try_acquire_surplus_slot() {
                self.is_surplus_slot_wanted.set(false);
                return slot;
            }
            self.is_surplus_slot_wanted.set(true);
            let closed = self.connection_closed.notified();
            let _ = timeout(EVICTION_RETRY_INTERVAL, closed).await;
        }
    }

    fn try_acquire_surplus_slot(&self) -> Option<ConnectionSlot> {
        if self.surplus_slots.is_over_capacity() {
            return None;
        }
        Some(ConnectionSlot {
            _permit: self.surplus_slots.try_acquire()?,
            memory: None,
        })
    }

    /// Waits for a slot that is no surplus slot, for the request of a surplus connection. Returns `None`
    /// if none gets free within `time_limit`, or until another connection waits for the surplus slot.
    pub async fn slot_for_surplus_connection(
        &self,
        time_limit: Duration,
    ) -> Option<ConnectionSlot> {
        let started_at = Instant::now();
        let _waiting = CountedWait::start(&self.waiting_requests);
        loop {
            if let Some(slot) = self.try_acquire_slot() {
                return Some(slot);
            }
            self.evict();
            let waited = started_at.elapsed();
            let may_wait_longer = waited < MIN_SURPLUS_WAIT || !self.is_surplus_slot_wanted.take();
            if waited >= time_limit || !may_wait_longer {
                return None;
            }
            tokio::time::sleep(EVICTION_RETRY_INTERVAL).await;
        }
    }

    /// Returns a slot, unless none is free or there is no memory for a connection.
    fn try_acquire_slot(&self) -> Option<ConnectionSlot> {
        if self.slots.is_over_capacity() {
            return None;
        }
        let permit = self.slots.try_acquire()?;
        let memory = self
            .memory
            .try_reserve(CONNECTION_BYTES, Purpose::NewWork)?;
        Some(ConnectionSlot {
            _permit: permit,
            memory: Some(memory),
        })
    }

    /// Whether so few slots are free that clients should be asked to close their connections.
    pub fn slots_are_scarce(&self) -> bool {
        self.slots.available() < self.slots.capacity() / SCARCITY_DIVISOR
    }

    /// Adds a connection. Dropping the returned value removes it and frees its slot.
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

    /// Calls [`ClientConnection::close_expired`] on every connection; the timeouts depend on the
    /// `phase`.
    pub fn close_expired(&self, phase: PhaseProgress) {
        for connection in self.connections.borrow().values() {
            connection.close_expired(phase, &self.metrics);
        }
    }

    /// Whether any connection is reading the head of a request or owes a response, or would lose the
    /// end of its response by being closed.
    pub fn has_requests_in_progress(&self) -> bool {
        self.connections.borrow().values().any(|connection| {
            let state = connection.state();
            matches!(state, ConnectionState::ReadingHead { .. })
                || state.owes_response()
                || connection.is_delivering()
        })
    }

    /// Returns the number of connections whose socket has not taken the end of a response that is
    /// otherwise complete.
    pub fn unwritten_responses(&self) -> u64 {
        let connections = self.connections.borrow();
        let unwritten = connections
            .values()
            .filter(|connection| connection.state().is_flushing());
        unwritten.count() as u64
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

    /// Evicts connections, up to the limit that [`EVICTION_DIVISOR`] sets.
    fn evict(&self) {
        let limit = self.slots.capacity().div_ceil(EVICTION_DIVISOR);
        evict(self.connections.borrow().values(), limit, &self.metrics);
    }
}

/// Counts one wait for as long as it exists.
struct CountedWait<'c>(&'c Cell<usize>);

impl<'c> CountedWait<'c> {
    fn start(count: &'c Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountedWait(count)
    }
}

impl Drop for CountedWait<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns how many connections the table takes beyond its `capacity`.
fn surplus_connections(capacity: usize) -> usize {
    (capacity / SURPLUS_DIVISOR).min(MAX_SURPLUS_CONNECTIONS)
}

/// A connection in the table, with its slot. Dropping it removes the connection from the table.
pub struct OpenConnection {
    table: Rc<ConnectionTable>,
    id: ConnectionId,
    connection: Rc<ClientConnection>,
    /// `None` only once the value is being dropped.
    slot: Option<ConnectionSlot>,
}

impl OpenConnection {
    /// Returns the connection, which the table shares.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    /// Whether the connection was accepted while there was no room for it.
    pub fn is_surplus(&self) -> bool {
        self.slot.as_ref().is_some_and(ConnectionSlot::is_surplus)
    }

    /// Returns the table that holds the connection.
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
