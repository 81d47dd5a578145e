//! A run: measurements of one quantity at several sizes, with the command and the seed that reproduce them. Runs are
//! stored as one JSON file each, written by the bench `slopes` or derived from scale tests.

use crate::error::{CapacityError, RunError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Minimum number of sizes in a run: no growth curve is fitted to fewer.
pub const MIN_SIZES: usize = 4;

/// Name, without extension, of the assumptions file in the folder of runs.
const ASSUMPTIONS_FILE_STEM: &str = "assumptions";

/// File name prefix of scale test results.
const SCALE_FILE_PREFIX: &str = "scale-";

/// The measurements at one size, summarized over the repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// Position on the first axis, in the unit that [`Run::axis`] names.
    #[serde(rename = "at")]
    pub size: f64,
    /// Position on the second axis, if the run has one.
    #[serde(rename = "and", default, skip_serializing_if = "Option::is_none")]
    pub second_size: Option<f64>,
    /// Median of the repeats (the upper median if their number is even), in [`Run::unit`]. Derived runs store another
    /// statistic here, which their method names.
    #[serde(rename = "value")]
    pub median: f64,
    /// Smallest repeat; in derived runs the median.
    #[serde(rename = "low")]
    pub min: f64,
    /// Largest repeat.
    #[serde(rename = "high")]
    pub max: f64,
    /// Number of repeats.
    pub repeats: usize,
}

impl Measurement {
    fn is_valid(&self) -> bool {
        let values = [self.size, self.median, self.min, self.max, self.second_size.unwrap_or(1.0)];
        let finite = values.iter().all(|value| value.is_finite() && *value >= 0.0);
        finite && self.size > 0.0 && self.repeats > 0
    }
}

/// Measurements of one quantity at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Unique name; also the stem of the file name.
    pub name: String,
    /// The mechanism that causes the cost.
    pub mechanism: String,
    /// The measured quantity.
    #[serde(rename = "figure")]
    pub quantity: String,
    /// Unit of the quantity.
    pub unit: String,
    /// Name of the first axis.
    pub axis: String,
    /// Name of the second axis, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_axis: Option<String>,
    /// Parameters that were the same at all sizes.
    pub fixed: BTreeMap<String, f64>,
    /// How the quantity was measured, and what the values include besides the mechanism.
    pub method: String,
    /// The command that reproduces the run.
    pub command: String,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Date of the measurement in UTC, such as `2026-12-02`.
    pub date: String,
    /// Number of cores of the machine.
    pub cores: usize,
    /// One measurement for each size.
    #[serde(rename = "sizes")]
    pub measurements: Vec<Measurement>,
}

impl Run {
    fn validate(&self) -> Result<(), RunError> {
        let found = self.measurements.len();
        if found < MIN_SIZES {
            return Err(RunError::TooFewSizes { found, required: MIN_SIZES });
        }
        if let Some(index) = self.measurements.iter().position(|measurement| !measurement.is_valid()) {
            return Err(RunError::InvalidMeasurement { index });
        }
        let has_second_axis = self.second_axis.is_some();
        if self.measurements.iter().any(|m| m.second_size.is_some() != has_second_axis) {
            return Err(RunError::SecondAxisMismatch);
        }
        Ok(())
    }

    /// The smallest measured size on the first axis.
    pub fn min_size(&self) -> f64 {
        self.measurements.iter().map(|m| m.size).fold(f64::INFINITY, f64::min)
    }

    /// The largest measured size on the first axis.
    pub fn max_size(&self) -> f64 {
        self.measurements.iter().map(|m| m.size).fold(0.0, f64::max)
    }

    /// The median at a size, by linear interpolation between measured sizes; below the smallest size between it and the
    /// origin, beyond the largest size constant.
    pub fn interpolate(&self, size: f64) -> f64 {
        let mut points: Vec<(f64, f64)> = self.measurements.iter().map(|m| (m.size, m.median)).collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let Some(next) = points.iter().position(|point| point.0 >= size) else {
            return points.last().map_or(0.0, |point| point.1);
        };
        let (from, to) = (if next == 0 { (0.0, 0.0) } else { points[next - 1] }, points[next]);
        from.1 + (to.1 - from.1) * (size - from.0) / (to.0 - from.0)
    }
}

/// Reads and validates one run.
///
/// # Errors
/// The file cannot be read, is not a run, or has too few or invalid measurements.
pub fn read(path: &Path) -> Result<Run, CapacityError> {
    let text = std::fs::read_to_string(path).map_err(|source| CapacityError::read_file(path, source))?;
    let run: Run = serde_json::from_str(&text)
        .map_err(|source| CapacityError::InvalidRunFormat { path: path.into(), source })?;
    run.validate().map_err(|source| CapacityError::InvalidRun { path: path.into(), source })?;
    Ok(run)
}

/// Reads all runs of a folder, by name: every JSON file except the assumptions and the scale test results.
///
/// # Errors
/// The folder cannot be listed, a run cannot be read, or its name differs from that of its file.
pub fn read_all(folder: &Path) -> Result<BTreeMap<String, Run>, CapacityError> {
    let entries = std::fs::read_dir(folder).map_err(|source| CapacityError::read_folder(folder, source))?;
    let mut runs = BTreeMap::new();
    for entry in entries {
        let path = entry.map_err(|source| CapacityError::read_file(folder, source))?.path();
        let Some(stem) = run_stem(&path) else { continue };
        let run = read(&path)?;
        if run.name != stem {
            return Err(CapacityError::RunNameMismatch { path, name: run.name });
        }
        runs.insert(stem, run);
    }
    Ok(runs)
}

/// The stem of the file name if the file is a run; `None` for other files.
fn run_stem(path: &Path) -> Option<String> {
    if path.extension()? != "json" {
        return None;
    }
    let stem = path.file_stem()?.to_string_lossy().into_owned();
    (stem != ASSUMPTIONS_FILE_STEM && !stem.starts_with(SCALE_FILE_PREFIX)).then_some(stem)
}
