//! Classifies errors of `accept` and `connect`, and computes the pauses between retries. Errors caused by this machine
//! are not attributed to a worker.

use nix::errno::Errno;
use std::io;
use std::time::Duration;

/// Why a connection could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// Only this connection failed, or the system call was interrupted; the next accept may succeed. Linux passes on
    /// network errors that are pending on a new connection (accept(2), "Error handling").
    Connection,
    /// This machine or process lacks resources.
    Resources,
}

impl AcceptFault {
    /// Classifies an error of `accept`.
    pub fn of(error: &io::Error) -> Self {
        match errno(error) {
            Some(
                Errno::ECONNABORTED
                | Errno::ECONNRESET
                | Errno::EHOSTDOWN
                | Errno::EHOSTUNREACH
                | Errno::EINTR
                | Errno::ENETDOWN
                | Errno::ENETUNREACH
                | Errno::ENONET
                | Errno::ENOPROTOOPT
                | Errno::EOPNOTSUPP
                | Errno::EPERM
                | Errno::EPROTO
                | Errno::ETIMEDOUT,
            ) => Self::Connection,
            _ => Self::Resources,
        }
    }
}

/// Why a connection to a worker could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// A fault of this machine or process that does not involve the worker, such as a lack of resources.
    Local,
    /// The worker or the network refused the connection.
    Worker,
}

impl ConnectFault {
    /// Classifies an error of `connect`.
    pub fn of(error: &io::Error) -> Self {
        match errno(error) {
            Some(
                Errno::EACCES
                | Errno::EADDRINUSE
                | Errno::EADDRNOTAVAIL
                | Errno::EAFNOSUPPORT
                | Errno::EAGAIN
                | Errno::ECONNABORTED
                | Errno::EINTR
                | Errno::EMFILE
                | Errno::ENETDOWN
                | Errno::ENETUNREACH
                | Errno::ENFILE
                | Errno::ENOBUFS
                | Errno::ENOMEM
                | Errno::EPERM,
            ) => Self::Local,
            _ => Self::Worker,
        }
    }
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Exponentially growing pauses between consecutive failures.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const MIN_PAUSE: Duration = Duration::from_millis(5);
    const MAX_PAUSE: Duration = Duration::from_millis(100);
    /// Number of consecutive failed connections for which `accept` is retried without a pause. Each of them removes one
    /// connection from the accept queue.
    const IMMEDIATE_RETRIES: u32 = 64;

    /// Returns how long to wait before the next `accept`.
    pub fn after_accept(&mut self, fault: AcceptFault) -> Duration {
        if fault == AcceptFault::Connection && self.failures < Self::IMMEDIATE_RETRIES {
            self.failures += 1;
            return Duration::ZERO;
        }
        // Retries without a pause do not lengthen the first pause.
        self.failures = self.failures.max(Self::IMMEDIATE_RETRIES);
        self.next_pause(Self::IMMEDIATE_RETRIES)
    }

    /// Returns how long to wait before the next `connect`.
    pub fn after_connect(&mut self) -> Duration {
        self.next_pause(0)
    }

    fn next_pause(&mut self, immediate_retries: u32) -> Duration {
        let doublings = self.failures.saturating_sub(immediate_retries).min(16);
        self.failures = self.failures.saturating_add(1);
        Self::MIN_PAUSE.saturating_mul(1 << doublings).min(Self::MAX_PAUSE)
    }

    /// Resets the pauses to the shortest one after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// Connects, and retries after errors caused by this machine. The pauses between retries add up to at most `max_wait`.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub async fn connect<T>(
    max_wait: Duration,
    mut attempt: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let (mut backoff, mut wait_left) = (Backoff::default(), max_wait);
    loop {
        let error = match attempt().await {
            Ok(connected) => return Ok(connected),
            Err(error) => error,
        };
        let pause = backoff.after_connect();
        if ConnectFault::of(&error) == ConnectFault::Worker || pause > wait_left {
            return Err(error);
        }
        wait_left -= pause;
        tokio::time::sleep(pause).await;
    }
}

#[cfg(test)]
mod tests;
