//! One bound and how a history kept it.

use serde::Serialize;

/// The case of a history that came nearest to a bound or went furthest beyond it, and how often the bound was violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BoundReport {
    /// The highest value against its bound,
    pub most: f64,
    /// and the bound at that moment.
    pub bound: f64,
    /// How often the bound was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The first violations.
    #[serde(skip)]
    pub first_violations: Vec<BoundViolation>,
}

/// One place of a history where a bound is violated.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundViolation {
    /// When, in seconds of the history's clock.
    pub at: f64,
    /// What happened.
    pub what: String,
}

impl BoundReport {
    /// Violations that are kept.
    const MAX_FIRST_VIOLATIONS: usize = 5;

    /// Compares a value with the bound; `what` describes a violation.
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
