//! The bytes that a router holds in all its buffers together, against the memory that it is granted. Free of I/O: the
//! holder of a buffer reserves its bytes, and what is refused for want of memory is decided where it comes in.

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the memory that buffers may take; the rest is for the dispatcher's tables and what the system counts.
const BUFFER_FRACTION: f64 = 0.5;

/// The budget that all buffers share. It is not enforced at a reservation: who takes something in asks first.
pub(crate) struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// The budget of a process that is granted so many bytes of memory.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        Rc::new(Self { limit: (memory_bytes as f64 * BUFFER_FRACTION) as usize, reserved: Cell::new(0) })
    }

    /// Whether nothing more should be taken in.
    pub fn is_full(&self) -> bool {
        self.reserved.get() >= self.limit
    }

    /// Reserves bytes for as long as the reservation lives.
    #[must_use = "the bytes are released when the reservation is dropped"]
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation { memory_budget: self.clone(), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }
}

/// Bytes of the budget; they are released when it is dropped.
pub(crate) struct MemoryReservation {
    memory_budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes how many bytes are reserved.
    pub fn resize(&mut self, bytes: usize) {
        let reserved = self.memory_budget.reserved.get() - self.bytes + bytes;
        self.memory_budget.reserved.set(reserved);
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
