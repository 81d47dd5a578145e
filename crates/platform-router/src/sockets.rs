//! The system calls on connections to workers, and `connect` to the discovery address, behind a trait: tests put errors,
//! short reads and short writes in place of the system's. Beside it a look at any socket without reading.

use crate::socket_errors::{self, Operation, Recovery};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::{TcpSocket, TcpStream};

/// A connection that is being made.
pub(crate) type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The calls that can fail. An implementation that gives [`io::ErrorKind::WouldBlock`] has cleared the readiness of the
/// stream, as those of the runtime do.
pub(crate) trait Sockets {
    /// Makes a connection.
    fn connect(&self, address: SocketAddr) -> Connecting;
    /// Reads what is there; 0 at the end of the stream.
    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize>;
    /// Writes what the socket takes, and returns how many bytes that were.
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The calls of the operating system.
pub(crate) struct SystemSockets;

impl Sockets for SystemSockets {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            socket.set_nodelay(true)?;
            socket.connect(address).await
        })
    }

    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
        stream.try_read(into)
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        stream.try_write(bytes)
    }
}

/// What can be read from a socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SocketState {
    /// Nothing now.
    Empty,
    /// Bytes.
    Readable,
    /// The other end has closed it, or it broke.
    Closed,
}

/// Looks at a socket without reading.
pub(crate) fn peek_socket(stream: &TcpStream) -> SocketState {
    let mut one = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut one) {
        Ok(0) => SocketState::Closed,
        Ok(_) => SocketState::Readable,
        // What fails for a local reason proves nothing about the peer.
        Err(e) if socket_errors::classify(Operation::Read, &e).recovery != Recovery::Close => {
            SocketState::Empty
        }
        Err(_) => SocketState::Closed,
    }
}

#[cfg(test)]
pub(crate) mod tests;
