//! The ration of orders to load, kept at the moment of sending. The decisions keep it when they give an order; until
//! that is sent a connection may have to be made, and what was ten seconds apart is less by then.

use milletpath_policy::ration::Ration as PolicyRateLimit;

/// Seconds by which orders may come closer together, or further from the calls they count on, on their way: what a
/// crowded machine adds between a write and its reading.
const TRANSIT_SECONDS: f64 = 0.05;

pub struct LoadRateLimit {
    limit: PolicyRateLimit,
    /// Of the free ones so many times as much until then, and so many times from then on.
    fraction: ([f64; 2], f64),
    /// And so many more, or fewer.
    adjustment: ([f64; 2], f64),
}

impl LoadRateLimit {
    /// So many free orders in any window of seconds, and a share of one for each call taken in it.
    pub fn new(config: (f64, f64, f64)) -> Self {
        let (fraction, adjustment) = (([1.0; 2], f64::INFINITY), ([0.0; 2], f64::INFINITY));
        Self { limit: PolicyRateLimit::new(config, TRANSIT_SECONDS), fraction, adjustment }
    }

    pub fn set_quota_fraction(&mut self, fraction: [f64; 2], until: f64) {
        self.fraction = (fraction, until);
    }

    pub fn set_adjustment(&mut self, adjustment: [f64; 2], until: f64) {
        self.adjustment = (adjustment, until);
    }

    pub fn request_arrived(&mut self, now: f64) {
        self.limit.take(now);
    }

    /// Whether an order may be sent now; counts it if so.
    pub fn try_send(&mut self, now: f64) -> bool {
        let at = |(figures, until): ([f64; 2], f64)| figures[usize::from(now >= until)];
        let free = (self.limit.free * at(self.fraction) + at(self.adjustment)).max(0.0);
        let allowed = self.limit.may(now, free);
        if allowed {
            self.limit.done(now);
        }
        allowed
    }

    /// Free orders in use.
    pub fn in_use(&mut self, now: f64) -> f64 {
        self.limit.used(now)
    }
}

#[cfg(test)]
mod tests;
