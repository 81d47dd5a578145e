//! A router's random numbers come from one seeded generator, so that the same events give the same decisions.

use oorandom::Rand64;

/// A seeded generator.
pub(crate) struct Random(Rand64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(Rand64::new(u128::from(seed)))
    }

    /// A uniform random number in [0, 1).
    pub(crate) fn uniform(&mut self) -> f64 {
        self.0.rand_float()
    }
}
