//! A semaphore whose capacity can change while permits are held.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Counts permits against a capacity that may grow and shrink.
///
/// When it shrinks below the number of permits in use, permits that are returned are withdrawn
/// until their number fits.
pub struct ResizableSemaphore {
    semaphore: Arc<Semaphore>,
    capacity: Cell<usize>,
    /// Permits in use beyond the capacity, to be withdrawn as they are returned.
    excess: Cell<usize>,
}

impl ResizableSemaphore {
    /// Creates a semaphore with this many permits.
    pub fn new(capacity: usize) -> Self {
        ResizableSemaphore {
            semaphore: Arc::new(Semaphore::new(capacity)),
            capacity: Cell::new(capacity),
            excess: Cell::new(0),
        }
    }

    /// The number of permits that may be in use.
    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// The number of permits that can be acquired at once.
    pub fn available(&self) -> usize {
        self.withdraw_excess();
        self.semaphore.available_permits()
    }

    /// The number of permits in use.
    pub fn in_use(&self) -> usize {
        let issued = self.capacity.get() + self.excess.get();
        issued.saturating_sub(self.semaphore.available_permits())
    }

    /// Whether more permits are in use than the capacity allows.
    pub fn is_over_capacity(&self) -> bool {
        self.withdraw_excess();
        self.excess.get() > 0
    }

    /// Changes the capacity.
    pub fn resize(&self, capacity: usize) {
        let previous = self.capacity.replace(capacity);
        let growth = capacity.saturating_sub(previous);
        let shrinkage = previous.saturating_sub(capacity);
        // Growth first legitimates permits that are in use already.
        let legitimated = self.excess.get().min(growth);
        self.excess.set(self.excess.get() - legitimated + shrinkage);
        self.semaphore.add_permits(growth - legitimated);
        self.withdraw_excess();
    }

    fn withdraw_excess(&self) {
        let withdrawn = self.semaphore.forget_permits(self.excess.get());
        self.excess.set(self.excess.get() - withdrawn);
    }

    /// Acquires a permit if one is available at once.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.withdraw_excess();
        self.semaphore.clone().try_acquire_owned().ok()
    }

    /// Acquires a permit, waiting for one to be returned if need be.
    ///
    /// # Cancellation
    ///
    /// Cancel safe: a cancelled call holds no permit. It loses its place in the queue.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        self.semaphore
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed")
    }
}

#[cfg(test)]
#[path = "resizable_semaphore_tests.rs"]
mod tests;
