//! A clock that never goes backwards, even if the caller's clock does.

/// A monotonic clock in seconds. It is ahead of the caller's clock by the sum of all backward steps of that clock so
/// far.
#[derive(Clone, Debug)]
pub(crate) struct MonotonicClock {
    now: f64,
    /// How far this clock is ahead of the caller's clock.
    offset: f64,
}

impl MonotonicClock {
    pub(crate) fn new(now: f64) -> Self {
        Self { now, offset: 0.0 }
    }

    /// The time of the latest [`advance`](Self::advance).
    pub(crate) fn now(&self) -> f64 {
        self.now
    }

    /// Advances the clock to the time on the caller's clock. Returns the time on this clock.
    pub(crate) fn advance(&mut self, caller_now: f64) -> f64 {
        let adjusted = caller_now + self.offset;
        if adjusted < self.now {
            self.offset = self.now - caller_now;
        } else {
            self.now = adjusted;
        }
        self.now
    }

    /// Converts a time on the caller's clock to this clock.
    pub(crate) fn monotonic_time(&self, when: f64) -> f64 {
        when + self.offset
    }

    /// Converts a time on this clock to the caller's clock.
    pub(crate) fn caller_time(&self, when: f64) -> f64 {
        when - self.offset
    }
}

#[cfg(test)]
mod tests;
