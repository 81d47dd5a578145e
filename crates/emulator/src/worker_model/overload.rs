//! Overload of a worker that is still warming up: it fails permanently when the work that arrives within a window
//! exceeds a multiple of its capacity.

use std::collections::VecDeque;

/// The number of jobs of mean size that are allowed above the limit, so that chance alone does not overload a worker.
const TOLERATED_JOBS: f64 = 4.0;

/// A job that arrived.
struct Arrival {
    at: f64,
    work: f64,
}

/// Sums the work that arrives within a window.
pub(super) struct OverloadDetector {
    multiple: f64,
    window: f64,
    arrivals: VecDeque<Arrival>,
    overloaded: bool,
}

impl OverloadDetector {
    /// Creates a detector that allows `multiple` times the capacity within `window` seconds.
    pub(super) fn new(multiple: f64, window: f64) -> Self {
        Self { multiple, window, arrivals: VecDeque::new(), overloaded: false }
    }

    /// Whether the worker has been overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Adds a job, given the worker's current capacity; returns whether the job overloads the worker.
    pub(super) fn add(&mut self, now: f64, work: f64, capacity: f64) -> bool {
        self.arrivals.push_back(Arrival { at: now, work });
        while self.arrivals.front().is_some_and(|first| now - first.at > self.window) {
            self.arrivals.pop_front();
        }
        let sum: f64 = self.arrivals.iter().map(|arrival| arrival.work).sum();
        let mean = sum / self.arrivals.len() as f64;
        self.overloaded = sum > self.multiple * capacity * self.window + TOLERATED_JOBS * mean;
        self.overloaded
    }
}
