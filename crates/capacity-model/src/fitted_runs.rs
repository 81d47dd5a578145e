//! All runs, each with the growth curve fitted to it.

use crate::fit::{Fit, fit};
use crate::run::Run;
use std::collections::BTreeMap;

/// A run with the growth curve that fits it best.
#[derive(Clone, Debug)]
pub struct FittedRun {
    /// The run with its measurements.
    pub run: Run,
    /// The fitted growth curve.
    pub fit: Fit,
}

/// All fitted runs, by name.
pub struct FittedRuns(BTreeMap<String, FittedRun>);

impl FittedRuns {
    /// Fits a growth curve to every run.
    pub fn new(runs: BTreeMap<String, Run>) -> Self {
        let fitted = |(name, run): (String, Run)| {
            let fit = fit(&run);
            (name, FittedRun { run, fit })
        };
        Self(runs.into_iter().map(fitted).collect())
    }

    /// The run with the given name, if it was measured.
    pub fn get(&self, name: &str) -> Option<&FittedRun> {
        self.0.get(name)
    }

    /// The fitted value of a single-axis run at a size; 0 if there is no such run.
    pub fn value_or_zero(&self, name: &str, size: f64) -> f64 {
        self.get(name).map_or(0.0, |fitted| fitted.fit.value_at(size, 0.0))
    }

    /// All runs, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &FittedRun> {
        self.0.values()
    }
}
