//! The queue of simulation events, ordered by time.

use super::network::NodeId;
use milletpath_config_log::Message;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// An event at a node.
pub enum Event {
    /// A timer expires; ignored unless the node is still in this incarnation, which changes with each restart.
    Tick(NodeId, u64),
    /// A message from an address arrives.
    Deliver(NodeId, SocketAddr, Box<Message>),
}

/// An event and its time. Events of the same time happen in the order in which they were scheduled.
pub struct ScheduledEvent {
    pub at: f64,
    sequence: u64,
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

#[derive(Default)]
pub struct Schedule {
    queue: BinaryHeap<ScheduledEvent>,
    count: u64,
}

impl Schedule {
    pub fn add(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.queue.push(ScheduledEvent { at, sequence: self.count, event });
    }

    /// Removes and returns the next event, unless it is later than `until`.
    pub fn next_until(&mut self, until: f64) -> Option<ScheduledEvent> {
        if self.queue.peek().is_some_and(|next| next.at <= until) { self.queue.pop() } else { None }
    }
}
