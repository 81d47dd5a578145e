//! The actions that a replica yields to its caller, and the records that it stores.

use crate::entry::Entry;
use crate::message::{Ballot, OutgoingMessage, Vote};
use minicbor::{Decode, Encode};

/// A record of a replica's log file. Records are appended in order, and [`Replica::new`](super::Replica::new) is given all
/// of them. The encoding is the format on disk; numbers never change their meaning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Record {
    /// First record of a new log, written when the operator initializes it. The replica votes from the start, as it cannot
    /// have lost any promise or vote.
    #[n(0)]
    Initialized,
    /// The replica was readmitted as a voter after it had lost its disk.
    #[n(1)]
    Readmitted,
    /// The replica promised this ballot.
    #[n(2)]
    Promised(#[n(0)] Ballot),
    /// The replica accepted this proposal.
    #[n(3)]
    Accepted(#[n(0)] Vote),
    /// The entry is chosen, and so are all before it.
    #[n(4)]
    Chosen(#[n(0)] Entry),
    /// An entry of the snapshot that the next [`SnapshotHead`](Self::SnapshotHead) completes; ignored if none follows.
    #[n(5)]
    SnapshotEntry(#[n(0)] Entry),
    /// Completes a snapshot, which consists of all snapshot entries since the previous snapshot head.
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

/// What the caller has to do next. Actions must be run in order, and a record must be durable before any later message is
/// sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the log file.
    Store(Record),
    /// Send a message.
    Send(OutgoingMessage),
}
