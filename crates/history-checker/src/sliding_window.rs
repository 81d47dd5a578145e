//! A sliding window of weighted events.

use std::collections::VecDeque;

/// The times and weights of events within a sliding window. The length of the window is an argument of each query, because it
/// may differ between queries.
#[derive(Default)]
pub(crate) struct SlidingWindow {
    items: VecDeque<(f64, f64)>,
    sum: f64,
}

impl SlidingWindow {
    /// Adds an event with weight 1.
    pub fn add(&mut self, at: f64) {
        self.add_weighted(at, 1.0);
    }

    /// Adds an event with the given weight.
    pub fn add_weighted(&mut self, at: f64, weight: f64) {
        self.items.push_back((at, weight));
        self.sum += weight;
    }

    /// Removes the events that are more than `seconds` older than `now`.
    pub fn expire(&mut self, now: f64, seconds: f64) {
        while self.items.front().is_some_and(|(at, _)| now - at > seconds) {
            self.sum -= self.items.pop_front().map_or(0.0, |(_, weight)| weight);
        }
    }

    /// Number of events within the last `seconds`; removes older ones.
    pub fn count_within(&mut self, now: f64, seconds: f64) -> f64 {
        self.expire(now, seconds);
        self.len() as f64
    }

    /// Number of events in the window.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Sum of the weights of the events in the window.
    pub fn sum(&self) -> f64 {
        self.sum
    }
}
