//! `milletpath capacity`: computes the tables of the capacity page from measured runs, and prints them or writes them
//! into the page.

use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use milletpath_capacity_model::error::CapacityError as ModelError;
use milletpath_capacity_model::{derived_runs, page};
use std::io;
use std::path::{Path, PathBuf};

/// Command-line options of `capacity`.
#[derive(Args)]
pub struct Options {
    /// The folder that holds the measured runs and the assumptions
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    runs: PathBuf,
    /// The page to write the tables into, between its marker lines
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// First derive the slopes from the scale test runs, and write them into the folder of runs
    #[arg(long)]
    derive: bool,
}

/// Why the tables cannot be computed or written.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The runs or the assumptions cannot be read, or lack data that the model needs.
    #[error(transparent)]
    Runs(ModelError),
    /// The page cannot be read.
    #[error("{}: can't be read: {source}; name a page", path.display())]
    ReadPage { path: PathBuf, source: io::Error },
    /// The page lacks the marker lines that enclose the tables.
    #[error("{}: {source}", path.display())]
    Page { path: PathBuf, source: ModelError },
    /// The page cannot be written.
    #[error("{}: can't be written: {source}", path.display())]
    WritePage { path: PathBuf, source: io::Error },
}

impl CommandError for CapacityError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::WritePage { .. } => ExitStatus::Failure,
            _ => ExitStatus::InvalidInput,
        }
    }
}

/// Prints the tables, or writes them into a page if one is given.
///
/// # Errors
///
/// The runs cannot be read, or the page cannot be read or written.
pub fn run(options: &Options) -> Result<ExitStatus, CapacityError> {
    if options.derive {
        derived_runs::write_derived_runs(&options.runs).map_err(CapacityError::Runs)?;
    }
    let tables = page::tables(&options.runs).map_err(CapacityError::Runs)?;
    match &options.page {
        Some(path) => write_into_page(path, &tables)?,
        None => println!("{tables}"),
    }
    Ok(ExitStatus::Success)
}

/// Replaces the text between the marker lines of a page with the tables.
fn write_into_page(path: &Path, tables: &str) -> Result<(), CapacityError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CapacityError::ReadPage { path: path.to_owned(), source })?;
    let text = page::rewrite(&text, tables)
        .map_err(|source| CapacityError::Page { path: path.to_owned(), source })?;
    std::fs::write(path, text).map_err(|source| CapacityError::WritePage { path: path.to_owned(), source })
}
