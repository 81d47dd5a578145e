//! Delivery order and capacity of the queue of datagrams in flight.

use super::{CAPACITY, InFlightQueue};
use std::time::Duration;

fn queue(due_millis: &[u64]) -> InFlightQueue {
    let mut queue = InFlightQueue::default();
    for (sender, millis) in due_millis.iter().enumerate() {
        queue.push(Duration::from_millis(*millis), sender, 0, Box::default());
    }
    queue
}

/// Senders of the datagrams that are due by this time, in delivery order.
fn senders_due(queue: &mut InFlightQueue, millis: u64) -> Vec<usize> {
    std::iter::from_fn(|| queue.pop_due(Duration::from_millis(millis)))
        .map(|datagram| datagram.from)
        .collect()
}

#[test]
fn datagrams_are_delivered_when_they_are_due_and_in_that_order() {
    let mut queue = queue(&[30, 10, 20]);
    assert_eq!(queue.next_due(), Some(Duration::from_millis(10)));
    assert!(senders_due(&mut queue, 9).is_empty());
    assert_eq!(senders_due(&mut queue, 20), [1, 2]);
    assert_eq!(senders_due(&mut queue, 1_000), [0]);
    assert_eq!(queue.next_due(), None);
}

#[test]
fn datagrams_that_are_due_at_the_same_time_keep_their_order() {
    assert_eq!(senders_due(&mut queue(&[5, 5, 5, 5]), 5), [0, 1, 2, 3]);
}

#[test]
fn a_queue_has_a_bound() {
    let mut queue = queue(&vec![0; CAPACITY - 1]);
    assert!(!queue.is_full());
    queue.push(Duration::ZERO, 0, 0, Box::default());
    assert!(queue.is_full());
    queue.pop_due(Duration::ZERO).expect("a datagram");
    assert!(!queue.is_full());
}
