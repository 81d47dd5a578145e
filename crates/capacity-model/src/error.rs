//! Errors of reading the inputs of the capacity model and of writing its results. Each names the file and the remedy.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the tables or the page could not be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CapacityError {
    /// The folder of runs cannot be listed.
    #[error("{}: can't be read: {source}; name a folder of runs", path.display())]
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
    /// A result cannot be written.
    #[error("{}: can't be written: {source}", path.display())]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A run cannot be encoded as JSON.
    #[error("{}: can't be encoded: {source}", path.display())]
    Encode {
        /// The file that would have been written.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The assumptions file is not of the expected form.
    #[error("{}: {source}", path.display())]
    InvalidAssumptions {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// The assumptions file lacks a parameter.
    #[error("{}: {key} is missing; add it to assumed", path.display())]
    MissingParameter {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: &'static str,
    },
    /// The assumptions file holds a parameter that the model does not use.
    #[error("{}: {key} is not used by the model; remove it from assumed", path.display())]
    UnknownParameter {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: String,
    },
    /// An assumed value is zero, negative or not finite.
    #[error("{}: {key} is no figure above 0", path.display())]
    ParameterNotPositive {
        /// The file.
        path: PathBuf,
        /// Key of the parameter.
        key: String,
    },
    /// The file of a run is not of the expected form.
    #[error("{}: {source}; write it by the bench slopes", path.display())]
    InvalidRunFormat {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A run holds too few or unusable measurements.
    #[error("{}: {source}", path.display())]
    InvalidRun {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: RunError,
    },
    /// A run's name is not that of its file.
    #[error("{}: its name is {name}; name the file {name}.json", path.display())]
    RunNameMismatch {
        /// The file.
        path: PathBuf,
        /// The name that the run gives itself.
        name: String,
    },
    /// A line of a scale test's output is not JSON.
    #[error("{}:{line}: {source}; one JSON value a line", path.display())]
    InvalidScaleLine {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A result of a scale test is not of the expected form.
    #[error("{}:{line}: {source}", path.display())]
    InvalidScaleRun {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A file of a scale test holds no final line.
    #[error("{}: no line of it is a scale run's last; write it by milletpath scale --json", path.display())]
    NoScaleRun {
        /// The file.
        path: PathBuf,
    },
    /// The page lacks the mark at which the generated part begins.
    #[error("the page has no line {marker}; add it where the tables belong")]
    MissingBeginMarker {
        /// The missing line.
        marker: &'static str,
    },
    /// The page lacks the mark at which the generated part ends, or it stands before the begin mark.
    #[error("the page has no line {marker} after the first; add it")]
    MissingEndMarker {
        /// The missing line.
        marker: &'static str,
    },
}

impl CapacityError {
    /// An input file that cannot be read.
    pub(crate) fn read_file(path: &Path, source: io::Error) -> Self {
        Self::ReadFile { path: path.into(), source }
    }

    /// A folder of runs that cannot be listed.
    pub(crate) fn read_folder(path: &Path, source: io::Error) -> Self {
        Self::ReadFolder { path: path.into(), source }
    }
}

/// Why a run cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RunError {
    /// Too few sizes to fit a form of growth.
    #[error("has {found} sizes; measure {required} or more")]
    TooFewSizes {
        /// Sizes in the run.
        found: usize,
        /// Sizes needed at least.
        required: usize,
    },
    /// A measurement is negative, not finite, without repeats or at position 0 of its axis.
    #[error("sizes[{index}] has a figure that is none, or an axis of 0; measure it anew")]
    InvalidMeasurement {
        /// Index in the file's `sizes`.
        index: usize,
    },
    /// Only some measurements give a position on the second axis.
    #[error("a size has no place on the second axis; give `and` for all sizes or none")]
    SecondAxisMismatch,
}
