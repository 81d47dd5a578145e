//! Limits the total size of all buffers to a fraction of the memory granted to the router. Performs no I/O. The owner
//! of a buffer reserves its bytes; whether input is refused for lack of memory is decided where the input is
//! received.

use milletpath_policy::BufferMemory;
use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the memory for buffers. The rest is for the dispatcher's tables and for memory accounted by the
/// kernel.
const BUFFER_FRACTION: f64 = 0.5;

/// The memory budget shared by all buffers. A reservation never fails; callers check [`is_full`](Self::is_full)
/// before they accept more data.
pub(crate) struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates the budget of a process that is granted `memory_bytes` bytes.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        Rc::new(Self { limit: (memory_bytes as f64 * BUFFER_FRACTION) as usize, reserved: Cell::new(0) })
    }

    /// Whether no more data should be accepted.
    pub fn is_full(&self) -> bool {
        self.reserved.get() >= self.limit
    }

    /// What there is and what is free of it.
    pub fn available(&self) -> BufferMemory {
        BufferMemory { limit: self.limit, free: self.limit.saturating_sub(self.reserved.get()) }
    }

    /// Reserves bytes for the lifetime of the reservation.
    #[must_use = "the bytes are released when the reservation is dropped"]
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation { memory_budget: self.clone(), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }
}

/// Reserved bytes, released on drop.
pub(crate) struct MemoryReservation {
    memory_budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes.
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
