//! A rate limiter over a sliding window: some actions are free in it, and each request that arrives in it
//! earns a part of one.

use std::collections::VecDeque;

/// Counts actions against those that are free in a sliding window and those that requests have earned in it.
pub struct RateLimiter {
    /// Seconds.
    window: f64,
    /// Actions that are free by the configuration.
    pub free: f64,
    /// Actions that a request earns.
    share: f64,
    /// Seconds at the window's edge in which actions still count and requests no more: how sharply it can be
    /// measured.
    edge: f64,
    /// Times of requests and of actions within the window.
    taken: VecDeque<f64>,
    done: VecDeque<f64>,
}

impl RateLimiter {
    /// A limiter by its window in seconds, the actions that are free in it and those that a request earns;
    /// `edge` in seconds is how sharply the window's edge can be measured.
    pub fn new((window, free, share): (f64, f64, f64), edge: f64) -> Self {
        Self { window, free, share, edge, taken: VecDeque::new(), done: VecDeque::new() }
    }

    /// A request arrived.
    pub fn take(&mut self, now: f64) {
        self.forget(now);
        self.taken.push_back(now);
    }

    /// Whether one more action is within the limit, where `free` are free.
    pub fn may(&mut self, now: f64, free: f64) -> bool {
        self.forget(now);
        self.done.len() as f64 + 1.0 <= free + self.earned(now)
    }

    /// An action was done.
    pub fn done(&mut self, now: f64) {
        self.done.push_back(now);
    }

    /// Actions that are used of the free ones.
    pub fn used(&mut self, now: f64) -> f64 {
        self.forget(now);
        (self.done.len() as f64 - self.earned(now)).max(0.0)
    }

    fn earned(&self, now: f64) -> f64 {
        // Most are well within the window: only those at its edge are looked at.
        let late = self.taken.iter().take_while(|t| now - **t >= self.window - self.edge).count();
        self.share * (self.taken.len() - late) as f64
    }

    fn forget(&mut self, now: f64) {
        while self.taken.front().is_some_and(|t| now - t >= self.window) {
            self.taken.pop_front();
        }
        while self.done.front().is_some_and(|t| now - t > self.window + self.edge) {
            self.done.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
