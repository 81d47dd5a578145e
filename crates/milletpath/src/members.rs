//! `milletpath members`: what a gateway knows of the other gateways, and of the budgets that it shares with them.

mod table;

use crate::config_file::{self, ConfigFileError};
use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use milletpath_gateway::{MembershipQueryError, query_membership};
use std::path::PathBuf;

/// What `members` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file of the gateway to ask
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum MembersError {
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The gateway can't be asked, or does not answer.
    #[error("{}: {source}", path.display())]
    Query { path: PathBuf, source: MembershipQueryError },
    /// The report can't be written as JSON.
    #[error("the report can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CommandError for MembersError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            Self::Query { .. } | Self::Json(_) => ExitStatus::Failure,
        }
    }
}

/// Prints the report of the gateway.
///
/// # Errors
///
/// The configuration can't be used, or the gateway does not answer.
pub fn run(options: &Options) -> Result<ExitStatus, MembersError> {
    let path = &options.config_file;
    let config = config_file::read(path)?;
    if config.membership.is_none() {
        return Err(ConfigFileError::MissingSection { path: path.clone(), section: "peers" }.into());
    }
    let status =
        query_membership(&config).map_err(|source| MembersError::Query { path: path.clone(), source })?;
    if options.json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        table::print(&status);
    }
    Ok(ExitStatus::Success)
}
