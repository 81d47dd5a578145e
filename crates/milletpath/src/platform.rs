//! `milletpath platform`: the router on the platform, in the foreground, by the variables that it sets.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit code where the process was started wrongly, so that another start alike fails as well.
const WRONG_USAGE: u8 = 2;

/// Runs the router by `LB_CONFIG`, `LB_LISTEN` and `LB_NAME` until it is asked to end.
pub fn platform() -> ExitCode {
    let Some(file) = std::env::var_os("LB_CONFIG").map(PathBuf::from) else {
        tracing::error!("LB_CONFIG is not set; it must name the file that the platform gives a router");
        return ExitCode::from(WRONG_USAGE);
    };
    let address = match std::env::var("LB_LISTEN").ok().map(|address| address.parse()) {
        None => None,
        Some(Ok(address)) => Some(address),
        Some(Err(_)) => {
            tracing::error!("LB_LISTEN is no address with a port, such as 10.0.0.4:8443");
            return ExitCode::from(WRONG_USAGE);
        }
    };
    let name = std::env::var("LB_NAME").unwrap_or_default();
    tracing::info!(name, file = %file.display(), "starting the router");
    crate::local(run(&file, address))
}

async fn run(file: &Path, address: Option<SocketAddr>) -> ExitCode {
    match milletpath_platform_router::run(file, address).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "the router could not start");
            if error.is_configuration() { ExitCode::from(WRONG_USAGE) } else { ExitCode::FAILURE }
        }
    }
}
