//! A semaphore whose capacity can be changed while permits are in use.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A semaphore with a capacity that may grow and shrink.
///
/// If the capacity shrinks below the number of permits in use, returned permits are withdrawn until
/// no more permits are left than the capacity allows.
pub struct ResizableSemaphore {
    semaphore: Arc<Semaphore>,
    /// Number of permits that may be in use.
    capacity: Cell<usize>,
    /// Number of permits beyond the capacity, which are withdrawn as they are returned.
    excess: Cell<usize>,
}

impl ResizableSemaphore {
    /// Creates a semaphore with `capacity` permits.
    pub fn new(capacity: usize) -> Self {
        ResizableSemaphore {
            semaphore: Arc::new(Semaphore::new(capacity)),
            capacity: Cell::new(capacity),
            excess: Cell::new(0),
        }
    }

    /// Returns the number of permits that may be in use.
    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// Returns the number of permits that can be acquired without waiting.
    pub fn available(&self) -> usize {
        self.withdraw_excess();
        self.semaphore.available_permits()
    }

    /// Returns the number of permits in use, which may exceed the capacity after it was reduced.
    pub fn in_use(&self) -> usize {
        let issued = self.capacity.get() + self.excess.get();
        issued.saturating_sub(self.semaphore.available_permits())
    }

    /// Whether more permits are in use than the capacity allows.
    pub fn is_over_capacity(&self) -> bool {
        self.withdraw_excess();
        self.excess.get() > 0
    }

    /// Changes the capacity. Permits in use stay valid, even beyond a smaller capacity.
    pub fn resize(&self, capacity: usize) {
        let previous = self.capacity.replace(capacity);
        let growth = capacity.saturating_sub(previous);
        let shrinkage = previous.saturating_sub(capacity);
        // Growth is used up first by permits that are already in use beyond the old capacity.
        let already_issued = self.excess.get().min(growth);
        self.excess
            .set(self.excess.get() - already_issued + shrinkage);
        self.semaphore.add_permits(growth - already_issued);
        self.withdraw_excess();
    }

    /// Withdraws returned permits, as long as there are more than the capacity allows.
    fn withdraw_excess(&self) {
        let withdrawn = self.semaphore.forget_permits(self.excess.get());
        self.excess.set(self.excess.get() - withdrawn);
    }

    /// Acquires a permit, or returns `None` if none is available immediately.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.withdraw_excess();
        self.semaphore.clone().try_acquire_owned().ok()
    }
}

#[cfg(test)]
#[path = "resizable_semaphore_tests.rs"]
mod tests;
