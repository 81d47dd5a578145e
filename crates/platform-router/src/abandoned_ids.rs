//! Ids of requests that may have run and whose clients left without an answer. A request that comes with such an id again
//! could run twice. Performs no I/O. Times are in seconds on the router's clock.

use std::collections::{HashSet, VecDeque};

/// Seconds for which an id is remembered: far longer than any client waits for a response.
const RETENTION_SECONDS: f64 = 60.0;
/// Maximum number of ids. Past it the oldest one is forgotten.
const MAX_IDS: usize = 16_384;

/// An id and when its client left.
#[derive(Clone, Copy, Debug)]
struct AbandonedId {
    at: f64,
    id: u64,
}

/// The ids, oldest first.
#[derive(Debug, Default)]
pub(crate) struct AbandonedIds {
    queue: VecDeque<AbandonedId>,
    ids: HashSet<u64>,
}

impl AbandonedIds {
    /// Remembers an id.
    pub fn insert(&mut self, now: f64, id: u64) {
        self.forget_expired(now);
        if self.queue.len() >= MAX_IDS {
            self.forget_oldest();
        }
        if self.ids.insert(id) {
            self.queue.push_back(AbandonedId { at: now, id });
        }
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, now: f64, id: u64) -> bool {
        self.forget_expired(now);
        self.ids.contains(&id)
    }

    fn forget_expired(&mut self, now: f64) {
        while self.queue.front().is_some_and(|oldest| now - oldest.at >= RETENTION_SECONDS) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(AbandonedId { id, .. }) = self.queue.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
