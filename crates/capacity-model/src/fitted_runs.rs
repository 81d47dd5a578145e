//! All runs, each with its fitted form of growth.

use crate::fit::{Fit, fit};
use crate::run::Run;
use std::collections::BTreeMap;

/// A run with the form that fits it best.
#[derive(Clone, Debug)]
pub struct FittedRun {
    /// The measurements.
    pub run: Run,
    /// Their form of growth.
    pub fit: Fit,
}

/// Fitted runs by name.
pub struct FittedRuns(BTreeMap<String, FittedRun>);

impl FittedRuns {
    /// Fits every run.
    pub fn new(runs: BTreeMap<String, Run>) -> Self {
        let fitted = |(name, run): (String, Run)| {
            let fit = fit(&run);
            (name, FittedRun { run, fit })
        };
        Self(runs.into_iter().map(fitted).collect())
    }

    /// The run of that name, if it was measured.
    pub fn get(&self, name: &str) -> Option<&FittedRun> {
        self.0.get(name)
    }

    /// The fitted value of a run with one axis; 0 if it was not measured.
    pub fn value_or_zero(&self, name: &str, size: f64) -> f64 {
        self.get(name).map_or(0.0, |fitted| fitted.fit.value_at(size, 0.0))
    }

    /// All runs in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &FittedRun> {
        self.0.values()
    }
}
