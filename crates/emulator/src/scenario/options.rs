//! Options and errors of a scenario run.

use super::gateway::LaunchError;
use std::path::Path;

/// Options of a scenario run.
pub struct RunOptions<'o> {
    /// The path of the gateway's executable.
    pub program: &'o Path,
    /// The folder for configuration files and logs.
    pub folder: &'o Path,
    /// Seed for all random numbers.
    pub seed: u64,
    /// Seconds by which emulated components may be late; set it higher on a busy machine.
    pub tolerance: f64,
    /// A fault with which all gateways are started.
    pub injected_fault: Option<&'o str>,
}

/// Why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An operation on a socket, thread or file failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A gateway did not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The clients' thread panicked.
    #[error("the thread of the clients panicked")]
    ClientsPanicked,
}
