//! The bytes that a router holds in all its buffers together, against the memory that it is granted. Free of I/O: who
//! holds bytes says how many, and what is not let in for want of room is decided where it comes in.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the memory that buffers may take; the rest is for the decisions' tables and what the system counts.
const BUFFER_FRACTION: f64 = 0.5;

pub struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Self { limit: (memory as f64 * BUFFER_FRACTION) as usize, reserved: Cell::new(0) })
    }

    /// Whether nothing more should be let in.
    pub fn is_full(&self) -> bool {
        self.reserved.get() >= self.limit
    }

    /// Bytes that count for as long as this is there.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation { memory_budget: self.clone(), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }
}

pub struct MemoryReservation {
    memory_budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// It holds so many by now.
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
