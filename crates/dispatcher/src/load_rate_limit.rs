//! Rate limit of load requests, applied when they are sent. The router applies the same limit when it decides on a
//! load request, but a connection may have to be established first, so load requests decided on ten seconds apart may
//! be sent closer together.

use milletpath_policy::{RateLimiter, RequestBudget};

/// Seconds by which the delay between a write here and its read on a busy machine can vary. Load requests may arrive
/// that much closer together, or further from the requests that earned them.
const TIMING_TOLERANCE: f64 = 0.05;

/// A value that changes once, at a known time.
#[derive(Clone, Copy)]
struct ExpiringValue {
    value: f64,
    value_after_expiry: f64,
    valid_until: f64,
}

impl ExpiringValue {
    fn constant(value: f64) -> Self {
        Self { value, value_after_expiry: value, valid_until: f64::INFINITY }
    }

    fn at(self, now: f64) -> f64 {
        if now >= self.valid_until { self.value_after_expiry } else { self.value }
    }
}

pub(crate) struct LoadRateLimit {
    limiter: RateLimiter,
    /// Factor applied to the load requests that are free in a window.
    fraction: ExpiringValue,
    /// Load requests added to the free ones, or subtracted if negative.
    adjustment: ExpiringValue,
}

impl LoadRateLimit {
    /// Creates a limiter from the policy's budget of load requests.
    pub(crate) fn new(budget: RequestBudget) -> Self {
        Self {
            limiter: RateLimiter::new(budget, TIMING_TOLERANCE),
            fraction: ExpiringValue::constant(1.0),
            adjustment: ExpiringValue::constant(0.0),
        }
    }

    /// Sets the factor that applies before `valid_until`, and the one that applies from then on.
    pub(crate) fn set_quota_fraction(&mut self, fraction: f64, fraction_after_expiry: f64, valid_until: f64) {
        self.fraction =
            ExpiringValue { value: fraction, value_after_expiry: fraction_after_expiry, valid_until };
    }

    /// Sets the adjustment that applies before `valid_until`, and the one that applies from then on.
    pub(crate) fn set_adjustment(&mut self, amount: f64, amount_after_expiry: f64, valid_until: f64) {
        self.adjustment =
            ExpiringValue { value: amount, value_after_expiry: amount_after_expiry, valid_until };
    }

    /// Counts a client's request, which may earn load requests.
    pub(crate) fn request_arrived(&mut self, now: f64) {
        self.limiter.request_arrived(now);
    }

    /// Whether a load request may be sent now; counts it if so.
    pub(crate) fn try_send(&mut self, now: f64) -> bool {
        let free = (self.limiter.free * self.fraction.at(now) + self.adjustment.at(now)).max(0.0);
        let allowed = self.limiter.allows(now, free);
        if allowed {
            self.limiter.action_done(now);
        }
        allowed
    }

    /// Number of free load requests in use.
    pub(crate) fn in_use(&mut self, now: f64) -> f64 {
        self.limiter.used(now)
    }
}

#[cfg(test)]
mod tests;
