//! Listening sockets for client connections.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted. The kernel applies its own limit if that is lower.
pub const ACCEPT_QUEUE_LENGTH: u32 = 16_384;

/// Binds a socket to `address` and listens on it. Must be called within a Tokio runtime.
///
/// Connections that arrive while the process is suspended wait in the kernel. With the usual queue length of 128, the
/// kernel would drop all further ones, and their clients would retry only a second later.
///
/// # Errors
///
/// Returns the errors of `socket`, `bind` and `listen`, for example if the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}
