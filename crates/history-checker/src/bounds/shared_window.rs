//! A limit within a sliding window that all gateways share.

use crate::sliding_window::SlidingWindow;
use crate::window_limit::WindowLimit;

/// Seconds for which a lease on another gateway's part lasts at most.
const MAX_LEASE_SECONDS: f64 = 2.1;

/// A limit within a window, over all gateways.
///
/// A gateway counts the requests that it accepted when it does something that the limit binds; at another moment as many of
/// them may have left the window as are in the one before it. For each process that was killed there is once more the quota
/// of the one that takes its place, whose count begins empty, until the leases of the former have ended as well.
pub(super) struct SharedWindow {
    limit: WindowLimit,
    /// How many are free for one gateway's process.
    process_quota: f64,
    tolerance: f64,
    accepted: SlidingWindow,
    used: SlidingWindow,
    killed: SlidingWindow,
}

/// How many there are within the window, and how many there may be.
pub(super) struct WindowUse {
    pub count: f64,
    pub allowed: f64,
}

impl SharedWindow {
    /// Starts with the limit of the fleet and the quota of one gateway.
    pub fn new(limit: WindowLimit, process_quota: f64, tolerance: f64) -> Self {
        let [accepted, used, killed] = [(); 3].map(|()| SlidingWindow::default());
        Self { limit, process_quota, tolerance, accepted, used, killed }
    }

    /// A gateway accepted an attempt.
    pub fn record_accepted(&mut self, at: f64) {
        self.accepted.add(at);
    }

    /// A gateway's process was killed.
    pub fn record_killed(&mut self, at: f64) {
        self.killed.add(at);
    }

    /// One more was done of what the limit binds.
    pub fn record_use(&mut self, at: f64) -> WindowUse {
        let WindowLimit { window, free, per_request } = self.limit;
        self.used.add(at);
        // A late observation may have been sent up to so much earlier, within another window.
        let count = self.used.count_within(at, window - self.tolerance);
        let earning_window = if per_request > 0.0 { 2.0 * window + self.tolerance } else { 0.0 };
        let earned = per_request * self.accepted.count_within(at, earning_window);
        let killed = self.killed.count_within(at, window + MAX_LEASE_SECONDS + self.tolerance);
        WindowUse { count, allowed: free + earned + self.process_quota * killed }
    }
}
