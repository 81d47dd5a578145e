//! `milletpath platform`: the router on the platform, in the foreground, by the environment variables that the platform
//! sets: `LB_CONFIG`, `LB_LISTEN` and `LB_NAME`.

use crate::async_runtime::{self, RuntimeError};
use crate::exit_status::{CommandError, ExitStatus};
use milletpath_platform_router::StartError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the router does not run.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform's variables don't name a settings file.
    #[error("LB_CONFIG is not set; it must name the file that the platform gives a router")]
    ConfigNotSet,
    /// The address to listen on can't be parsed.
    #[error("LB_LISTEN is no address with a port, such as 10.0.0.4:8443")]
    InvalidListenAddress,
    /// The runtime can't start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The router can't start.
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

/// The values of the platform's variables.
struct Settings {
    /// The platform's settings file.
    file: PathBuf,
    /// The address to listen on; by default, the file's.
    listen: Option<SocketAddr>,
    /// The router's name.
    name: String,
}

impl Settings {
    /// Reads the variables.
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

/// Runs the router until it is asked to end. Errors go to the log, which the platform collects.
pub fn run() -> ExitStatus {
    run_router().map_or_else(
        |error| {
            tracing::error!(%error, "the router could not start");
            error.exit_status()
        },
        |()| ExitStatus::Success,
    )
}

/// Runs the router to its end.
fn run_router() -> Result<(), PlatformError> {
    let Settings { file, listen, name } = Settings::from_environment()?;
    tracing::info!(name, file = %file.display(), "starting the router");
    async_runtime::block_on(milletpath_platform_router::run(&file, listen))??;
    Ok(())
}
