//! IP addresses with a port, as settings and as names.

use std::net::SocketAddr;

/// An IP address with a port; none where the text is anything else.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Whether others could reach an address: one of a machine, with a port.
pub fn is_reachable(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// An address as the name of a gateway, in which brackets may not stand.
pub fn name_of_address(address: SocketAddr) -> String {
    address.to_string().replace(['[', ']'], "")
}
