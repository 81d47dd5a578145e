//! A queue of the datagrams in flight, ordered by due time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Maximum number of datagrams in flight per thread: one second of what all gateways of a full run send while they all
/// start. Further datagrams are dropped.
const CAPACITY: usize = 1 << 18;

/// A datagram in flight.
pub struct InFlightDatagram {
    /// Due time, relative to the start of the thread.
    pub due: Duration,
    /// Orders datagrams with the same due time by arrival.
    sequence: u64,
    /// Link of the sender.
    pub from: usize,
    /// Link of the receiver.
    pub to: usize,
    /// Payload.
    pub bytes: Box<[u8]>,
}

impl Ord for InFlightDatagram {
    /// Reversed, so that a `BinaryHeap` yields the datagram that is due first.
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

/// A queue of datagrams ordered by due time.
#[derive(Default)]
pub struct InFlightQueue {
    heap: BinaryHeap<InFlightDatagram>,
    next_sequence: u64,
}

impl InFlightQueue {
    /// Whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.heap.len() >= CAPACITY
    }

    /// Adds a datagram.
    pub fn push(&mut self, due: Duration, from: usize, to: usize, bytes: Box<[u8]>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(InFlightDatagram { due, sequence, from, to, bytes });
    }

    /// Due time of the next datagram, if there is one.
    pub fn next_due(&self) -> Option<Duration> {
        self.heap.peek().map(|datagram| datagram.due)
    }

    /// Removes and returns the next datagram if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<InFlightDatagram> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop()
    }
}

#[cfg(test)]
mod tests;
