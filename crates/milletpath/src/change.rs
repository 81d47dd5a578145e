//! `milletpath change`: proposes configuration changes to the control machines one by one, and reports until they are in
//! force at all gateways.
//!
//! [`proposal`] reads what is to be changed, [`commit`] has one change committed, [`rollout`] waits for the gateways.

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

/// The longest wait for the gateways, in seconds.
const MAX_WAIT: f64 = 86_400.0;

/// What `change` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file, which names the control machines
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// A file of statements: function "name" { ... }, functions { ... }
    #[arg(value_name = "CHANGE")]
    file: Option<PathBuf>,
    /// Remove what a change stated of this function; the configuration file's own holds again
    #[arg(long, value_name = "NAME")]
    remove: Vec<String>,
    /// Seconds to wait until all reachable gateways have applied it
    #[arg(long, default_value = "10", value_parser = parse_wait)]
    wait: Duration,
}

/// Why changes are not in force at all gateways.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// What is to be changed is wrong; nothing was proposed.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The control machines can't be asked.
    #[error("{}: {source}", path.display())]
    Client { path: PathBuf, source: ControlClientError },
    /// A change was not committed; those before it were.
    #[error("{}{key}: {source}", location.as_ref().map(ToString::to_string).unwrap_or_default())]
    Commit { location: Option<StatementLocation>, key: String, source: CommitError },
    /// The changes are committed, and not in force at every gateway.
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

/// Where in a file of changes a statement is wrong, as it stands before an error.
#[derive(Debug)]
pub struct StatementLocation {
    /// The file.
    path: PathBuf,
    /// Line and column in it.
    position: Position,
}

impl Display for StatementLocation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{}:{line}:{column}: ", self.path.display())
    }
}

/// Proposes the changes, and waits until they are in force.
///
/// # Errors
///
/// The input is wrong, a change was not committed, or a gateway has not applied it in time.
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

/// An error with its location in the file, if the statement is wrong.
fn commit_error(change: &ProposedChange, file: Option<&Path>, source: CommitError) -> ChangeError {
    let location = match (source.position(), change.position, file) {
        (Some(relative), Some(start), Some(path)) => {
            Some(StatementLocation { path: path.to_owned(), position: position_in_file(start, relative) })
        }
        _ => None,
    };
    ChangeError::Commit { location, key: change.key.clone(), source }
}

/// Converts a position in a statement to one in the file, where the statement begins at `start`.
fn position_in_file(start: Position, relative: Position) -> Position {
    match relative {
        Position { line: 1, column } => Position { line: start.line, column: start.column + column - 1 },
        Position { line, column } => Position { line: start.line + line - 1, column },
    }
}

/// The wait is no number of seconds within its bounds.
#[derive(Debug, thiserror::Error)]
#[error("write a number of seconds, 0 to {MAX_WAIT}")]
struct InvalidWaitError;

/// Seconds as they are written on the command line.
fn parse_wait(text: &str) -> Result<Duration, InvalidWaitError> {
    let seconds = text.parse().ok().filter(|seconds| (0.0..=MAX_WAIT).contains(seconds));
    seconds.map(Duration::from_secs_f64).ok_or(InvalidWaitError)
}

#[cfg(test)]
mod tests;
