//! Classifies errors of `accept` and `connect`, and sets the pauses between retries. An error that this machine caused
//! counts against no worker.

use nix::errno::Errno;
use std::io;
use std::time::Duration;

/// Why a connection could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// This one connection failed, or the call was interrupted; the next may succeed. Linux passes on network errors
    /// that are pending on a new connection (accept(2), "Error handling").
    Connection,
    /// This machine or process lacks something.
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
    /// This machine or process lacks something; the worker had no part in it.
    Local,
    /// The worker or the network refused it.
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

/// Growing pauses between attempts that fail in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const MIN_PAUSE: Duration = Duration::from_millis(5);
    const MAX_PAUSE: Duration = Duration::from_millis(100);
    /// Failed connections in a row that are accepted without a pause: each leaves one fewer in the queue.
    const IMMEDIATE_RETRIES: u32 = 64;

    /// How long to wait before the next attempt to accept.
    pub fn after_accept(&mut self, fault: AcceptFault) -> Duration {
        if fault == AcceptFault::Connection && self.failures < Self::IMMEDIATE_RETRIES {
            self.failures += 1;
            return Duration::ZERO;
        }
        // Attempts that had no pause do not lengthen the first one.
        self.failures = self.failures.max(Self::IMMEDIATE_RETRIES);
        self.next_pause(Self::IMMEDIATE_RETRIES)
    }

    /// How long to wait before the next attempt to connect.
    pub fn after_connect(&mut self) -> Duration {
        self.next_pause(0)
    }

    fn next_pause(&mut self, immediate_retries: u32) -> Duration {
        let doublings = self.failures.saturating_sub(immediate_retries).min(16);
        self.failures = self.failures.saturating_add(1);
        Self::MIN_PAUSE.saturating_mul(1 << doublings).min(Self::MAX_PAUSE)
    }

    /// An attempt succeeded: pauses begin with the shortest again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// Attempts to connect, and again after errors that this machine caused, with pauses of `max_wait` in all.
///
/// # Errors
///
/// That of the last attempt.
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
