//! Receives the datagrams of a control machine in batches of bounded size. A socket error causes a pause at most, and
//! never ends the process.

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of datagrams in a batch. The records that result from a batch are stored with one sync.
const MAX_DATAGRAMS_PER_BATCH: usize = 256;

/// Pause after an error that is not limited to one datagram.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Milliseconds to wait for space in the send buffer before a datagram is dropped.
const SEND_WAIT_MS: u8 = 10;

/// Socket operations, which tests replace with failing ones.
pub trait DatagramSocket {
    /// Puts the socket into nonblocking mode.
    fn set_nonblocking(&self) -> io::Result<()>;

    /// Waits until a datagram may be available, for at most `timeout`.
    fn wait(&self, timeout: Duration) -> io::Result<()>;

    /// Reads the next datagram without blocking.
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

/// Sends a datagram. If the send buffer is full, waits up to [`SEND_WAIT_MS`] and tries once more. A datagram that
/// cannot be sent is dropped.
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
    /// No more datagrams are available, or an error caused a pause.
    Drained,
    /// The batch reached [`MAX_DATAGRAMS_PER_BATCH`] reads; more datagrams may be available.
    Full,
}

/// Receives datagrams in batches.
pub struct Receiver<S> {
    socket: S,
    buffer: Vec<u8>,
    nonblocking: bool,
    /// Number of socket errors that were not limited to one datagram.
    errors: u64,
}

impl<S: DatagramSocket> Receiver<S> {
    /// Creates a receiver for datagrams of up to `max_bytes`. A larger datagram is truncated to `max_bytes + 1` bytes.
    pub fn new(socket: S, max_bytes: usize) -> Self {
        Self { socket, buffer: vec![0; max_bytes + 1], nonblocking: false, errors: 0 }
    }

    /// Waits up to `timeout` for datagrams, and passes those that are available to `handle`, up to the size of a batch.
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

    /// Counts and logs a socket error, and pauses, so that a persistent error does not use up a processor.
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

/// Whether an error means only that an earlier datagram was not delivered, or that a signal interrupted the call.
fn concerns_one_datagram(error: &io::Error) -> bool {
    let unreachable = [Errno::ECONNREFUSED, Errno::EHOSTUNREACH, Errno::ENETUNREACH, Errno::EINTR];
    error.raw_os_error().is_some_and(|code| unreachable.contains(&Errno::from_raw(code)))
}

#[cfg(test)]
mod tests;
