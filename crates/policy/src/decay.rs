//! Exponentially decaying sums.

/// Half life in seconds of the counts that rates are computed from: a sudden load shows within one to two seconds.
pub(crate) const RATE_HALF_LIFE: f64 = 3.0;

/// An exponentially decaying sum: each addition loses half its weight per half life. Every call passes the half life.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    /// The sum at the time [`at`](Self::at).
    pub sum: f64,
    /// When the sum was last updated, in seconds.
    pub at: f64,
}

impl DecayingSum {
    /// The sum at `now`, for a half life in seconds.
    pub fn value(&self, now: f64, half_life: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / half_life).exp2()
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, now: f64, half_life: f64, amount: f64) {
        self.sum = self.value(now, half_life) + amount;
        self.at = now;
    }

    /// Events per second, if 1 is added per event. `age` is the time in seconds since counting began; it corrects the
    /// rate of a count that is younger than its half life.
    pub fn rate(&self, now: f64, half_life: f64, age: f64) -> f64 {
        let mean_lifetime = half_life / std::f64::consts::LN_2;
        self.value(now, half_life) / (mean_lifetime * (1.0 - (-age.max(0.5) / mean_lifetime).exp()))
    }
}
