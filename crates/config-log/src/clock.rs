//! Time as a core goes by it: it never goes back, whatever the caller's clock does.

#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    pub now: f64,
    /// What this clock is ahead of the caller's, which may have gone back.
    pub shift: f64,
}

impl Clock {
    pub fn new(now: f64) -> Self {
        Self { now, shift: 0.0 }
    }

    /// The caller's clock shows that time; gives the seconds since the last one.
    pub fn advance_to(&mut self, now: f64) -> f64 {
        let ahead = now + self.shift;
        if ahead < self.now {
            self.shift = self.now - now;
            return 0.0;
        }
        let gap = ahead - self.now;
        self.now = ahead;
        gap
    }

    /// When that is, on the caller's clock.
    pub fn to_caller(&self, time: f64) -> f64 {
        time - self.shift
    }
}
