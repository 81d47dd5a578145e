//! When a failed operation is tried again.

/// Seconds until the first retry.
const FIRST_RETRY_DELAY: f64 = 0.1;

/// Seconds between two retries at most.
const MAX_RETRY_DELAY: f64 = 5.0;

/// Exponential backoff: each failure in a row doubles the time until the next retry, up to a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure; gives the seconds until the next attempt.
    pub fn failed(&mut self) -> f64 {
        let delay = (FIRST_RETRY_DELAY * 2f64.powi(self.failures.min(30) as i32)).min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The operation succeeded: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
