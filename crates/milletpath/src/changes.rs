//! `milletpath changes`: what the control machines know of the configuration in force and where it is not, or what one
//! gateway reports itself.

mod gateway_report;
mod overview_table;

use crate::config_file::{self, ConfigFileError, ConfigWithLog};
use crate::control_overview::ControlOverview;
use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use gateway_report::GatewayReportError;
use milletpath_gateway::control_client::{Client, ControlClientError};
use std::path::PathBuf;

/// What `changes` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file, which names the control machines
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
    /// Ask the gateway of this configuration file rather than the control machines
    #[arg(long)]
    here: bool,
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum ChangesError {
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// Nobody can be asked.
    #[error("{}: {source}", path.display())]
    Client { path: PathBuf, source: ControlClientError },
    /// The gateway of the configuration file does not report.
    #[error("{}: {source}", path.display())]
    Gateway { path: PathBuf, source: GatewayReportError },
    /// The report was printed, and nothing is known of the fleet.
    #[error("no control machine answers: are they running, with this key?")]
    NoControlMachine,
    /// The report can't be written as JSON.
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

/// Prints the report of all control machines, or of one gateway.
///
/// # Errors
///
/// The configuration can't be used, or nobody answers.
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
