//! Sums that decay exponentially as time passes.

/// Half life in seconds of the counts behind rates: a sudden load shows within a second or two.
pub(crate) const RATE_HALF: f64 = 3.0;

/// A sum that decays exponentially: each addition loses half its weight in one half life, which every call
/// states.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    /// The sum as of [`at`](Self::at).
    pub sum: f64,
    /// When it was last brought up to date, in seconds.
    pub at: f64,
}

impl DecayingSum {
    /// The sum now, at a half life in seconds.
    pub fn now(&self, now: f64, half: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / half).exp2()
    }

    /// Adds to the sum.
    pub fn add(&mut self, now: f64, half: f64, x: f64) {
        self.sum = self.now(now, half) + x;
        self.at = now;
    }

    /// Events a second when 1 is added at each; `age` in seconds corrects for a count that is still young.
    pub fn rate(&self, now: f64, half: f64, age: f64) -> f64 {
        let full = half / std::f64::consts::LN_2;
        self.now(now, half) / (full * (1.0 - (-age.max(0.5) / full).exp()))
    }
}
