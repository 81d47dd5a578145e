//! Classifies errors of system calls on connections to workers. Free of I/O. The table of
//! `docs/design/system-calls.md` states the same, and is tested against this line by line.

use milletpath_policy::Outcome;
use nix::errno::Errno;
use std::io::{self, ErrorKind};

/// The system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// `socket` and `connect`, up to the moment at which the connection stands.
    Connect,
    /// `read`, or a look without reading.
    Read,
    /// `write`.
    Write,
}

/// Whose fault an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultOrigin {
    /// This process or its host lacks something: it proves nothing about the worker.
    Local,
    /// The worker or the way to it.
    Remote,
}

/// What to do after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// The socket is not ready: wait until it is.
    AwaitReadiness,
    /// Nothing was lost: repeat the call after a pause.
    Retry,
    /// The connection is over.
    Close,
}

/// A classified error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Whose fault it is.
    pub origin: FaultOrigin,
    /// What to do.
    pub recovery: Recovery,
}

/// Classifies the error of a system call.
pub(crate) fn classify(operation: Operation, error: &io::Error) -> Fault {
    let errno = errno(error);
    match operation {
        Operation::Connect => classify_connect(errno),
        Operation::Read | Operation::Write => classify_transfer(errno),
    }
}

/// The number of an error; what the runtime made itself has none, only a kind.
fn errno(error: &io::Error) -> Errno {
    match (error.raw_os_error(), error.kind()) {
        (Some(raw), _) => Errno::from_raw(raw),
        (None, ErrorKind::WouldBlock) => Errno::EAGAIN,
        (None, ErrorKind::Interrupted) => Errno::EINTR,
        (None, ErrorKind::TimedOut) => Errno::ETIMEDOUT,
        (None, _) => Errno::EIO,
    }
}

fn classify_connect(errno: Errno) -> Fault {
    use Errno::{
        EADDRINUSE, EADDRNOTAVAIL, EAGAIN, ECONNABORTED, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE,
        ENOBUFS, ENOMEM,
    };
    match errno {
        EADDRINUSE | EADDRNOTAVAIL | EAGAIN | ECONNABORTED | EINTR | EMFILE | ENETDOWN | ENETUNREACH
        | ENFILE | ENOBUFS | ENOMEM => Fault { origin: FaultOrigin::Local, recovery: Recovery::Retry },
        _ => Fault { origin: FaultOrigin::Remote, recovery: Recovery::Close },
    }
}

fn classify_transfer(errno: Errno) -> Fault {
    use Errno::{
        EADDRNOTAVAIL, EAGAIN, ECONNABORTED, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
    };
    match errno {
        EAGAIN => Fault { origin: FaultOrigin::Local, recovery: Recovery::AwaitReadiness },
        EINTR | EMFILE | ENFILE | ENOBUFS | ENOMEM => {
            Fault { origin: FaultOrigin::Local, recovery: Recovery::Retry }
        }
        // The connection itself is over, by a decision of this host.
        EADDRNOTAVAIL | ECONNABORTED | ENETDOWN | ENETUNREACH => {
            Fault { origin: FaultOrigin::Local, recovery: Recovery::Close }
        }
        _ => Fault { origin: FaultOrigin::Remote, recovery: Recovery::Close },
    }
}

/// How a request ends whose connection is over: one of which the socket did not take every byte never ran, any other
/// may have.
pub(crate) fn outcome(origin: FaultOrigin, written_whole: bool) -> Outcome {
    match (origin, written_whole) {
        (FaultOrigin::Local, false) => Outcome::NotSent,
        (FaultOrigin::Remote, false) => Outcome::Unreachable,
        // The one end that may have run and is not counted as a fault of the worker.
        (FaultOrigin::Local, true) => Outcome::Cancelled,
        (FaultOrigin::Remote, true) => Outcome::ConnectionLost,
    }
}

#[cfg(test)]
mod tests;
