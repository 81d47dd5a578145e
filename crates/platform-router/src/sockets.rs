//! System calls on worker connections, and `connect` to the discovery address, behind a trait that lets tests inject
//! errors, short reads and short writes. Also provides a peek for any socket.

use crate::socket_errors::{self, Operation, Recovery};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::{TcpSocket, TcpStream};

/// A connection attempt in progress.
pub(crate) type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// System calls that can fail. An implementation that returns [`io::ErrorKind::WouldBlock`] must have cleared the
/// readiness of the stream, as Tokio's methods do.
pub(crate) trait Sockets {
    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> Connecting;
    /// Reads available bytes; returns 0 at the end of the stream.
    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize>;
    /// Writes as many bytes as the socket accepts and returns their number.
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The system calls of the operating system.
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

/// The system calls of the operating system, also on sockets that the runtime does not know to be ready. It looks at
/// sockets only between tasks, and not at all at a new one before that.
pub(crate) struct DirectSockets;

impl Sockets for DirectSockets {
    fn connect(&self, address: SocketAddr) -> Connecting {
        SystemSockets.connect(address)
    }

    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
        match stream.try_read(into) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => (&*SockRef::from(stream)).read(into),
            result => result,
        }
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        match stream.try_write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => (&*SockRef::from(stream)).write(bytes),
            result => result,
        }
    }
}

/// What a peek found on a socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SocketState {
    /// No unread bytes.
    Empty,
    /// Unread bytes.
    Readable,
    /// The peer has closed the connection, or it failed.
    Closed,
}

/// Checks a socket without reading from it.
pub(crate) fn peek_socket(stream: &TcpStream) -> SocketState {
    let mut one = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut one) {
        Ok(0) => SocketState::Closed,
        Ok(_) => SocketState::Readable,
        // A local error says nothing about the peer.
        Err(e) if socket_errors::classify(Operation::Read, &e).recovery != Recovery::Close => {
            SocketState::Empty
        }
        Err(_) => SocketState::Closed,
    }
}

#[cfg(test)]
pub(crate) mod tests;
