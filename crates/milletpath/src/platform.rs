//! `milletpath platform`: runs the platform router in the foreground, configured by the environment variables that the
//! platform sets: `LB_CONFIG`, `LB_LISTEN` and `LB_NAME`.

use crate::async_runtime::{self, RuntimeError};
use crate::exit_status::{CommandError, ExitStatus};
use milletpath_platform_router::StartError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// `LB_CONFIG` is not set, so there is no settings file.
    #[error("LB_CONFIG is not set; it must name the file that the platform gives a router")]
    ConfigNotSet,
    /// `LB_LISTEN` is not a valid address.
    #[error("LB_LISTEN is not an address with a port, such as 10.0.0.4:8443")]
    InvalidListenAddress,
    /// The runtime cannot start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The router cannot start.
    #[error(transparent)]
    Start(#[from] StartError),
}

impl CommandError for PlatformError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigNotSet | Self::InvalidListenAddress => ExitStatus::InvalidInput,
            Self::Start(error) if error.is_configuration() => ExitStatus::InvalidInput,
            Self::Start(_) | Self::Runtime(_) => ExitStatus::Failure,
        }
    }
}

/// The values of the platform's environment variables.
struct Settings {
    /// Path of the platform's settings file.
    file: PathBuf,
    /// The address to listen on; `None` for the one in the settings file.
    listen: Option<SocketAddr>,
    /// Name of the router; empty if not set.
    name: String,
}

impl Settings {
    /// Reads the environment variables.
    fn from_environment() -> Result<Self, PlatformError> {
        let file = std::env::var_os("LB_CONFIG").ok_or(PlatformError::ConfigNotSet)?;
        let listen = std::env::var("LB_LISTEN").ok().map(|address| address.parse()).transpose();
        Ok(Self {
            file: file.into(),
            listen: listen.map_err(|_| PlatformError::InvalidListenAddress)?,
            name: std::env::var("LB_NAME").unwrap_or_default(),
        })
    }
}

/// Runs the router until it is stopped. An error is logged, because the platform collects the log.
pub fn run() -> ExitStatus {
    run_router().map_or_else(
        |error| {
            tracing::error!(%error, "the router could not start");
            error.exit_status()
        },
        |()| ExitStatus::Success,
    )
}

/// Runs the router until it is stopped.
fn run_router() -> Result<(), PlatformError> {
    let Settings { file, listen, name } = Settings::from_environment()?;
    tracing::info!(name, file = %file.display(), "starting the router");
    async_runtime::block_on(milletpath_platform_router::run(&file, listen))??;
    Ok(())
}
