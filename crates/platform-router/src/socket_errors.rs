//! Classifies errors of system calls on worker connections. Performs no I/O. The table in
//! `docs/design/system-calls.md` documents the same classification, and a test compares the two line by line.

use milletpath_policy::Outcome;
use nix::errno::Errno;
use std::io::{self, ErrorKind};

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// `socket` and `connect`, until the connection is established.
    Connect,
    /// `read`, or a peek.
    Read,
    /// `write`.
    Write,
}

/// Which side caused an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultOrigin {
    /// This process or its host, for example by a lack of resources. Says nothing about the worker.
    Local,
    /// The worker or the network path to it.
    Remote,
}

/// How to proceed after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// The socket is not ready: wait for readiness.
    AwaitReadiness,
    /// No data was lost: retry after a pause.
    Retry,
    /// The connection is unusable.
    Close,
}

/// The classification of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Which side caused the error.
    pub origin: FaultOrigin,
    /// How to proceed.
    pub recovery: Recovery,
}

/// Classifies the error of an operation.
pub(crate) fn classify(operation: Operation, error: &io::Error) -> Fault {
    let errno = errno(error);
    match operation {
        Operation::Connect => classify_connect(errno),
        Operation::Read | Operation::Write => classify_transfer(errno),
    }
}

/// The errno of an error. Errors created by the runtime have only a kind, which is mapped to an errno.
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
        // The connection was ended by this host.
        EADDRNOTAVAIL | ECONNABORTED | ENETDOWN | ENETUNREACH => {
            Fault { origin: FaultOrigin::Local, recovery: Recovery::Close }
        }
        _ => Fault { origin: FaultOrigin::Remote, recovery: Recovery::Close },
    }
}

/// The outcome of an attempt whose connection has ended. If the socket did not accept all of its bytes, it never ran;
/// otherwise it may have.
pub(crate) fn outcome(origin: FaultOrigin, written_whole: bool) -> Outcome {
    match (origin, written_whole) {
        (FaultOrigin::Local, false) => Outcome::NotSent,
        (FaultOrigin::Remote, false) => Outcome::Unreachable,
        // The only outcome of an attempt that may have run that does not count against the worker.
        (FaultOrigin::Local, true) => Outcome::Cancelled,
        (FaultOrigin::Remote, true) => Outcome::ConnectionLost,
    }
}

#[cfg(test)]
mod tests;
