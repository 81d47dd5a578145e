//! Overload of a worker that still warms up: work that arrives within a window, beyond a multiple of its capacity, makes
//! it fail for good.

use std::collections::VecDeque;

/// Jobs of mean size that are allowed beyond the limit, so that chance alone does not overload a worker.
const TOLERATED_JOBS: f64 = 4.0;

/// One job that arrived.
struct Arrival {
    at: f64,
    work: f64,
}

/// Sums up the work that arrives.
pub(super) struct OverloadDetector {
    multiple: f64,
    window: f64,
    arrivals: VecDeque<Arrival>,
    overloaded: bool,
}

impl OverloadDetector {
    /// One that allows `multiple` of the capacity within `window` seconds.
    pub(super) fn new(multiple: f64, window: f64) -> Self {
        Self { multiple, window, arrivals: VecDeque::new(), overloaded: false }
    }

    /// Whether the worker was overloaded at some time.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Adds a job at a worker of the given capacity at present; whether this one overloads it.
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
