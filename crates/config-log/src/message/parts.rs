//! Types of message fields.

use super::ballot::Ballot;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A replica's position in the log, as reported to the other replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Progress {
    /// Number up to which all entries are chosen and applied.
    #[n(0)]
    pub head: u64,
    /// Digest of the state at `head`.
    #[n(1)]
    pub digest: u64,
    /// Highest number at which it has accepted a proposal, or `head` if that is higher.
    #[n(2)]
    pub highest_accepted: u64,
    /// Highest ballot that it knows of.
    #[n(3)]
    pub ballot: Ballot,
    /// Whether it votes. A replica that lost its disk does not until it is readmitted, nor does one whose storage fails.
    #[n(4)]
    pub votes: bool,
}

/// The outcome of a proposed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Outcome {
    /// Chosen at this number, where it took effect.
    #[n(0)]
    Committed(#[n(0)] u64),
    /// Another entry is the current one of the key (this is its number, 0 for none), so the change has no effect and never
    /// will.
    #[n(1)]
    Superseded(#[n(0)] u64),
    /// Not known in time: the change may or may not be committed later. It can be proposed again with the same id.
    #[n(2)]
    Unknown,
    /// The key or the text exceeds its maximum size.
    #[n(3)]
    TooLarge,
    /// The configuration has no room for another key, or for the text.
    #[n(4)]
    Full,
    /// Too many changes are pending at this replica; the change was not proposed.
    #[n(5)]
    Busy,
    /// The key is empty, or the id is 0.
    #[n(6)]
    EmptyKey,
}

/// A follower's report that its gateway could not apply an entry. In JSON it is an array of number and reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode, Serialize, Deserialize)]
#[cbor(map)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct ApplyError {
    /// Number of the entry.
    #[n(0)]
    pub number: u64,
    /// Why it could not be applied, in plain text.
    #[n(1)]
    pub reason: String,
}

impl From<(u64, String)> for ApplyError {
    fn from((number, reason): (u64, String)) -> Self {
        Self { number, reason }
    }
}

impl From<ApplyError> for (u64, String) {
    fn from(error: ApplyError) -> Self {
        (error.number, error.reason)
    }
}
