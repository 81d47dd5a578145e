//! A sliding-window limit shared by all gateways.

use crate::sliding_window::SlidingWindow;
use crate::window_limit::WindowLimit;

/// The longest duration of a lease on another gateway's quota, in seconds.
const MAX_LEASE_SECONDS: f64 = 2.1;

/// A limit within a sliding window, over all gateways.
///
/// A gateway counts its accepted requests at the moment of the limited action. At another moment, up to as many requests as
/// the preceding window holds may have left the window, so requests are counted over two windows. A killed process is
/// replaced by one whose count starts at zero, so the bound is higher by one process's quota until the window has passed
/// and the leases of the killed process have expired.
pub(super) struct SharedWindow {
    limit: WindowLimit,
    /// The number of free actions of one gateway process.
    process_quota: f64,
    tolerance: f64,
    accepted: SlidingWindow,
    used: SlidingWindow,
    killed: SlidingWindow,
}

/// The number of limited actions within the window and the maximum allowed.
pub(super) struct WindowUse {
    pub count: f64,
    pub allowed: f64,
}

impl SharedWindow {
    /// Creates an empty window with the fleet's limit and the quota of one gateway process.
    pub fn new(limit: WindowLimit, process_quota: f64, tolerance: f64) -> Self {
        let [accepted, used, killed] = [(); 3].map(|()| SlidingWindow::default());
        Self { limit, process_quota, tolerance, accepted, used, killed }
    }

    /// Records that a gateway accepted an attempt.
    pub fn record_accepted(&mut self, at: f64) {
        self.accepted.add(at);
    }

    /// Records that a gateway's process was killed.
    pub fn record_killed(&mut self, at: f64) {
        self.killed.add(at);
    }

    /// Records a limited action and returns the use of the window.
    pub fn record_use(&mut self, at: f64) -> WindowUse {
        let WindowLimit { window, free, per_request } = self.limit;
        self.used.add(at);
        // An observation may be late by the tolerance, so the action may belong to an earlier window.
        let count = self.used.count_within(at, window - self.tolerance);
        let earning_window = if per_request > 0.0 { 2.0 * window + self.tolerance } else { 0.0 };
        let earned = per_request * self.accepted.count_within(at, earning_window);
        let killed = self.killed.count_within(at, window + MAX_LEASE_SECONDS + self.tolerance);
        WindowUse { count, allowed: free + earned + self.process_quota * killed }
    }
}
