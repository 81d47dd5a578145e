//! Datagrams in flight, in the order in which they are due.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Datagrams that one thread may have in flight: a second of what all gateways of a full run send while they all start.
/// More are dropped.
const CAPACITY: usize = 1 << 18;

/// A datagram in flight.
pub struct InFlightDatagram {
    /// When it is due, since its thread started.
    pub due: Duration,
    /// Distinguishes datagrams that are due at the same time; the earlier one has the lower number.
    sequence: u64,
    /// The link of the sender.
    pub from: usize,
    /// The link of the receiver.
    pub to: usize,
    /// The payload.
    pub bytes: Box<[u8]>,
}

impl Ord for InFlightDatagram {
    /// The datagram that is due first is the greatest, so that a `BinaryHeap` gives it first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

impl PartialOrd for InFlightDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for InFlightDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for InFlightDatagram {}

/// A queue of datagrams by when they are due.
#[derive(Default)]
pub struct InFlightQueue {
    heap: BinaryHeap<InFlightDatagram>,
    next_sequence: u64,
}

impl InFlightQueue {
    /// Whether there is no room for another datagram.
    pub fn is_full(&self) -> bool {
        self.heap.len() >= CAPACITY
    }

    /// Adds a datagram.
    pub fn push(&mut self, due: Duration, from: usize, to: usize, bytes: Box<[u8]>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(InFlightDatagram { due, sequence, from, to, bytes });
    }

    /// When the next datagram is due, if there is one.
    pub fn next_due(&self) -> Option<Duration> {
        self.heap.peek().map(|datagram| datagram.due)
    }

    /// Removes the next datagram that is due by now.
    pub fn pop_due(&mut self, now: Duration) -> Option<InFlightDatagram> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop()
    }
}

#[cfg(test)]
mod tests;
