//! Exponential backoff between repetitions of a system call that fails for a local reason. Free of I/O and clocks.

/// Seconds of the first pause, doubled from failure to failure.
const MIN_PAUSE: f64 = 0.001;
/// Seconds of the longest pause.
const MAX_PAUSE: f64 = 0.032;
/// Fraction of the time that a connection may take after which no pause grows further.
const MAX_PAUSE_FRACTION: f64 = 1.0 / 8.0;
/// Fraction of the same after which what waits is given back. With the longest pause that is still sooner than the timer
/// that takes a connection for unreached, which would count a local fault against the worker.
const EXHAUSTED_FRACTION: f64 = 0.5;

/// A run of failures without a success.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// When it began.
    first_failed_at: f64,
    /// When the call is made again.
    resume_at: f64,
}

/// The pauses of one operation on one connection. Times are in seconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    max_pause: f64,
    exhausted_after: f64,
    pause: f64,
    failures: Option<Failures>,
}

impl Backoff {
    /// Pauses for a connection that may take `connect_timeout` seconds to be made.
    pub fn new(connect_timeout: f64) -> Self {
        let max_pause = MAX_PAUSE.min(connect_timeout * MAX_PAUSE_FRACTION).max(MIN_PAUSE);
        let exhausted_after = connect_timeout * EXHAUSTED_FRACTION;
        Self { max_pause, exhausted_after, pause: MIN_PAUSE, failures: None }
    }

    /// The call failed: returns when it is made again.
    pub fn failed(&mut self, now: f64) -> f64 {
        let first_failed_at = self.failures.map_or(now, |failures| failures.first_failed_at);
        let resume_at = now + self.pause;
        self.failures = Some(Failures { first_failed_at, resume_at });
        self.pause = (2.0 * self.pause).min(self.max_pause);
        resume_at
    }

    /// The call succeeded: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failures = None;
        self.pause = MIN_PAUSE;
    }

    /// When the call is made again, where that is still to come.
    pub fn pauses_until(&self, now: f64) -> Option<f64> {
        self.failures.map(|failures| failures.resume_at).filter(|resume_at| now < *resume_at)
    }

    /// Whether it has failed for so long that what waits for it should be given back.
    pub fn exhausted(&self, now: f64) -> bool {
        self.failures.is_some_and(|failures| now - failures.first_failed_at >= self.exhausted_after)
    }
}

#[cfg(test)]
mod tests;
