//! Counts the calls that are rejected for one reason, for a log line at a limited rate. Performs no I/O. Times are in
//! seconds on the router's clock.

/// Minimum interval in seconds between two log lines.
const LOG_INTERVAL: f64 = 10.0;

/// The calls rejected since the last log line.
#[derive(Debug)]
pub(crate) struct RejectionCount {
    count: u64,
    logged_at: f64,
}

impl RejectionCount {
    /// Creates a count that is logged as soon as there is one.
    pub fn new() -> Self {
        Self { count: 0, logged_at: f64::NEG_INFINITY }
    }

    /// Counts a call.
    pub fn record(&mut self) {
        self.count += 1;
    }

    /// Returns and resets the count if it is due to be logged.
    pub fn take_due(&mut self, now: f64) -> Option<u64> {
        if self.count == 0 || now - self.logged_at < LOG_INTERVAL {
            return None;
        }
        self.logged_at = now;
        Some(std::mem::take(&mut self.count))
    }
}

#[cfg(test)]
mod tests;
