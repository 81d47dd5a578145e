//! Errors that end a connection to a worker.

use crate::socket_errors::{self, FaultOrigin, Operation};
use milletpath_protocol::InputError;
use std::io;

/// Why a connection to a worker ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WorkerConnectionError {
    /// The worker closed the connection.
    #[error("the worker closed the connection")]
    ClosedByWorker,
    /// A system call failed and can't be retried.
    #[error("{operation:?} failed: {source}")]
    Io {
        /// The operation that failed.
        operation: Operation,
        /// The I/O error.
        source: io::Error,
    },
    /// A frame could not be decoded.
    #[error("the worker sent an invalid frame: {0}")]
    InvalidFrame(#[from] InputError),
    /// A health check got the response of an attempt or the other way around.
    #[error("the type of the worker's response does not match the frame it answers")]
    UnexpectedResponse,
    /// The memory budget is exhausted.
    #[error("the memory budget is exhausted, with part of a worker's response received")]
    NoMemory,
}

impl WorkerConnectionError {
    /// Whether the error was caused by the worker or the network path to it, or by this process or its host.
    pub fn origin(&self) -> FaultOrigin {
        match self {
            Self::Io { operation, source } => socket_errors::classify(*operation, source).origin,
            Self::NoMemory => FaultOrigin::Local,
            Self::ClosedByWorker | Self::InvalidFrame(_) | Self::UnexpectedResponse => FaultOrigin::Remote,
        }
    }
}
