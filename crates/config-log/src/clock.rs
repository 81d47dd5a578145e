//! A monotonic clock on top of a clock that may be stepped back.

/// Clock that never decreases: each backward step of the caller's clock is absorbed into an offset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// The current time, in seconds; never decreases.
    pub now: f64,
    /// Seconds by which this clock is ahead of the caller's; grows each time the caller's is stepped back.
    offset: f64,
}

impl Clock {
    pub fn new(now: f64) -> Self {
        Self { now, offset: 0.0 }
    }

    /// Advances to a reading of the caller's clock; returns the seconds elapsed since the previous reading.
    pub fn advance_to(&mut self, caller_now: f64) -> f64 {
        let now = caller_now + self.offset;
        if now < self.now {
            self.offset = self.now - caller_now;
            return 0.0;
        }
        let elapsed = now - self.now;
        self.now = now;
        elapsed
    }

    /// Converts a time of this clock to the caller's clock.
    pub fn to_caller(self, time: f64) -> f64 {
        time - self.offset
    }
}
