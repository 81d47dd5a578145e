//! `milletpath check`: reads a configuration file and reports every error in it.

use crate::config_file::{self, ConfigFileError};
use crate::exit_status::ExitStatus;
use clap::Args;
use std::path::PathBuf;

/// What `check` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file
    #[arg(value_name = "FILE")]
    config_file: PathBuf,
}

/// Prints that the file is valid.
///
/// # Errors
///
/// The file can't be read or has errors, or a key file that it names can't be used.
pub fn run(options: &Options) -> Result<ExitStatus, ConfigFileError> {
    config_file::read(&options.config_file)?;
    println!("{}: sound", options.config_file.display());
    Ok(ExitStatus::Success)
}
