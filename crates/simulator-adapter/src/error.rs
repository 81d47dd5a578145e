//! Errors of the wire protocol. Every error ends the process, because it cannot resynchronise with the stream.

use std::io;
use thiserror::Error;

/// An error that prevents the process from answering its input.
#[derive(Debug, Error)]
pub enum WireError {
    /// Reading standard input failed.
    #[error("the input cannot be read: {0}")]
    Read(io::Error),
    /// Writing standard output failed.
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
        /// Frame length in the header.
        length: usize,
    },
    /// A header announces more records than its frame can hold.
    #[error("a frame of {length} bytes cannot hold {count} records")]
    TooManyRecords {
        /// Frame length in the header.
        length: usize,
        /// Number of records in the header.
        count: usize,
    },
    /// A field refers to bytes beyond the tail of its frame.
    #[error("a field points beyond its frame's tail")]
    BeyondTail,
    /// The byte length of a worker list overflows.
    #[error("the length of a worker list overflows")]
    ListTooLong,
    /// An event refers to a worker list that was never sent.
    #[error("worker list {0} was never sent")]
    UnknownList(u32),
    /// An unknown event code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// An unknown outcome code.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u16),
    /// An unknown mode of a list update.
    #[error("unknown list update mode {0}")]
    UnknownListMode(u8),
    /// An unknown state of a worker.
    #[error("unknown worker state {0}")]
    UnknownWorkerState(u8),
    /// A load report with more values than the wire format allows.
    #[error("a load report has too many values: {0}")]
    ReportTooLong(usize),
}
