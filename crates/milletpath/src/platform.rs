//! `milletpath platform`: the router on the platform, in the foreground, by the variables that it sets.

use std::path::PathBuf;
use std::process::ExitCode;

pub fn platform() -> ExitCode {
    let Some(file) = std::env::var_os("LB_CONFIG").map(PathBuf::from) else {
        tracing::error!("LB_CONFIG is not set; it must name the file that the platform gives a router");
        return ExitCode::from(2);
    };
    let address = match std::env::var("LB_LISTEN").ok().map(|a| a.parse()) {
        None => None,
        Some(Ok(address)) => Some(address),
        Some(Err(_)) => {
            tracing::error!("LB_LISTEN is no address with a port, such as 10.0.0.4:8443");
            return ExitCode::from(2);
        }
    };
    let name = std::env::var("LB_NAME").unwrap_or_default();
    tracing::info!(name, file = %file.display(), "a router starts");
    crate::local(milletpath_platform_router::run(&file, address))
}
