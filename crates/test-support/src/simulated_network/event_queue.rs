//! The event queue of the simulation, in the order of simulated time.

use milletpath_membership::datagram::Datagram;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event of the simulation at one node.
pub enum SimulationEvent {
    /// Calls `tick` on the process with this instance id.
    Tick { node: usize, instance_id: u64 },
    /// Delivers a datagram.
    Deliver { node: usize, datagram: Box<Datagram> },
}

impl SimulationEvent {
    /// Returns the index of the node.
    pub fn node(&self) -> usize {
        match self {
            Self::Tick { node, .. } | Self::Deliver { node, .. } => *node,
        }
    }
}

/// An event and its time. The order is reversed so that a max-heap yields the earliest event first.
struct QueuedEvent {
    at: f64,
    /// Orders events of the same time: first in, first out.
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// A queue of events ordered by time.
#[derive(Default)]
pub struct EventQueue {
    queue: BinaryHeap<QueuedEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at the given time.
    pub fn push(&mut self, at: f64, event: SimulationEvent) {
        self.last_sequence += 1;
        self.queue.push(QueuedEvent { at, sequence: self.last_sequence, event });
    }

    /// Removes the next event that is due by `until`, and returns it with its time.
    pub fn pop_until(&mut self, until: f64) -> Option<(f64, SimulationEvent)> {
        if self.queue.peek()?.at > until {
            return None;
        }
        self.queue.pop().map(|queued| (queued.at, queued.event))
    }
}
