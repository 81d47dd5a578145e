//! Receives the datagrams of a control machine: all that are waiting, in batches of bounded length. An error of the socket
//! costs a pause, and never ends the process.

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of datagrams in a batch; what follows from a batch is stored with one sync.
const MAX_DATAGRAMS_PER_BATCH: usize = 256;

/// Pause after an error that does not concern one datagram.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Milliseconds for which a datagram waits for space in the send buffer before it is dropped.
const SEND_WAIT_MS: u8 = 10;

/// The operations of a socket, which tests replace by failing ones.
pub trait DatagramSocket {
    /// Makes reads return at once where no datagram is available.
    fn set_nonblocking(&self) -> io::Result<()>;

    /// Waits until a datagram may be available, for at most `timeout`.
    fn wait(&self, timeout: Duration) -> io::Result<()>;

    /// Reads the next datagram without waiting.
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

/// Sends a datagram; one that can't be sent is dropped.
pub fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    let sent = socket.send_to(datagram, to);
    if sent.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
        let _ = poll(&mut [PollFd::new(socket.as_fd(), PollFlags::POLLOUT)], PollTimeout::from(SEND_WAIT_MS));
        let _ = socket.send_to(datagram, to);
    }
}

/// Why a batch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEnd {
    /// No datagram is waiting any more.
    Drained,
    /// It has as many datagrams as a batch may have; more may be waiting.
    Full,
}

/// Receives datagrams in batches.
pub struct Receiver<S> {
    socket: S,
    buffer: Vec<u8>,
    nonblocking: bool,
    /// Errors of the socket that did not concern one datagram.
    errors: u64,
}

impl<S: DatagramSocket> Receiver<S> {
    /// A receiver of datagrams of at most `max_bytes`; a larger one is cut to one byte more.
    pub fn new(socket: S, max_bytes: usize) -> Self {
        Self { socket, buffer: vec![0; max_bytes + 1], nonblocking: false, errors: 0 }
    }

    /// Waits for datagrams for at most `timeout`, and passes all that are waiting to `handle`.
    pub fn receive(&mut self, timeout: Duration, mut handle: impl FnMut(&[u8], SocketAddr)) -> BatchEnd {
        if !self.nonblocking {
            match self.socket.set_nonblocking() {
                Ok(()) => self.nonblocking = true,
                Err(e) => return self.pause_after("the socket can't be made nonblocking", &e),
            }
        }
        match self.socket.wait(timeout) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return self.pause_after("waiting for datagrams failed", &e),
            Ok(()) => {}
        }
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((size, from)) => handle(&self.buffer[..size], from),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return BatchEnd::Drained;
                }
                Err(e) if concerns_one_datagram(&e) => {}
                Err(e) => return self.pause_after("reading datagrams failed", &e),
            }
        }
        BatchEnd::Full
    }

    /// Counts and logs an error of the socket, and pauses, so that one that stays costs no processor.
    fn pause_after(&mut self, operation: &str, error: &io::Error) -> BatchEnd {
        self.errors += 1;
        if milletpath_gateway::is_power_of_ten(self.errors) {
            let total = self.errors;
            tracing::error!(total, %error, "{operation}");
        }
        std::thread::sleep(ERROR_PAUSE);
        BatchEnd::Drained
    }
}

/// Whether an error means only that a datagram sent earlier did not arrive, or that a signal was handled.
fn concerns_one_datagram(error: &io::Error) -> bool {
    let unreachable = [Errno::ECONNREFUSED, Errno::EHOSTUNREACH, Errno::ENETUNREACH, Errno::EINTR];
    error.raw_os_error().is_some_and(|code| unreachable.contains(&Errno::from_raw(code)))
}

#[cfg(test)]
mod tests;
