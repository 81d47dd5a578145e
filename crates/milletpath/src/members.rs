//! `milletpath members`: reports what a gateway knows about the other gateways and about the shared budgets.

mod table;

use crate::config_file::{self, ConfigFileError};
use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use milletpath_gateway::{MembershipQueryError, query_membership};
use std::path::PathBuf;

/// Command-line options of `members`.
#[derive(Args)]
pub struct Options {
    /// The configuration file of the gateway to query
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

/// Why there is no report of the gateway.
#[derive(Debug, thiserror::Error)]
pub enum MembersError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The gateway cannot be queried, or does not answer.
    #[error("{}: {source}", path.display())]
    Query { path: PathBuf, source: MembershipQueryError },
    /// The report cannot be serialized to JSON.
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

/// Queries the gateway, and prints its report.
///
/// # Errors
///
/// The configuration file cannot be used or has no section `peers`, the gateway does not answer, or the report cannot
/// be serialized.
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
