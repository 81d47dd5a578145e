//! Delays between the attempts of an operation that fails.

/// Seconds until the first retry.
const FIRST_RETRY_DELAY: f64 = 0.1;

/// Largest number of seconds between two retries.
const MAX_RETRY_DELAY: f64 = 5.0;

/// Exponential backoff without jitter: each failure in a row doubles the delay until the next attempt, from 0.1 s to 5 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the seconds until the next attempt.
    #[must_use]
    pub fn failed(&mut self) -> f64 {
        let delay = (FIRST_RETRY_DELAY * 2f64.powi(self.failures.min(30) as i32)).min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Number of failures in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Reports a success: the next failure is the first of a row again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
