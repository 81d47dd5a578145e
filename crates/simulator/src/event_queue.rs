//! A queue of events ordered by time; events with the same time keep the order in which they were scheduled.

use crate::event::Event;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    schedule_count: u64,
}

pub(crate) struct ScheduledEvent {
    pub at: f64,
    sequence: u64,
    pub event: Event,
}

impl EventQueue {
    pub fn schedule(&mut self, at: f64, event: Event) {
        self.schedule_count += 1;
        self.heap.push(ScheduledEvent { at, sequence: self.schedule_count, event });
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop()
    }
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
    /// Orders the earliest event as the greatest, because the heap is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}
