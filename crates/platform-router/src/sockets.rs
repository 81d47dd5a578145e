//! The system calls on connections to workers, and `connect` to the bulletin, behind a trait: tests put errors, short reads and short writes in place
//! of the system's answers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::{TcpSocket, TcpStream};

/// A connection that is being made.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The calls that can fail. An implementation that gives [`io::ErrorKind::WouldBlock`] has cleared the readiness of the
/// stream, as those of the runtime do.
pub trait Sockets {
    fn connect(&self, address: SocketAddr) -> Connecting;
    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize>;
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The calls of the operating system.
pub struct SystemSockets;

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

#[cfg(test)]
pub mod tests;
