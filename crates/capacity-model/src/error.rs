//! Errors while reading the inputs of the capacity model and writing its results. Each message names the file and,
//! where there is one, the remedy.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error while generating the tables, updating the page or deriving runs.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CapacityError {
    /// The folder of runs cannot be listed.
    #[error("{}: can't be read: {source}; specify a folder that contains runs", path.display())]
    ReadFolder {
        /// The folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// An input file cannot be read.
    #[error("{}: can't be read: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A derived run cannot be written.
    #[error("{}: can't be written: {source}", path.display())]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A derived run cannot be encoded as JSON.
    #[error("{}: can't be encoded: {source}", path.display())]
    Encode {
        /// The file that the run was to be written to.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The assumptions file has an invalid format.
    #[error("{}: {source}", path.display())]
    InvalidAssumptions {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A parameter is missing from the assumptions file.
    #[error("{}: {key} is missing; add it to `assumed`", path.display())]
    MissingParameter {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: &'static str,
    },
    /// The assumptions file contains a parameter that the model does not use.
    #[error("{}: {key} is not used by the model; remove it from `assumed`", path.display())]
    UnknownParameter {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: String,
    },
    /// An assumed value is zero, negative or not finite.
    #[error("{}: {key} is not a positive number", path.display())]
    ParameterNotPositive {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: String,
    },
    /// The file of a run has an invalid format.
    #[error("{}: {source}; regenerate it with the bench `slopes`", path.display())]
    InvalidRunFormat {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A run has too few or invalid measurements.
    #[error("{}: {source}", path.display())]
    InvalidRun {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: RunError,
    },
    /// The name of a run differs from that of its file.
    #[error("{}: contains the run {name}; rename the file to {name}.json", path.display())]
    RunNameMismatch {
        /// The file.
        path: PathBuf,
        /// The name of the run.
        name: String,
    },
    /// A line of a scale test's output is not JSON.
    #[error("{}:{line}: {source}; each line must be one JSON value", path.display())]
    InvalidScaleLine {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A result of a scale test has an invalid format.
    #[error("{}:{line}: {source}", path.display())]
    InvalidScaleRun {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A file of a scale test contains no line with a result.
    #[error("{}: contains no scale test result; create it with `milletpath scale --json`", path.display())]
    NoScaleRun {
        /// The file.
        path: PathBuf,
    },
    /// The page lacks the marker at which the generated part begins.
    #[error("the page has no line {marker}; add it where the tables belong")]
    MissingBeginMarker {
        /// The missing line.
        marker: &'static str,
    },
    /// The page lacks the marker at which the generated part ends, or the marker precedes the begin marker.
    #[error("the page has no line {marker} after the begin marker; add it")]
    MissingEndMarker {
        /// The missing line.
        marker: &'static str,
    },
}

impl CapacityError {
    /// The error for an input file that cannot be read.
    pub(crate) fn read_file(path: &Path, source: io::Error) -> Self {
        Self::ReadFile { path: path.into(), source }
    }

    /// The error for a folder of runs that cannot be listed.
    pub(crate) fn read_folder(path: &Path, source: io::Error) -> Self {
        Self::ReadFolder { path: path.into(), source }
    }
}

/// The reason why a run is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RunError {
    /// The run has too few sizes to fit a growth curve.
    #[error("has {found} sizes; measure {required} or more")]
    TooFewSizes {
        /// Number of sizes in the run.
        found: usize,
        /// Minimum number of sizes.
        required: usize,
    },
    /// A measurement has a negative or non-finite value, no repeats, or position 0 on the first axis.
    #[error("sizes[{index}] has a negative or non-finite value, no repeats or position 0; measure it again")]
    InvalidMeasurement {
        /// Index in `sizes` of the file.
        index: usize,
    },
    /// A measurement lacks a position on the second axis of the run, or has one though the run has no second axis.
    #[error("`and` does not match the second axis; give it for all sizes if the run has one, else for none")]
    SecondAxisMismatch,
}
