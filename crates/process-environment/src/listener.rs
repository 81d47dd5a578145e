//! Listening sockets for client connections.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted; the kernel uses its own limit where that is lower.
pub const ACCEPT_QUEUE_LENGTH: u32 = 16_384;

/// Binds and listens on `address`; must run within a Tokio runtime.
///
/// Connections that arrive while the process is suspended wait in the kernel. With the usual queue of 128 the others
/// would be dropped, and a dropped client tries again only a second later.
///
/// # Errors
///
/// Those of `socket`, `bind` and `listen`, for example that the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}
