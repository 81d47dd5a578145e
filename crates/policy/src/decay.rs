//! Sums that decay exponentially as time passes.

/// Half life in seconds of the counts behind rates: a sudden load shows within a second or two.
pub(crate) const RATE_HALF_LIFE: f64 = 3.0;

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
    pub fn value(&self, now: f64, half_life: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / half_life).exp2()
    }

    /// Adds to the sum.
    pub fn add(&mut self, now: f64, half_life: f64, amount: f64) {
        self.sum = self.value(now, half_life) + amount;
        self.at = now;
    }

    /// Events a second when 1 is added at each; `age` in seconds corrects for a count that is still young.
    pub fn rate(&self, now: f64, half_life: f64, age: f64) -> f64 {
        let mean_lifetime = half_life / std::f64::consts::LN_2;
        self.value(now, half_life) / (mean_lifetime * (1.0 - (-age.max(0.5) / mean_lifetime).exp()))
    }
}
