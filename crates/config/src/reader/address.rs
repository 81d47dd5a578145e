//! IP addresses with a port, as settings and as names of gateways.

use std::net::SocketAddr;

/// Parses an IP address with a port; `None` if the text is anything else.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Whether other machines could connect to an address: it is not a wildcard address, and its port is not 0.
pub fn is_reachable(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// The name of a gateway that is derived from its address. Names must not contain the brackets of IPv6 addresses.
pub fn name_of_address(address: SocketAddr) -> String {
    address.to_string().replace(['[', ']'], "")
}
