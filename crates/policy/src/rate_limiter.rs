//! A sliding-window rate limiter: a number of actions is free in the window, and each request that arrives in it
//! earns a fraction of another.

use crate::config::RequestBudget;
use std::collections::VecDeque;

/// Limits actions to the free ones plus those that requests in the sliding window have earned.
pub struct RateLimiter {
    /// Length of the window in seconds.
    window: f64,
    /// Free actions by the configuration.
    pub free: f64,
    /// Actions that each request earns.
    earned_per_request: f64,
    /// Timing tolerance at the end of the window, in seconds: within it actions still count and requests no longer
    /// do.
    edge_tolerance: f64,
    /// Times of the requests and actions in the window.
    requests: VecDeque<f64>,
    actions: VecDeque<f64>,
}

impl RateLimiter {
    /// A limiter for a budget; `edge_tolerance` is the timing tolerance in seconds at the end of the window.
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

    /// Records that a request arrived.
    pub fn request_arrived(&mut self, now: f64) {
        self.discard_expired(now);
        self.requests.push_back(now);
    }

    /// Whether another action is within the limit, with `free` actions free.
    pub fn allows(&mut self, now: f64, free: f64) -> bool {
        self.discard_expired(now);
        self.actions.len() as f64 + 1.0 <= free + self.earned(now)
    }

    /// Records an action.
    pub fn action_done(&mut self, now: f64) {
        self.actions.push_back(now);
    }

    /// Number of free actions in use.
    pub fn used(&mut self, now: f64) -> f64 {
        self.discard_expired(now);
        (self.actions.len() as f64 - self.earned(now)).max(0.0)
    }

    fn earned(&self, now: f64) -> f64 {
        // Most requests are well within the window: only those near its end are examined.
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
