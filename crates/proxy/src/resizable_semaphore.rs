//! Places for connections, of which the number may change while they are taken.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// See the module's own words.
pub struct ResizableSemaphore {
    free: Arc<Semaphore>,
    most: Cell<usize>,
    /// Places taken beyond `most`: they go as they come free.
    owed: Cell<usize>,
}

impl ResizableSemaphore {
    /// So many.
    pub fn new(most: usize) -> Self {
        ResizableSemaphore {
            free: Arc::new(Semaphore::new(most)),
            most: Cell::new(most),
            owed: Cell::new(0),
        }
    }

    /// How many there are.
    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// How many can be had.
    pub fn free(&self) -> usize {
        self.settle();
        self.free.available_permits()
    }

    /// How many are taken.
    pub fn taken(&self) -> usize {
        (self.most.get() + self.owed.get()).saturating_sub(self.free.available_permits())
    }

    /// Whether more are taken than there are.
    pub fn short(&self) -> bool {
        self.settle();
        self.owed.get() > 0
    }

    /// From now on there are so many.
    pub fn resize(&self, most: usize) {
        let before = self.most.replace(most);
        let kept = self.owed.get().min(most.saturating_sub(before));
        self.owed
            .set(self.owed.get() - kept + before.saturating_sub(most));
        self.free.add_permits(most.saturating_sub(before) - kept);
        self.settle();
    }

    fn settle(&self) {
        self.owed
            .set(self.owed.get() - self.free.forget_permits(self.owed.get()));
    }

    /// A place, if one can be had at once.
    pub fn take(&self) -> Option<OwnedSemaphorePermit> {
        self.settle();
        self.free.clone().try_acquire_owned().ok()
    }

    /// A place, once one comes free.
    pub async fn wait(&self) -> OwnedSemaphorePermit {
        self.free
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed")
    }
}

#[cfg(test)]
#[path = "resizable_semaphore_tests.rs"]
mod tests;
