//! `milletpath serve`: reads the configuration, opens the sockets, and runs a gateway until SIGTERM or SIGINT.
//!
//! 1. [`config_file`] reads the configuration. Without a file, [`built_in_fleet`] starts emulated workers and returns a
//!    configuration that lists them.
//! 2. [`sockets`] opens the sockets for clients, for other gateways and for configuration changes, and prints their
//!    addresses.
//! 3. [`milletpath_gateway::serve_with_faults`] handles requests. SIGTERM or SIGINT completes [`shutdown_requested`];
//!    the gateway then finishes its open requests and returns.

mod fault_commands;
mod sockets;

use crate::async_runtime::{self, RuntimeError};
use crate::built_in_fleet::{self, BuiltInFleetError};
use crate::config_file::{self, ConfigFileError};
use crate::exit_status::{CommandError, ExitStatus};
use crate::shutdown_signal::shutdown_requested;
use clap::Args;
use fault_commands::parse_injected_fault;
use milletpath_config::GatewayConfig;
use milletpath_gateway::{InjectedFault, Links};
use sockets::{ConfigSource, SocketError};
use std::path::PathBuf;

/// Command-line options of `serve`.
#[derive(Args)]
pub struct Options {
    /// The configuration file; the default is a built-in configuration with emulated workers in the same process
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: Option<PathBuf>,
    /// Number of threads that handle requests, in place of the configuration's
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=63))]
    cores: Option<u8>,
    /// Read faults to inject into cores from standard input, one per line
    #[arg(long = "inject-core-faults", alias = "stir", hide = true)]
    reads_faults: bool,
    /// A fault to inject, so that tests can verify that it is detected
    #[arg(long = "inject-fault", alias = "plant", hide = true, value_parser = parse_injected_fault)]
    injected_fault: Option<InjectedFault>,
}

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The emulated workers of the built-in configuration cannot start.
    #[error(transparent)]
    BuiltInFleet(#[from] BuiltInFleetError),
    /// The runtime of the accepting thread cannot start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// A socket cannot be opened.
    #[error(transparent)]
    Socket(#[from] SocketError),
}

impl CommandError for ServeError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            _ => ExitStatus::Failure,
        }
    }
}

/// Runs a gateway until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// The configuration cannot be used, the built-in fleet or the runtime cannot start, or a socket cannot be opened.
pub fn run(options: &Options) -> Result<ExitStatus, ServeError> {
    let config = options.config_file.as_deref().map(config_file::read).transpose()?;
    async_runtime::block_on(async {
        match config {
            Some(config) => run_gateway(config, ConfigSource::File, options).await,
            None => run_gateway(built_in_fleet::start().await?, ConfigSource::BuiltIn, options).await,
        }
    })?
}

/// Opens the sockets, and handles requests until the process receives SIGTERM or SIGINT.
async fn run_gateway(
    mut config: GatewayConfig,
    source: ConfigSource,
    options: &Options,
) -> Result<ExitStatus, ServeError> {
    config.limits.cores = options.cores.map_or(config.limits.cores, usize::from);
    let listener = sockets::open_listener(config.listen, source)?;
    let links = Links {
        peers: sockets::open_membership_link(&config, options.injected_fault)?,
        changes: sockets::open_config_feed(&config)?,
    };
    sockets::announce_listener(&listener, source);
    let faults = fault_commands::receive(options.reads_faults);
    let stop = shutdown_requested();
    let counters = milletpath_gateway::serve_with_faults(config, listener, links, stop, faults).await;
    tracing::info!(?counters, "stopped");
    Ok(ExitStatus::Success)
}
