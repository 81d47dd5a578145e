//! What happened within the last seconds.

use std::collections::VecDeque;

/// Times within a sliding window, each with a weight. The window's length is an argument, as it may differ from one look
/// to the next.
#[derive(Default)]
pub(crate) struct SlidingWindow {
    items: VecDeque<(f64, f64)>,
    sum: f64,
}

impl SlidingWindow {
    /// Adds what happened at a time, with the weight 1.
    pub fn add(&mut self, at: f64) {
        self.add_weighted(at, 1.0);
    }

    /// Adds what happened at a time, with its weight.
    pub fn add_weighted(&mut self, at: f64, weight: f64) {
        self.items.push_back((at, weight));
        self.sum += weight;
    }

    /// Forgets what happened longer than `seconds` before `now`.
    pub fn expire(&mut self, now: f64, seconds: f64) {
        while self.items.front().is_some_and(|(at, _)| now - at > seconds) {
            self.sum -= self.items.pop_front().map_or(0.0, |(_, weight)| weight);
        }
    }

    /// How many there are within the last `seconds`; older ones are forgotten.
    pub fn count_within(&mut self, now: f64, seconds: f64) -> f64 {
        self.expire(now, seconds);
        self.len() as f64
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// The sum of their weights.
    pub fn sum(&self) -> f64 {
        self.sum
    }
}
