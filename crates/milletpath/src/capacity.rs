//! `milletpath capacity`: the tables of the capacity page from measured runs, printed or written into the page.

use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use milletpath_capacity_model::error::CapacityError as ModelError;
use milletpath_capacity_model::{derived_runs, page};
use std::io;
use std::path::{Path, PathBuf};

/// What `capacity` is started with.
#[derive(Args)]
pub struct Options {
    /// The folder of the runs and the assumptions
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    runs: PathBuf,
    /// The page to write the tables into, between its marks
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// First write the slopes that scale test runs give into the folder of the runs
    #[arg(long)]
    derive: bool,
}

/// Why there are no tables.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The runs or the assumptions can't be read, or don't suffice.
    #[error(transparent)]
    Runs(ModelError),
    /// The page can't be read.
    #[error("{}: can't be read: {source}; name a page", path.display())]
    ReadPage { path: PathBuf, source: io::Error },
    /// The page has no marks between which the tables belong.
    #[error("{}: {source}", path.display())]
    Page { path: PathBuf, source: ModelError },
    /// The page can't be written.
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

/// Prints the tables, or writes them into the page.
///
/// # Errors
///
/// The runs can't be read, or the page can't be read or written.
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

/// Writes the tables between the marks of a page.
fn write_into_page(path: &Path, tables: &str) -> Result<(), CapacityError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CapacityError::ReadPage { path: path.to_owned(), source })?;
    let text = page::rewrite(&text, tables)
        .map_err(|source| CapacityError::Page { path: path.to_owned(), source })?;
    std::fs::write(path, text).map_err(|source| CapacityError::WritePage { path: path.to_owned(), source })
}
