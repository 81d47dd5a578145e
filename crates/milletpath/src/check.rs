//! `milletpath check`: validates a configuration file and reports all its errors.

use crate::config_file::{self, ConfigFileError};
use crate::exit_status::ExitStatus;
use clap::Args;
use std::path::PathBuf;

/// Command-line options of `check`.
#[derive(Args)]
pub struct Options {
    /// The configuration file
    #[arg(value_name = "FILE")]
    config_file: PathBuf,
}

/// Validates the file, and prints that it is valid.
///
/// # Errors
///
/// The file cannot be read, has errors, or names a key file that cannot be used.
pub fn run(options: &Options) -> Result<ExitStatus, ConfigFileError> {
    config_file::read(&options.config_file)?;
    println!("{}: sound", options.config_file.display());
    Ok(ExitStatus::Success)
}
