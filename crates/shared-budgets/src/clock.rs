//! A clock that never goes back, whatever its caller's clock does.

/// Time in seconds that never goes back. It differs from the caller's clock by what that has gone back so far.
#[derive(Clone, Debug)]
pub(crate) struct MonotonicClock {
    now: f64,
    /// What this clock is ahead of the caller's.
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

    /// Sets the clock by the caller's clock; returns the time on this one.
    pub(crate) fn advance(&mut self, caller_now: f64) -> f64 {
        let adjusted = caller_now + self.offset;
        if adjusted < self.now {
            self.offset = self.now - caller_now;
        } else {
            self.now = adjusted;
        }
        self.now
    }

    /// A time of the caller's clock on this one.
    pub(crate) fn monotonic_time(&self, when: f64) -> f64 {
        when + self.offset
    }

    /// A time of this clock on the caller's.
    pub(crate) fn caller_time(&self, when: f64) -> f64 {
        when - self.offset
    }
}

#[cfg(test)]
mod tests;
