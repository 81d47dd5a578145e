//! `milletpath serve`: reads the configuration, opens the sockets, and runs a gateway until the process is asked to end.
//!
//! 1. [`config_file`] reads the configuration; without a file, [`built_in_fleet`] starts emulated workers and gives one.
//! 2. [`run_gateway`] opens the sockets for clients, for other gateways and for changes of the configuration, and prints
//!    their addresses.
//! 3. [`milletpath_gateway::serve_with_faults`] serves. SIGTERM completes [`shutdown_requested`]; the gateway then finishes
//!    its open requests and returns.

mod fault_commands;

use crate::async_runtime::{self, RuntimeError};
use crate::built_in_fleet::{self, BuiltInFleetError};
use crate::config_file::{self, ConfigFileError};
use crate::exit_status::{CommandError, ExitStatus};
use crate::shutdown_signal::shutdown_requested;
use clap::Args;
use fault_commands::parse_injected_fault;
use milletpath_config::GatewayConfig;
use milletpath_gateway::{ConfigFeed, ControlThreadError, InjectedFault, Links, MembershipLink};
use milletpath_process_environment::listener::listen;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use tokio::net::TcpListener;

/// What `serve` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file; without it, a built-in configuration with emulated workers in this process
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: Option<PathBuf>,
    /// Threads that handle requests, in place of the number that the configuration sets
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=63))]
    cores: Option<u8>,
    /// Read faults to inject into cores from standard input, one a line
    #[arg(long = "inject-core-faults", alias = "stir", hide = true)]
    reads_faults: bool,
    /// A fault to run with, so that tests see that it is found
    #[arg(long = "inject-fault", alias = "plant", hide = true, value_parser = parse_injected_fault)]
    injected_fault: Option<InjectedFault>,
}

/// Why a gateway does not serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The emulated workers of the built-in configuration can't start.
    #[error(transparent)]
    BuiltInFleet(#[from] BuiltInFleetError),
    /// The runtime of the accepting thread can't start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The socket for clients can't be opened.
    #[error("{address} can't be listened on: {source}; change listen in the configuration")]
    Listen { address: SocketAddr, source: io::Error },
    /// The socket for membership and shared budgets can't be opened.
    #[error("the socket for other gateways can't be opened: {0}; change section peers of the configuration")]
    MembershipLink(#[source] ControlThreadError),
    /// The socket for changes of the configuration can't be opened.
    #[error(
        "the socket for configuration changes can't be opened: {0}; change section changes of the configuration"
    )]
    ConfigFeed(#[source] ControlThreadError),
}

impl CommandError for ServeError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            _ => ExitStatus::Failure,
        }
    }
}

/// Where the configuration came from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConfigSource {
    /// The file that the command line names.
    File,
    /// No file: the built-in configuration.
    BuiltIn,
}

/// Serves until the process is asked to end.
///
/// # Errors
///
/// The configuration can't be used, or a socket can't be opened.
pub fn run(options: &Options) -> Result<ExitStatus, ServeError> {
    let config = options.config_file.as_deref().map(config_file::read).transpose()?;
    async_runtime::block_on(async {
        match config {
            Some(config) => run_gateway(config, ConfigSource::File, options).await,
            None => run_gateway(built_in_fleet::start().await?, ConfigSource::BuiltIn, options).await,
        }
    })?
}

/// Opens the sockets and serves until the process is asked to end.
async fn run_gateway(
    mut config: GatewayConfig,
    source: ConfigSource,
    options: &Options,
) -> Result<ExitStatus, ServeError> {
    config.limits.cores = options.cores.map_or(config.limits.cores, usize::from);
    let listener = open_listener(config.listen, source)?;
    let links = Links {
        peers: open_membership_link(&config, options.injected_fault)?,
        changes: open_config_feed(&config)?,
    };
    announce_listener(&listener, source);
    let faults = fault_commands::receive(options.reads_faults);
    let stop = shutdown_requested();
    let counters = milletpath_gateway::serve_with_faults(config, listener, links, stop, faults).await;
    tracing::info!(?counters, "stopped");
    Ok(ExitStatus::Success)
}

/// Opens the socket for clients. The built-in configuration takes another port where its own is in use.
fn open_listener(address: SocketAddr, source: ConfigSource) -> Result<TcpListener, ServeError> {
    let opened = match listen(address) {
        Err(_) if source == ConfigSource::BuiltIn => listen((Ipv4Addr::LOCALHOST, 0).into()),
        opened => opened,
    };
    opened.map_err(|source| ServeError::Listen { address, source })
}

/// Opens the socket for membership and shared budgets, if the configuration has a section `peers`.
fn open_membership_link(
    config: &GatewayConfig,
    injected_fault: Option<InjectedFault>,
) -> Result<Option<MembershipLink>, ServeError> {
    let Some(settings) = &config.membership else { return Ok(None) };
    let link = MembershipLink::open(settings, injected_fault).map_err(ServeError::MembershipLink)?;
    if let Ok(address) = link.address() {
        tracing::info!(%address, "listening for other gateways");
        announce(&format!("peers on udp://{address}"));
    }
    Ok(Some(link))
}

/// Opens the socket for changes of the configuration, if it has a section `changes`.
fn open_config_feed(config: &GatewayConfig) -> Result<Option<ConfigFeed>, ServeError> {
    let Some(settings) = &config.config_log else { return Ok(None) };
    let feed = ConfigFeed::open(settings).map_err(ServeError::ConfigFeed)?;
    if let Ok(address) = feed.address() {
        tracing::info!(%address, "listening for configuration changes");
        announce(&format!("changes on udp://{address}"));
    }
    Ok(Some(feed))
}

/// Logs and prints where clients reach the gateway.
fn announce_listener(listener: &TcpListener, source: ConfigSource) {
    let Ok(address) = listener.local_addr() else { return };
    tracing::info!(%address, "listening for clients");
    announce(&format!("listening on http://{address}"));
    if source == ConfigSource::BuiltIn {
        announce(&format!("try: curl -d hello http://{address}/v1/functions/greet/activations"));
    }
}

/// Prints a line on standard output for the program that started this one, which learns the addresses by it. The gateway
/// serves also where nobody reads it.
fn announce(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}
