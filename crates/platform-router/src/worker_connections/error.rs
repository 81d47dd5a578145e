//! Why a connection to a worker is over.

use crate::socket_errors::{self, FaultOrigin, Operation};
use milletpath_protocol::InputError;
use std::io;

/// Why a connection to a worker is over.
#[derive(Debug, thiserror::Error)]
pub(super) enum WorkerConnectionError {
    /// The worker closed its end.
    #[error("the worker closed the connection")]
    ClosedByWorker,
    /// A system call failed for good.
    #[error("{operation:?} failed: {source}")]
    Io {
        /// Which call.
        operation: Operation,
        /// Its error.
        source: io::Error,
    },
    /// A frame can't be read.
    #[error("the worker sent an invalid frame: {0}")]
    InvalidFrame(#[from] InputError),
    /// A health check was answered like an attempt, or the reverse.
    #[error("the worker's response is of another kind than the frame it answers")]
    UnexpectedResponse,
    /// The memory budget is used up.
    #[error("no memory is left for the worker's response")]
    NoMemory,
}

impl WorkerConnectionError {
    /// Whether the worker or the way to it is at fault, or this process or its host.
    pub fn origin(&self) -> FaultOrigin {
        match self {
            Self::Io { operation, source } => socket_errors::classify(*operation, source).origin,
            Self::NoMemory => FaultOrigin::Local,
            Self::ClosedByWorker | Self::InvalidFrame(_) | Self::UnexpectedResponse => FaultOrigin::Remote,
        }
    }
}
