//! The bytes that a router holds in all its buffers together, against the memory that it is granted. Free of I/O: who
//! holds bytes says how many, and what is not let in for want of room is decided where it comes in.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the memory that buffers may take; the rest is for the decisions' tables and what the system counts.
const PART: f64 = 0.5;

pub struct Room {
    most: usize,
    held: Cell<usize>,
}

impl Room {
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Self { most: (memory as f64 * PART) as usize, held: Cell::new(0) })
    }

    /// Whether nothing more should be let in.
    pub fn full(&self) -> bool {
        self.held.get() >= self.most
    }

    /// Bytes that count for as long as this is there.
    pub fn holds(self: &Rc<Self>, bytes: usize) -> Holds {
        let mut holds = Holds { room: self.clone(), bytes: 0 };
        holds.now(bytes);
        holds
    }
}

pub struct Holds {
    room: Rc<Room>,
    bytes: usize,
}

impl Holds {
    /// It holds so many by now.
    pub fn now(&mut self, bytes: usize) {
        let held = self.room.held.get() - self.bytes + bytes;
        self.room.held.set(held);
        self.bytes = bytes;
    }
}

impl Drop for Holds {
    fn drop(&mut self) {
        self.now(0);
    }
}

#[cfg(test)]
mod tests;
