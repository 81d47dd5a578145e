//! What a replica asks its caller to do, and the records that it stores.

use crate::entry::Entry;
use crate::message::{Ballot, OutgoingMessage, Vote};
use minicbor::{Decode, Encode};

/// A record of a replica's log file. Records are appended in order, and [`Replica::new`](super::Replica::new) takes all
/// of them. The encoding is the stored form and never changes its meaning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Record {
    /// First record of a new log, which the operator's request to initialize it writes: the replica votes from the start,
    /// as it cannot have forgotten anything.
    #[n(0)]
    Initialized,
    /// The replica was readmitted after it had lost its disk.
    #[n(1)]
    Readmitted,
    /// It promised this ballot.
    #[n(2)]
    Promised(#[n(0)] Ballot),
    /// It accepted this proposal.
    #[n(3)]
    Accepted(#[n(0)] Vote),
    /// The entry is chosen, and all before it are applied.
    #[n(4)]
    Chosen(#[n(0)] Entry),
    /// An entry of the snapshot that the next [`SnapshotHead`](Self::SnapshotHead) completes; without effect if none follows.
    #[n(5)]
    SnapshotEntry(#[n(0)] Entry),
    /// Completes a snapshot: it consists of all snapshot entries since the last snapshot head.
    #[n(6)]
    SnapshotHead {
        /// Number of the last entry that the snapshot covers.
        #[n(0)]
        head: u64,
        /// Digest of the state at that number.
        #[n(1)]
        digest: u64,
    },
}

/// What to do next. Actions are carried out in order, and a record must be durable before any later message is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the log file.
    Store(Record),
    /// Send a message.
    Send(OutgoingMessage),
}
