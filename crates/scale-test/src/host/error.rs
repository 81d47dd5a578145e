//! Errors that end a host before its input does.

use milletpath_config::document::ConfigError;
use std::io;

/// Why a host can't continue.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Commands can't be read, status messages can't be written, or the system can't create another thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A line of the input is not a valid command.
    #[error("a command can't be read: {0}")]
    MalformedCommand(#[source] serde_json::Error),
    /// A command arrived before the plan.
    #[error("a command came before the plan")]
    NoPlan,
    /// The host rejects the plan although the run accepted it.
    #[error("the plan is not valid: {0:?}")]
    InvalidPlan(Vec<ConfigError>),
}
