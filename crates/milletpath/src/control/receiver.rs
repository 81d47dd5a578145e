//! Datagrams as a control machine receives them: all that wait, in a turn of bounded length. An error of the socket
//! costs a pause, and never the process.

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

/// Datagrams read in a row before what follows from them is stored, once for all, and sent.
pub const TURN: usize = 256;

/// How long a thread rests after an error that is not of one datagram.
const PAUSE: Duration = Duration::from_millis(50);

/// How long a datagram waits for room in the socket's buffer, after which it is as if lost on its way.
const SEND_WAIT_MS: u8 = 10;

/// What of a socket can fail.
pub trait DatagramSocket {
    fn set_nonblocking(&self) -> io::Result<()>;

    /// Waits until a datagram may be there, or so long.
    fn wait(&self, timeout: Duration) -> io::Result<()>;

    /// The next datagram, at once.
    fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

impl DatagramSocket for Arc<UdpSocket> {
    fn set_nonblocking(&self) -> io::Result<()> {
        UdpSocket::set_nonblocking(self, true)
    }

    fn wait(&self, timeout: Duration) -> io::Result<()> {
        let milliseconds = u16::try_from(timeout.as_millis()).unwrap_or(u16::MAX).max(1);
        poll(&mut [PollFd::new(self.as_fd(), PollFlags::POLLIN)], milliseconds)?;
        Ok(())
    }

    fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer)
    }
}

/// Sends a datagram; one that can't be sent is as if lost on its way.
pub fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    let full = |sent: &io::Result<usize>| sent.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    if full(&socket.send_to(datagram, to)) {
        let _ = poll(&mut [PollFd::new(socket.as_fd(), PollFlags::POLLOUT)], PollTimeout::from(SEND_WAIT_MS));
        let _ = socket.send_to(datagram, to);
    }
}

/// Whether a turn read all that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Drained,
    /// More may wait.
    Full,
}

pub struct Receiver<S> {
    socket: S,
    buffer: Vec<u8>,
    nonblocking: bool,
    /// Errors of the socket that were not of one datagram.
    errors: u64,
}

impl<S: DatagramSocket> Receiver<S> {
    /// For datagrams of so many bytes; a larger one shows by one more.
    pub fn new(socket: S, largest: usize) -> Self {
        Self { socket, buffer: vec![0; largest + 1], nonblocking: false, errors: 0 }
    }

    /// Waits for a datagram for so long, and takes all that are there.
    pub fn receive(&mut self, timeout: Duration, mut take: impl FnMut(&[u8], SocketAddr)) -> Turn {
        if !self.nonblocking {
            match self.socket.set_nonblocking() {
                Ok(()) => self.nonblocking = true,
                Err(e) => return self.pause("the socket can't be set up", &e),
            }
        }
        match self.socket.wait(timeout) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return self.pause("messages can't be waited for", &e),
            Ok(()) => {}
        }
        for _ in 0..TURN {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((size, from)) => take(&self.buffer[..size], from),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Turn::Drained;
                }
                Err(e) if concerns_one_datagram(&e) => {}
                Err(e) => return self.pause("messages can't be read", &e),
            }
        }
        Turn::Full
    }

    fn pause(&mut self, what: &str, error: &io::Error) -> Turn {
        self.errors += 1;
        if milletpath_gateway::is_power_of_ten(self.errors) {
            tracing::error!(all = self.errors, "{what}: {error}");
        }
        std::thread::sleep(PAUSE);
        Turn::Drained
    }
}

/// Whether an error says only that a datagram sent earlier did not arrive, or that a signal came.
fn concerns_one_datagram(error: &io::Error) -> bool {
    let unreachable = [Errno::ECONNREFUSED, Errno::EHOSTUNREACH, Errno::ENETUNREACH, Errno::EINTR];
    error.raw_os_error().is_some_and(|code| unreachable.contains(&Errno::from_raw(code)))
}

#[cfg(test)]
mod tests;
