//! `milletpath change`: proposes configuration changes to the control machines one by one, and prints the progress of
//! their rollout until they are in force at all gateways.
//!
//! [`proposal`] reads the changes, [`commit`] gets one change committed, [`rollout`] waits for the gateways.

mod commit;
mod proposal;
mod rollout;

use crate::config_file::{self, ConfigFileError, ConfigWithLog};
use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use commit::CommitError;
use milletpath_config::document::Position;
use milletpath_gateway::control_client::{Client, ControlClientError};
use proposal::{ProposalError, ProposedChange};
use rollout::RolloutError;
use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Upper bound of `--wait`, in seconds.
const MAX_WAIT: f64 = 86_400.0;

/// Command-line options of `change`.
#[derive(Args)]
pub struct Options {
    /// The configuration file, which lists the control machines
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// A file of statements: function "name" { ... }, functions { ... }
    #[arg(value_name = "CHANGE")]
    file: Option<PathBuf>,
    /// Remove the changes made to this function; the settings of the configuration file apply again
    #[arg(long, value_name = "NAME")]
    remove: Vec<String>,
    /// Seconds to wait for all reachable gateways to apply the changes
    #[arg(long, default_value = "10", value_parser = parse_wait)]
    wait: Duration,
}

/// Why the changes are not known to be in force at all gateways.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The requested changes are invalid; nothing was proposed.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The client of the control machines cannot be created.
    #[error("{}: {source}", path.display())]
    Client { path: PathBuf, source: ControlClientError },
    /// A change was not committed, or is not known to be; the changes before it were committed.
    #[error("{}{key}: {source}", location.as_ref().map(ToString::to_string).unwrap_or_default())]
    Commit { location: Option<StatementLocation>, key: String, source: CommitError },
    /// The changes are committed, but not known to be in force at every gateway.
    #[error(transparent)]
    Rollout(#[from] RolloutError),
}

impl CommandError for ChangeError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            Self::Proposal(_) => ExitStatus::InvalidInput,
            Self::Commit { source, .. } if source.position().is_some() => ExitStatus::InvalidInput,
            Self::Client { .. } | Self::Commit { .. } | Self::Rollout(_) => ExitStatus::Failure,
        }
    }
}

/// Location of an invalid statement in a file of changes, shown as the prefix of an error message.
#[derive(Debug)]
pub struct StatementLocation {
    /// Path of the file.
    path: PathBuf,
    /// Line and column in the file.
    position: Position,
}

impl Display for StatementLocation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{}:{line}:{column}: ", self.path.display())
    }
}

/// Proposes the changes, and waits until they are in force at the gateways.
///
/// # Errors
///
/// The input is invalid, a change was not committed, or not all gateways applied the changes in time.
pub fn run(options: &Options) -> Result<ExitStatus, ChangeError> {
    let ConfigWithLog { config, config_log } = config_file::read_with_log(&options.config_file)?;
    let proposals = proposal::read(&config, options.file.as_deref(), &options.remove)?;
    let client = Client::new(&config_log)
        .map_err(|source| ChangeError::Client { path: options.config_file.clone(), source })?;
    let mut latest = 0;
    for change in &proposals {
        let number = commit::commit(&client, change)
            .map_err(|source| commit_error(change, options.file.as_deref(), source))?;
        println!("{}: number {number}", change.key);
        latest = latest.max(number);
    }
    rollout::wait_until_applied(&client, latest, options.wait)?;
    Ok(ExitStatus::Success)
}

/// Adds the location in the file to an error, if the statement caused it and came from a file.
fn commit_error(change: &ProposedChange, file: Option<&Path>, source: CommitError) -> ChangeError {
    let location = match (source.position(), change.position, file) {
        (Some(relative), Some(start), Some(path)) => {
            Some(StatementLocation { path: path.to_owned(), position: position_in_file(start, relative) })
        }
        _ => None,
    };
    ChangeError::Commit { location, key: change.key.clone(), source }
}

/// Converts a position relative to a statement into a position in the file, where the statement begins at `start`.
fn position_in_file(start: Position, relative: Position) -> Position {
    match relative {
        Position { line: 1, column } => Position { line: start.line, column: start.column + column - 1 },
        Position { line, column } => Position { line: start.line + line - 1, column },
    }
}

/// The value of `--wait` is not a number of seconds within its bounds.
#[derive(Debug, thiserror::Error)]
#[error("write a number of seconds, 0 to {MAX_WAIT}")]
struct InvalidWaitError;

/// Parses a number of seconds given on the command line.
fn parse_wait(text: &str) -> Result<Duration, InvalidWaitError> {
    let seconds = text.parse().ok().filter(|seconds| (0.0..=MAX_WAIT).contains(seconds));
    seconds.map(Duration::from_secs_f64).ok_or(InvalidWaitError)
}

#[cfg(test)]
mod tests;
