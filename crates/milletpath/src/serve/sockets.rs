//! The sockets of a gateway: for clients, for other gateways, and for configuration changes. Their addresses are
//! logged, and printed on standard output for a parent process.

use milletpath_config::GatewayConfig;
use milletpath_gateway::{ConfigFeed, ControlThreadError, InjectedFault, MembershipLink};
use milletpath_process_environment::listener::listen;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Why a socket cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The address for clients is in use, or is not an address of this host.
    #[error("{address} can't be listened on: {source}; change listen in the configuration")]
    Listen { address: SocketAddr, source: io::Error },
    /// The socket for membership and shared budgets cannot be opened, or its key cannot be used.
    #[error("the socket for other gateways can't be opened: {0}; change section peers of the configuration")]
    MembershipLink(#[source] ControlThreadError),
    /// The socket for configuration changes cannot be opened, or its key cannot be used.
    #[error(
        "the socket for configuration changes can't be opened: {0}; change section changes of the configuration"
    )]
    ConfigFeed(#[source] ControlThreadError),
}

/// Origin of the configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// A file named on the command line.
    File,
    /// The built-in configuration, used without a file.
    BuiltIn,
}

/// Opens the socket for clients. With the built-in configuration, a port assigned by the operating system is used if
/// the configured address is not available.
pub fn open_listener(address: SocketAddr, source: ConfigSource) -> Result<TcpListener, SocketError> {
    let opened = match listen(address) {
        Err(_) if source == ConfigSource::BuiltIn => listen((Ipv4Addr::LOCALHOST, 0).into()),
        opened => opened,
    };
    opened.map_err(|source| SocketError::Listen { address, source })
}

/// Opens the socket for membership and shared budgets, if the configuration has a section `peers`.
pub fn open_membership_link(
    config: &GatewayConfig,
    injected_fault: Option<InjectedFault>,
) -> Result<Option<MembershipLink>, SocketError> {
    let Some(settings) = &config.membership else { return Ok(None) };
    let link = MembershipLink::open(settings, injected_fault).map_err(SocketError::MembershipLink)?;
    if let Ok(address) = link.address() {
        tracing::info!(%address, "listening for other gateways");
        announce(&format!("peers on udp://{address}"));
    }
    Ok(Some(link))
}

/// Opens the socket for configuration changes, if the configuration has a section `changes`.
pub fn open_config_feed(config: &GatewayConfig) -> Result<Option<ConfigFeed>, SocketError> {
    let Some(settings) = &config.config_log else { return Ok(None) };
    let feed = ConfigFeed::open(settings).map_err(SocketError::ConfigFeed)?;
    if let Ok(address) = feed.address() {
        tracing::info!(%address, "listening for configuration changes");
        announce(&format!("changes on udp://{address}"));
    }
    Ok(Some(feed))
}

/// Logs and prints the address for clients.
pub fn announce_listener(listener: &TcpListener, source: ConfigSource) {
    let Ok(address) = listener.local_addr() else { return };
    tracing::info!(%address, "listening for clients");
    announce(&format!("listening on http://{address}"));
    if source == ConfigSource::BuiltIn {
        announce(&format!("try: curl -d hello http://{address}/v1/functions/greet/activations"));
    }
}

/// Prints a line on standard output, from which a parent process learns the addresses. A failed write is ignored,
/// because the gateway must also serve when nobody reads its output.
fn announce(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}
