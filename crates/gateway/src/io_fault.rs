//! What an error of `accept` or `connect` says, and about whom. An error for a reason of this machine's own counts
//! against no worker, and nothing is tried again without a pause that grows.

use nix::errno::Errno;
use std::io;
use std::time::Duration;

/// Why a connection could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// That one connection is gone, or the call was interrupted: the next may be there. Linux passes on network errors
    /// that are pending on a new connection (accept(2), "Error handling").
    Connection,
    /// This machine or process lacks something.
    Resources,
}

impl AcceptFault {
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
    /// For a reason of this machine's own: nothing was asked of the worker.
    Local,
    /// The worker, or the way to it, gave no connection.
    Worker,
}

impl ConnectFault {
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

/// The pauses between attempts that fail in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const FIRST: Duration = Duration::from_millis(5);
    const LONGEST: Duration = Duration::from_millis(100);
    /// Connections in a row that may be gone before there is a pause: there is one fewer of them each time.
    const IMMEDIATE_RETRIES: u32 = 64;

    /// How long to wait before the next attempt to accept.
    pub fn after_accept(&mut self, fault: AcceptFault) -> Duration {
        if fault == AcceptFault::Connection && self.failures < Self::IMMEDIATE_RETRIES {
            self.failures += 1;
            return Duration::ZERO;
        }
        // What a connection had for nothing is no reason for a longer pause.
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
        Self::FIRST.saturating_mul(1 << doublings).min(Self::LONGEST)
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// Attempts to connect, and again where that fails for a reason of this machine's own, for `patience` at most.
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
