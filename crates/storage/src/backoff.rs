//! Delays between retries of a failing operation.

/// Seconds until the first retry.
const FIRST_RETRY_DELAY: f64 = 0.1;

/// Maximum number of seconds between two retries.
const MAX_RETRY_DELAY: f64 = 5.0;

/// Exponential backoff without jitter: each consecutive failure doubles the delay until the next attempt, from 0.1 s up to
/// 5 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the number of seconds until the next attempt.
    #[must_use]
    pub fn failed(&mut self) -> f64 {
        let delay = (FIRST_RETRY_DELAY * 2f64.powi(self.failures.min(30) as i32)).min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success, which resets the delay.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
