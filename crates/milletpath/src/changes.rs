//! `milletpath changes`: reports which configuration is in force and which gateways lag behind, as known to the control
//! machines, or the state of a single gateway as reported by itself.

mod gateway_report;
mod overview_table;

use crate::config_file::{self, ConfigFileError, ConfigWithLog};
use crate::control_overview::ControlOverview;
use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use gateway_report::GatewayReportError;
use milletpath_gateway::control_client::{Client, ControlClientError};
use std::path::PathBuf;

/// Command-line options of `changes`.
#[derive(Args)]
pub struct Options {
    /// The configuration file, which lists the control machines
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Query the gateway of this configuration file instead of the control machines
    #[arg(long)]
    here: bool,
}

/// Why `changes` fails.
#[derive(Debug, thiserror::Error)]
pub enum ChangesError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The client for queries cannot be created.
    #[error("{}: {source}", path.display())]
    Client { path: PathBuf, source: ControlClientError },
    /// There is no report from the gateway of the configuration file.
    #[error("{}: {source}", path.display())]
    Gateway { path: PathBuf, source: GatewayReportError },
    /// No control machine answered. The report, which knows nothing of the fleet, was printed nevertheless.
    #[error("no control machine answers: are they running, with this key?")]
    NoControlMachine,
    /// The report cannot be serialized to JSON.
    #[error("the report can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CommandError for ChangesError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            Self::Gateway { source: GatewayReportError::UnknownPort, .. } => ExitStatus::InvalidInput,
            _ => ExitStatus::Failure,
        }
    }
}

/// Prints the combined report of all control machines, or the report of one gateway.
///
/// # Errors
///
/// The configuration file or the client cannot be used, no queried process answers, or the report cannot be serialized.
pub fn run(options: &Options) -> Result<ExitStatus, ChangesError> {
    let path = &options.config_file;
    let ConfigWithLog { config_log, .. } = config_file::read_with_log(path)?;
    let client =
        Client::new(&config_log).map_err(|source| ChangesError::Client { path: path.clone(), source })?;
    if options.here {
        gateway_report::print(&client, config_log.listen, options.json)
            .map_err(|source| ChangesError::Gateway { path: path.clone(), source })?;
        return Ok(ExitStatus::Success);
    }
    let overview = ControlOverview::query(&client);
    if options.json {
        println!("{}", serde_json::to_string(&overview)?);
    } else {
        overview_table::print(&overview);
    }
    if overview.answering() == 0 { Err(ChangesError::NoControlMachine) } else { Ok(ExitStatus::Success) }
}
