//! How a scenario is played, and why it could not be.

use super::gateway::LaunchError;
use std::path::Path;

/// How a scenario is played.
pub struct RunOptions<'o> {
    /// The gateway's program.
    pub program: &'o Path,
    /// A folder for configuration files and logs.
    pub folder: &'o Path,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Seconds by which emulated parts may be late; more on a busy machine.
    pub tolerance: f64,
    /// A fault that all gateways are started with.
    pub injected_fault: Option<&'o str>,
}

/// Why a scenario could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A socket, thread or file failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A gateway did not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The clients' thread panicked.
    #[error("the clients panicked")]
    ClientsPanicked,
}
