//! Exponential backoff for retrying a system call that failed for a local reason. Performs no I/O and reads no clock.

/// First pause in seconds; doubled after each failure.
const MIN_PAUSE: f64 = 0.001;
/// Upper bound of a pause, in seconds.
const MAX_PAUSE: f64 = 0.032;
/// Upper bound of a pause, as a fraction of the connect timeout.
const MAX_PAUSE_FRACTION: f64 = 1.0 / 8.0;
/// Fraction of the connect timeout after which queued work is returned as not sent. Even with the longest pause
/// added, this is before the connect timeout expires, which would count a local fault against the worker.
const EXHAUSTED_FRACTION: f64 = 0.5;

/// A series of consecutive failures.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// Time of the first failure.
    first_failed_at: f64,
    /// Time of the next retry.
    resume_at: f64,
}

/// Backoff state of one operation on one connection. Times are in seconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    max_pause: f64,
    exhausted_after: f64,
    pause: f64,
    failures: Option<Failures>,
}

impl Backoff {
    /// Creates the state for a connection with a connect timeout of `connect_timeout` seconds.
    pub fn new(connect_timeout: f64) -> Self {
        let max_pause = MAX_PAUSE.min(connect_timeout * MAX_PAUSE_FRACTION).max(MIN_PAUSE);
        let exhausted_after = connect_timeout * EXHAUSTED_FRACTION;
        Self { max_pause, exhausted_after, pause: MIN_PAUSE, failures: None }
    }

    /// Records a failure and returns the time of the next retry.
    pub fn failed(&mut self, now: f64) -> f64 {
        let first_failed_at = self.failures.map_or(now, |failures| failures.first_failed_at);
        let resume_at = now + self.pause;
        self.failures = Some(Failures { first_failed_at, resume_at });
        self.pause = (2.0 * self.pause).min(self.max_pause);
        resume_at
    }

    /// Records a success, which resets the pause.
    pub fn succeeded(&mut self) {
        self.failures = None;
        self.pause = MIN_PAUSE;
    }

    /// The time of the next retry, if it is still in the future.
    pub fn pauses_until(&self, now: f64) -> Option<f64> {
        self.failures.map(|failures| failures.resume_at).filter(|resume_at| now < *resume_at)
    }

    /// Whether the operation has failed for so long that queued work should be returned as not sent.
    pub fn exhausted(&self, now: f64) -> bool {
        self.failures.is_some_and(|failures| now - failures.first_failed_at >= self.exhausted_after)
    }
}

#[cfg(test)]
mod tests;
