//! The events of a simulation in the order of their times.

use super::network::NodeId;
use milletpath_config_log::Message;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// Something that happens at a node.
pub enum Event {
    /// A timer runs out; void after a restart, which begins another incarnation.
    Tick(NodeId, u64),
    /// A message from an address is delivered.
    Deliver(NodeId, SocketAddr, Box<Message>),
}

/// An event at its time; events of the same time happen in the order in which they were scheduled.
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

    /// Takes the next event, if it is not after that time.
    pub fn next_until(&mut self, until: f64) -> Option<ScheduledEvent> {
        if self.queue.peek().is_some_and(|next| next.at <= until) { self.queue.pop() } else { None }
    }
}
