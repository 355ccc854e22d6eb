//! The memory that connections and messages may hold together, and what each of them has reserved.
//!
//! Whatever holds memory in proportion to the traffic reserves it before it is used: connections to
//! clients and to backends, and the bodies of requests and of responses. What the process holds
//! besides is subtracted from the budget's capacity.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// Interval at which a reservation that waits is tried again, in case memory can be reclaimed.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which [`MemoryBudget::reserve`] sets itself a new deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// The part of the budget in quarters that new work may fill. The rest is for the work that was
/// accepted, so that it can always be finished.
const NEW_WORK_QUARTERS: usize = 3;

/// At least the budget divided by this may be reserved, however much is always held.
const MIN_CAPACITY_DIVISOR: usize = 4;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// For a connection or a request that is not accepted yet, which can still be refused.
    NewWork,
    /// For a request that was accepted: its connection to a backend, and its response.
    AcceptedWork,
}

/// Gives memory back that is held only for speed. Returns whether it gave any back.
type Reclaim = Box<dyn Fn() -> bool>;

/// A number of bytes, and how many of them are reserved.
pub struct MemoryBudget {
    /// Number of bytes that are held always or may be reserved.
    capacity: Cell<usize>,
    reserved: Arc<ReservedBytes>,
    /// Number of bytes that are always held, whatever the traffic.
    fixed: Cell<usize>,
    /// Number of bytes that the process holds without a reservation.
    unreserved: Cell<usize>,
    /// Called when there is no room for a reservation.
    reclaim: RefCell<Option<Reclaim>>,
}

/// The bytes reserved from a budget. Message bodies share it, which may be dropped by any thread.
#[derive(Default)]
struct ReservedBytes {
    new_work: AtomicUsize,
    accepted_work: AtomicUsize,
    /// Notified whenever memory is released.
    released: Notify,
}

impl ReservedBytes {
    fn count(&self, purpose: Purpose) -> &AtomicUsize {
        match purpose {
            Purpose::NewWork => &self.new_work,
            Purpose::AcceptedWork => &self.accepted_work,
        }
    }

    fn get(&self, purpose: Purpose) -> usize {
        self.count(purpose).load(Ordering::Relaxed)
    }

    fn total(&self) -> usize {
        self.get(Purpose::NewWork) + self.get(Purpose::AcceptedWork)
    }

    fn add(&self, bytes: usize, purpose: Purpose) {
        self.count(purpose).fetch_add(bytes, Ordering::Relaxed);
    }

    fn subtract(&self, bytes: usize, purpose: Purpose) {
        if bytes > 0 {
            self.count(purpose).fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            capacity: Cell::new(capacity),
            reserved: Arc::default(),
            fixed: Cell::new(0),
            unreserved: Cell::new(0),
            reclaim: RefCell::default(),
        })
    }

    /// Changes the capacity, and reclaims memory if more is reserved. Reservations stay valid.
    pub fn resize(&self, capacity: usize) {
        self.capacity.set(capacity);
        while self.reserved.total() > self.capacity() && self.reclaim() {}
        self.reserved.released.notify_waiters();
    }

    /// Sets how many bytes the process holds without a reservation, which leave less for new work.
    pub fn set_unreserved(&self, bytes: usize) {
        self.unreserved.set(bytes);
    }

    /// Sets what gives memory back when there is no room for a reservation. It must release a
    /// reservation before it returns `true`.
    pub fn set_reclaim(&self, reclaim: impl Fn() -> bool + 'static) {
        *self.reclaim.borrow_mut() = Some(Box::new(reclaim));
    }

    /// Sets how many bytes are always held, whatever the traffic, and cannot be reserved.
    pub fn set_fixed(&self, bytes: usize) {
        self.fixed.set(bytes);
    }

    /// Returns how many bytes are always held, whatever the traffic.
    pub fn fixed(&self) -> usize {
        self.fixed.get()
    }

    /// Returns the number of bytes that may be reserved: what is not always held, and a quarter in any
    /// case, so that a process with many backends serves some requests.
    pub fn capacity(&self) -> usize {
        let capacity = self.capacity.get();
        let smallest = capacity / MIN_CAPACITY_DIVISOR;
        capacity.saturating_sub(self.fixed.get()).max(smallest)
    }

    /// Returns the number of bytes that the process holds without a reservation, as last set.
    pub fn unreserved(&self) -> usize {
        self.unreserved.get()
    }

    /// Returns the number of bytes that are reserved. They may exceed the capacity after it was reduced.
    pub fn reserved(&self) -> usize {
        self.reserved.total()
    }

    /// Reserves memory, or returns `None` if there is not enough.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize, purpose: Purpose) -> Option<Reservation> {
        self.take(bytes, purpose)
            .then(|| self.reservation(bytes, purpose))
    }

    /// Reserves memory, and waits for it until `deadline` if necessary. Returns `None` if there is not
    /// enough by then.
    ///
    /// # Cancellation
    ///
    /// Cancel safe: a cancelled call reserves nothing.
    pub async fn reserve_until(
        self: &Rc<Self>,
        bytes: usize,
        purpose: Purpose,
        deadline: Instant,
    ) -> Option<Reservation> {
        loop {
            let released = self.reserved.released.notified();
            if let Some(reservation) = self.try_reserve(bytes, purpose) {
                return Some(reservation);
            }
            if Instant::now() >= deadline {
                return None;
            }
            let retry_at = deadline.min(Instant::now() + RETRY_INTERVAL);
            let _ = timeout_at(retry_at, released).await;
        }
    }

    /// Reserves memory, and waits for it for as long as necessary.
    ///
    /// # Cancellation
    ///
    /// Cancel safe: a cancelled call reserves nothing.
    pub async fn reserve(self: &Rc<Self>, bytes: usize, purpose: Purpose) -> Reservation {
        loop {
            let deadline = Instant::now() + LONGEST_WAIT;
            if let Some(reservation) = self.reserve_until(bytes, purpose, deadline).await {
                return reservation;
            }
        }
    }

    fn reservation(self: &Rc<Self>, bytes: usize, purpose: Purpose) -> Reservation {
        Reservation {
            budget: self.clone(),
            purpose,
            bytes,
        }
    }

    /// Takes bytes from the budget, after reclaiming as much as necessary. Returns whether there were
    /// enough.
    fn take(&self, bytes: usize, purpose: Purpose) -> bool {
        while !self.has_room(bytes, purpose) {
            if !self.reclaim() {
                return false;
            }
        }
        self.reserved.add(bytes, purpose);
        true
    }

    fn has_room(&self, bytes: usize, purpose: Purpose) -> bool {
        let capacity = self.capacity();
        let needed = self.reserved.total() + bytes;
        match purpose {
            Purpose::NewWork => {
                let usable = capacity.saturating_sub(self.unreserved.get());
                needed <= usable / 4 * NEW_WORK_QUARTERS
            }
            // After the capacity was reduced, new work may hold more than its part.
            Purpose::AcceptedWork => {
                let own_part = capacity / 4 * (4 - NEW_WORK_QUARTERS);
                needed <= capacity || self.reserved.get(purpose) + bytes <= own_part
            }
        }
    }

    fn reclaim(&self) -> bool {
        let reclaim = self.reclaim.borrow();
        reclaim.as_ref().is_some_and(|reclaim| reclaim())
    }
}

/// Memory reserved from a [`MemoryBudget`]; dropping it gives the memory back.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Reserves more for the same purpose. Returns `false`, and changes nothing, if there is not enough.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_taken = self.budget.take(bytes, self.purpose);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Makes the reservation last for as long as `bytes` or a part of them is in use.
    pub fn attach_to(mut self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBuffer {
            bytes,
            reserved: self.budget.reserved.clone(),
            purpose: self.purpose,
            reservation_bytes: std::mem::take(&mut self.bytes),
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.subtract(self.bytes, self.purpose);
    }
}

/// A buffer that owns the reservation of its memory.
struct ReservedBuffer {
    bytes: Vec<u8>,
    reserved: Arc<ReservedBytes>,
    purpose: Purpose,
    reservation_bytes: usize,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReservedBuffer {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.reserved.subtract(self.reservation_bytes, self.purpose);
    }
}

#[cfg(test)]
#[path = "memory_budget_tests.rs"]
mod tests;
