//! The orders in which a router walks its requests: the queue of those that wait for a worker, and the deadlines of
//! those that wait for their final response. Adding or removing a request takes at most logarithmic time, however many
//! there are, so that ending many requests at once does not hold up the others.

use crate::request_state::{Request, Requests};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// An entry of the queue. The arrival number distinguishes the request from a later one with the same id.
#[derive(Clone, Copy, PartialEq)]
struct QueueEntry {
    id: usize,
    arrival_number: u64,
}

/// Requests that wait for a worker, in the order in which they are placed again. The entry of a request that was
/// released stays until the queue is next taken, which happens at least every few milliseconds while requests are open.
#[derive(Default)]
pub(crate) struct RequestQueue {
    entries: Vec<QueueEntry>,
}

impl RequestQueue {
    /// Appends a request.
    pub(crate) fn push(&mut self, id: usize, request: &Request) {
        self.entries.push(QueueEntry { id, arrival_number: request.arrival_number });
    }

    /// Empties the queue and returns the ids of the requests that were in it and are not released. The caller appends
    /// those that have to wait longer.
    pub(crate) fn take(&mut self, requests: &Requests) -> Vec<usize> {
        let is_current = |entry: &QueueEntry| {
            requests.get(entry.id).is_some_and(|request| request.arrival_number == entry.arrival_number)
        };
        std::mem::take(&mut self.entries).into_iter().filter(is_current).map(|entry| entry.id).collect()
    }
}

/// The deadline of a request that waits for its final response.
#[derive(Clone, Copy)]
struct DeadlineEntry {
    deadline: f64,
    arrival_number: u64,
    id: usize,
}

impl Ord for DeadlineEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.deadline.total_cmp(&other.deadline).then(self.arrival_number.cmp(&other.arrival_number))
    }
}

impl PartialOrd for DeadlineEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for DeadlineEntry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for DeadlineEntry {}

/// Deadlines of the requests that wait for their final response.
#[derive(Default)]
pub(crate) struct Deadlines {
    entries: BTreeSet<DeadlineEntry>,
}

impl Deadlines {
    /// Adds a request.
    pub(crate) fn insert(&mut self, id: usize, request: &Request) {
        self.entries.insert(Self::entry(id, request));
    }

    /// Removes a request, if it is there.
    pub(crate) fn remove(&mut self, id: usize, request: &Request) {
        self.entries.remove(&Self::entry(id, request));
    }

    /// The requests whose deadlines satisfy `is_due`, in order of arrival. If a deadline is due, so are all earlier
    /// ones.
    pub(crate) fn due(&self, is_due: impl Fn(f64) -> bool) -> Vec<usize> {
        let mut due: Vec<_> = self.entries.iter().take_while(|entry| is_due(entry.deadline)).collect();
        due.sort_unstable_by_key(|entry| entry.arrival_number);
        due.into_iter().map(|entry| entry.id).collect()
    }

    fn entry(id: usize, request: &Request) -> DeadlineEntry {
        DeadlineEntry { deadline: request.deadline, arrival_number: request.arrival_number, id }
    }
}
