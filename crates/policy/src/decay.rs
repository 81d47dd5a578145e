//! Figures that fade as time passes: plain arithmetic, whose half lives are given by who asks.

/// A figure that fades: each addition loses half its weight in `half` seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    pub sum: f64,
    pub at: f64,
}

/// Half life in seconds of the counts behind rates: what turns hot shows within a second or two.
pub(crate) const RATE_HALF: f64 = 3.0;

impl Fading {
    pub fn now(&self, now: f64, half: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / half).exp2()
    }

    pub fn add(&mut self, now: f64, half: f64, x: f64) {
        self.sum = self.now(now, half) + x;
        self.at = now;
    }

    /// Events a second when 1 is added at each; `age` corrects for a count that is still young.
    pub fn rate(&self, now: f64, half: f64, age: f64) -> f64 {
        let full = half / std::f64::consts::LN_2;
        self.now(now, half) / (full * (1.0 - (-age.max(0.5) / full).exp()))
    }
}
