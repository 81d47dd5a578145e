//! A rate limiter over a sliding window: some actions are free in it, and each request that arrives in it
//! earns a part of one.

use crate::config::RequestBudget;
use std::collections::VecDeque;

/// Counts actions against those that are free in a sliding window and those that requests have earned in it.
pub struct RateLimiter {
    /// Seconds.
    window: f64,
    /// Actions that are free by the configuration.
    pub free: f64,
    /// Actions that a request earns.
    earned_per_request: f64,
    /// Seconds at the window's edge in which actions still count and requests no more: how sharply it can be
    /// measured.
    edge_tolerance: f64,
    /// Times of requests and of actions within the window.
    requests: VecDeque<f64>,
    actions: VecDeque<f64>,
}

impl RateLimiter {
    /// A limiter of a budget; `edge` in seconds is how sharply the window's edge can be measured.
    pub fn new(budget: RequestBudget, edge_tolerance: f64) -> Self {
        let RequestBudget { window, free, earned_per_request } = budget;
        Self {
            window,
            free,
            earned_per_request,
            edge_tolerance,
            requests: VecDeque::new(),
            actions: VecDeque::new(),
        }
    }

    /// A request arrived.
    pub fn request_arrived(&mut self, now: f64) {
        self.discard_expired(now);
        self.requests.push_back(now);
    }

    /// Whether one more action is within the limit, where `free` are free.
    pub fn allows(&mut self, now: f64, free: f64) -> bool {
        self.discard_expired(now);
        self.actions.len() as f64 + 1.0 <= free + self.earned(now)
    }

    /// An action was done.
    pub fn action_done(&mut self, now: f64) {
        self.actions.push_back(now);
    }

    /// Actions that are used of the free ones.
    pub fn used(&mut self, now: f64) -> f64 {
        self.discard_expired(now);
        (self.actions.len() as f64 - self.earned(now)).max(0.0)
    }

    fn earned(&self, now: f64) -> f64 {
        // Most are well within the window: only those at its edge are looked at.
        let expired =
            self.requests.iter().take_while(|t| now - **t >= self.window - self.edge_tolerance).count();
        self.earned_per_request * (self.requests.len() - expired) as f64
    }

    fn discard_expired(&mut self, now: f64) {
        while self.requests.front().is_some_and(|t| now - t >= self.window) {
            self.requests.pop_front();
        }
        while self.actions.front().is_some_and(|t| now - t > self.window + self.edge_tolerance) {
            self.actions.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
