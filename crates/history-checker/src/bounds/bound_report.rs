//! How closely a history kept to one bound.

use serde::Serialize;

/// The value that came closest to a bound or exceeded it by the most, and how often the bound was violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BoundReport {
    /// The value with the smallest margin to its bound or the largest excess over it.
    pub most: f64,
    /// The bound that applied to that value.
    pub bound: f64,
    /// How often the bound was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The first violations, up to a fixed number.
    #[serde(skip)]
    pub first_violations: Vec<BoundViolation>,
}

/// A violation of a bound.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundViolation {
    /// Time in seconds of the history's clock.
    pub at: f64,
    /// Description of the violation.
    pub what: String,
}

impl BoundReport {
    /// The number of violations that are kept.
    const MAX_FIRST_VIOLATIONS: usize = 5;

    /// Compares a value with its bound; `describe` is called only for a violation.
    pub(super) fn compare(&mut self, at: f64, value: f64, bound: f64, describe: impl FnOnce() -> String) {
        if self.bound == 0.0 || value - bound > self.most - self.bound {
            (self.most, self.bound) = (value, bound);
        }
        if value > bound {
            self.violations += 1;
            if self.first_violations.len() < Self::MAX_FIRST_VIOLATIONS {
                self.first_violations.push(BoundViolation { at, what: describe() });
            }
        }
    }
}
