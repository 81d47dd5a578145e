//! Errors of the wire. Any of them ends the process, which has no way to recover its place in the stream.

use std::io;
use thiserror::Error;

/// Why the input cannot be answered.
#[derive(Debug, Error)]
pub enum WireError {
    /// Standard input failed.
    #[error("the input cannot be read: {0}")]
    Read(io::Error),
    /// Standard output failed.
    #[error("the output cannot be written: {0}")]
    Write(io::Error),
    /// The input ends before a frame's header is complete.
    #[error("the input ends within a frame's header")]
    TruncatedHeader,
    /// The input ends before a frame is complete.
    #[error("the input ends {read} bytes into a frame of {length}")]
    TruncatedFrame {
        /// Bytes that were read.
        read: usize,
        /// Length that the header states.
        length: usize,
    },
    /// A header states more records than its frame can hold.
    #[error("a frame of {length} bytes cannot hold {count} records")]
    TooManyRecords {
        /// Length that the header states.
        length: usize,
        /// Records that the header states.
        count: usize,
    },
    /// A field refers to bytes beyond the tail of its frame.
    #[error("a field points beyond its frame's tail")]
    BeyondTail,
    /// A worker list states more entries than can be addressed.
    #[error("a worker list of impossible length")]
    ListTooLong,
    /// An event refers to a worker list that was never sent.
    #[error("worker list {0} was never given")]
    UnknownList(u32),
    /// An unknown event code.
    #[error("{0} is no event")]
    UnknownEvent(u8),
    /// An unknown outcome code.
    #[error("{0} is no outcome")]
    UnknownOutcome(u16),
    /// An unknown mode of a list update.
    #[error("{0} is no kind of worker list")]
    UnknownListMode(u8),
    /// An unknown state of a worker.
    #[error("{0} is no state of a worker")]
    UnknownWorkerState(u8),
    /// A load report with more values than the wire has room for.
    #[error("a load report of {0} values")]
    ReportTooLong(usize),
}
