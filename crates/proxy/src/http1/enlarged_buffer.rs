//! The memory by which the read buffer of a connection grows for large messages.

use crate::http1::limits::ENLARGED_BUFFER_BYTES;
use crate::memory_budget::{MemoryBudget, Purpose, Reservation};
use std::cell::OnceCell;
use std::rc::Rc;

/// Reserves the memory of an enlarged read buffer once, for as long as its connection lasts.
pub struct EnlargedBuffer {
    budget: Rc<MemoryBudget>,
    reservation: OnceCell<Reservation>,
}

impl EnlargedBuffer {
    /// Creates the state of a connection whose buffer has its usual size.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        EnlargedBuffer {
            budget,
            reservation: OnceCell::new(),
        }
    }

    /// Reserves the memory, unless that was done before. Returns whether it is reserved. Large buffers
    /// only save time, so that they leave the last part of the budget to others.
    pub fn try_reserve(&self) -> bool {
        if self.reservation.get().is_none() {
            let reservation = self
                .budget
                .try_reserve(ENLARGED_BUFFER_BYTES, Purpose::NewWork);
            let Some(reservation) = reservation else {
                return false;
            };
            let _ = self.reservation.set(reservation);
        }
        true
    }
}
