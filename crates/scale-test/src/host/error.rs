//! Why a host ends before its input does.

use milletpath_config::document::ConfigError;
use std::io;

/// Why a host can't go on.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Commands can't be read, reports can't be written, or there is no room for another thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A line of the input is no command.
    #[error("a command can't be read: {0}")]
    MalformedCommand(#[source] serde_json::Error),
    /// A command came before the plan.
    #[error("a command came before the plan")]
    NoPlan,
    /// The plan is not valid here, though the run read it.
    #[error("the plan is not valid: {0:?}")]
    InvalidPlan(Vec<ConfigError>),
}
