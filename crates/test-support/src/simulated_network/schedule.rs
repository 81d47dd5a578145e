//! The queue of what is to happen in simulated time.

use milletpath_membership::datagram::Datagram;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What is to be done at a node.
pub enum Work {
    /// Call `tick` of the process with this instance id.
    Tick { node: usize, instance_id: u64 },
    /// Deliver a datagram.
    Deliver { node: usize, datagram: Box<Datagram> },
}

impl Work {
    pub fn node(&self) -> usize {
        match self {
            Self::Tick { node, .. } | Self::Deliver { node, .. } => *node,
        }
    }
}

/// Work and its time. The order is reversed, so that a max-heap yields the earliest first.
struct Scheduled {
    at: f64,
    /// Decides among work of the same time: first in, first out.
    sequence: u64,
    work: Work,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

#[derive(Default)]
pub struct Schedule {
    queue: BinaryHeap<Scheduled>,
    scheduled: u64,
}

impl Schedule {
    pub fn add(&mut self, at: f64, work: Work) {
        self.scheduled += 1;
        self.queue.push(Scheduled { at, sequence: self.scheduled, work });
    }

    /// The next work that is due by `until`, and its time.
    pub fn next_until(&mut self, until: f64) -> Option<(f64, Work)> {
        if self.queue.peek()?.at > until {
            return None;
        }
        self.queue.pop().map(|scheduled| (scheduled.at, scheduled.work))
    }
}
