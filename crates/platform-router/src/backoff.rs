//! Exponential backoff between repetitions of a system call that fails for a local reason. Free of I/O and clocks.

/// Seconds of the first pause, doubled from failure to failure.
const SHORTEST: f64 = 0.001;
/// Seconds of the longest pause.
const LONGEST: f64 = 0.032;
/// Part of the time that a connection may take after which no pause grows further.
const LONGEST_PART: f64 = 1.0 / 8.0;
/// Part of the same after which what waits is given back. With the longest pause that is still sooner than the timer
/// that takes a connection for unreached, which would count a local fault against the worker.
const GIVE_BACK_PART: f64 = 0.5;

/// The pauses of one operation on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    longest: f64,
    give_back: f64,
    pause: f64,
    /// When the failures began, and when the call is made again.
    failing: Option<(f64, f64)>,
}

impl Backoff {
    /// Pauses for a connection that may take so many seconds to be made.
    pub fn new(connect_timeout: f64) -> Self {
        let longest = LONGEST.min(connect_timeout * LONGEST_PART).max(SHORTEST);
        Self { longest, give_back: connect_timeout * GIVE_BACK_PART, pause: SHORTEST, failing: None }
    }

    /// The call failed: when it is made again.
    pub fn failed(&mut self, now: f64) -> f64 {
        let since = self.failing.map_or(now, |(since, _)| since);
        let resume = now + self.pause;
        self.failing = Some((since, resume));
        self.pause = (2.0 * self.pause).min(self.longest);
        resume
    }

    /// The call succeeded: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failing = None;
        self.pause = SHORTEST;
    }

    /// When the call is made again, where that is still to come.
    pub fn pauses_until(&self, now: f64) -> Option<f64> {
        self.failing.map(|(_, resume)| resume).filter(|resume| now < *resume)
    }

    /// Whether it has failed for so long that what waits for it should be given back.
    pub fn exhausted(&self, now: f64) -> bool {
        self.failing.is_some_and(|(since, _)| now - since >= self.give_back)
    }
}

#[cfg(test)]
mod tests;
