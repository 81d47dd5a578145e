//! What passes between authors, replicas and followers: what stands in one datagram, how it is sealed and opened.
//!
//! A datagram is a version, a seal of 16 bytes (a keyed hash over the rest) and a body with numbered fields. A field that
//! is not known is skipped, a kind that is not known is passed over, a number never changes its meaning: old and new
//! programs stand side by side.

use crate::entry::{Change, Entry, LoggedEntry};
use minicbor::decode::Decoder;
use minicbor::{Decode, Encode};
use std::fmt;

/// The version that is written. All from 1 on are read.
pub const VERSION: u8 = 1;

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as MAX_DATAGRAM_BYTES;

/// Bytes of a follower's name.
pub const MAX_FOLLOWER_NAME_BYTES: usize = 64;

/// Bytes of a reason why a gateway could not apply an entry.
pub const MAX_APPLY_ERROR_BYTES: usize = 200;

/// Bytes of a reason why a change is denied.
pub const MAX_DENIAL_BYTES: usize = 1000;

/// Bytes that entries may take in one datagram: what is left beside a seal and the other fields of the largest reply.
pub const MAX_ENTRIES_BYTES: usize = 1200;

/// Numbers of entries and ballots are below this: a garbled or hostile one can't stop the count.
const NUMBER_LIMIT: u64 = 1 << 56;

/// Numbers in a promise: with them and the longest entry it still passes in one datagram.
const MAX_PROMISED_SLOTS: usize = 64;

/// Which attempt to lead a replica follows: grows; its last three bits are the number of the replica that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Ballot(#[n(0)] pub u64);

impl Ballot {
    /// The lowest of that replica's that is above this one.
    pub fn above(self, owner: usize) -> Self {
        Self((((self.0 >> 3) + 1) << 3) | owner as u64)
    }

    /// Far below where counting up would end.
    fn fits(self) -> bool {
        self.0 < NUMBER_LIMIT
    }

    pub fn owner(self) -> usize {
        (self.0 & 7) as usize
    }
}

/// What an acceptor accepted at a number and has not learnt to be chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Vote {
    #[n(0)]
    pub number: u64,
    #[n(1)]
    pub ballot: Ballot,
    #[n(2)]
    pub change: Change,
}

impl Vote {
    fn fits(&self) -> bool {
        self.ballot.fits() && self.number < NUMBER_LIMIT && self.change.fits()
    }
}

/// How a replica stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Progress {
    /// Up to this number all is chosen and applied, and the digest of what is then in force.
    #[n(0)]
    pub head: u64,
    #[n(1)]
    pub digest: u64,
    /// The highest number that it accepted anything at, or its head.
    #[n(2)]
    pub highest_accepted: u64,
    /// The highest ballot that it promised.
    #[n(3)]
    pub ballot: Ballot,
    /// Whether it votes: one without a disk does not until it was taken in again.
    #[n(4)]
    pub votes: bool,
}

/// What became of a proposed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Outcome {
    /// It is chosen at that number, and changed what is in force from there on.
    #[n(0)]
    Committed(#[n(0)] u64),
    /// Another entry stood under the key (that number, 0 for none): it changed nothing and never will.
    #[n(1)]
    Superseded(#[n(0)] u64),
    /// Not known in time: it may yet be committed, or never. The same change, with the same id, can be proposed again.
    #[n(2)]
    Unknown,
    /// Key or text is longer than its bound.
    #[n(3)]
    TooLarge,
    /// There is no room for one more key, or for so much text.
    #[n(4)]
    Full,
    /// Too many changes wait at this replica; it was not proposed.
    #[n(5)]
    Busy,
    /// The key is empty.
    #[n(6)]
    EmptyKey,
}

/// A follower's word that its gateway could not apply an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct ApplyError {
    #[n(0)]
    pub number: u64,
    #[n(1)]
    pub reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub enum Message {
    /// An author proposes a change (a replica passes it on in the same form).
    #[n(1)]
    Propose {
        #[n(0)]
        change: Change,
    },
    /// What became of the change with that id.
    #[n(2)]
    ProposalResult {
        #[n(0)]
        id: u64,
        #[n(1)]
        outcome: Outcome,
    },
    /// What stands under a key?
    #[n(3)]
    Get {
        #[n(0)]
        key: String,
    },
    /// `number` 0: nothing ever stood there. `text` none: nothing stands there now. `confirmed_age_ms`: milliseconds since a majority
    /// knew of nothing beyond `head`, none for never.
    #[n(4)]
    GetReply {
        #[n(0)]
        key: String,
        #[n(1)]
        number: u64,
        #[n(2)]
        text: Option<String>,
        #[n(3)]
        head: u64,
        #[n(4)]
        confirmed_age_ms: Option<u64>,
    },
    /// An operator asks for a replica's view; one page at a time, all of one `query_id` from the same moment.
    #[n(5)]
    StatusRequest {
        #[n(0)]
        query_id: u64,
        #[n(1)]
        page: u32,
    },
    /// A page of the view as JSON.
    #[n(6)]
    StatusPage {
        #[n(0)]
        query_id: u64,
        #[n(1)]
        page: u32,
        #[n(2)]
        page_count: u32,
        #[cbor(n(3), with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// A replica wants to lead under this ballot. `attempt` is drawn by chance and comes back, so that an answer to a
    /// former process under the same ballot doesn't count.
    #[n(7)]
    Prepare {
        #[n(0)]
        ballot: Ballot,
        #[n(1)]
        attempt: u64,
    },
    /// It is followed from now on, and nothing below it. `slots`: all numbers above its head at which the sender
    /// accepted; `vote`: what, at one of these. `votes` false: it has no disk, and promises nothing.
    #[n(8)]
    Promise {
        #[n(0)]
        ballot: Ballot,
        #[n(1)]
        attempt: u64,
        #[n(2)]
        votes: bool,
        #[n(3)]
        head: u64,
        #[n(4)]
        slots: Vec<u64>,
        #[n(5)]
        vote: Option<Vote>,
    },
    /// To be accepted at that number under that ballot.
    #[n(9)]
    Accept {
        #[n(0)]
        vote: Vote,
    },
    /// The sender accepted what that ballot's owner proposed at that number.
    #[n(10)]
    Accepted {
        #[n(0)]
        ballot: Ballot,
        #[n(1)]
        number: u64,
    },
    /// The sender promised this higher ballot.
    #[n(11)]
    Preempted {
        #[n(0)]
        ballot: Ballot,
    },
    /// How do you stand? `request_id` comes back.
    #[n(12)]
    Heartbeat {
        #[n(0)]
        request_id: u64,
        #[n(1)]
        progress: Progress,
    },
    #[n(13)]
    HeartbeatReply {
        #[n(0)]
        request_id: u64,
        #[n(1)]
        progress: Progress,
    },
    /// What is there after this number? Answered by so many pages at most, of the log or, where that doesn't reach
    /// back so far, of what is in force.
    #[n(14)]
    Fetch {
        #[n(0)]
        after: u64,
        #[n(1)]
        pages: u8,
        /// Pages of what is in force are wanted in any case.
        #[n(2)]
        snapshot: bool,
    },
    /// Entries of the log that follow each other, each with the digest after it.
    #[n(15)]
    LogEntries {
        #[n(0)]
        entries: Vec<LoggedEntry>,
    },
    /// Of the entries that are in force all with numbers above `after` and up to `through`. Where `through` is `head`, that
    /// was the last page, and the digest is that of all that is in force at the head.
    #[n(16)]
    SnapshotPage {
        #[n(0)]
        after: u64,
        #[n(1)]
        through: u64,
        #[n(2)]
        entries: Vec<Entry>,
        #[n(3)]
        head: u64,
        #[n(4)]
        digest: u64,
    },
    /// A follower tells how it stands and asks what is new. `about`: a number at which it wants to know the digest, 0
    /// for none. `request_id` comes back.
    #[n(17)]
    Poll {
        #[n(0)]
        name: String,
        #[n(1)]
        number: u64,
        #[n(2)]
        digest: u64,
        #[n(3)]
        queried_number: u64,
        #[n(4)]
        request_id: u64,
        #[n(5)]
        apply_error: Option<ApplyError>,
    },
    /// `confirmed_age_ms`: milliseconds since a majority knew of nothing beyond `head`, none for never. `entries`: what follows the
    /// follower's number, as far as it has room; none although the head is further on where the log doesn't reach back.
    #[n(18)]
    PollReply {
        #[n(0)]
        request_id: u64,
        #[n(1)]
        head: u64,
        #[n(2)]
        digest: u64,
        #[n(3)]
        confirmed_age_ms: Option<u64>,
        /// The digest at the number that was asked queried_digest, where it is known.
        #[n(4)]
        queried_digest: Option<u64>,
        #[n(5)]
        entries: Vec<LoggedEntry>,
    },
    /// An entry as soon as it is committed.
    #[n(19)]
    Push {
        #[n(0)]
        logged: LoggedEntry,
    },
    /// A control machine's shell tells an author why it doesn't take his change: its charter can't have it. Replicas and
    /// followers pass it over.
    #[n(20)]
    ChangeDenied {
        #[n(0)]
        id: u64,
        #[n(1)]
        reason: String,
    },
}

/// The highest kind that this program knows.
const LAST_KIND: u32 = 20;

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_BYTES`], or too small for a seal.
    InvalidSize,
    /// Of a version that this program does not read.
    UnsupportedVersion(u8),
    /// Sealed with another key, or changed on its way.
    InvalidTag,
    /// Sealed rightly, but of a kind that this program does not know.
    UnknownKind(u32),
    /// Sealed rightly, but it can't be read or breaks a bound.
    InvalidBody,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidSize => write!(f, "no message has this size"),
            Self::UnsupportedVersion(v) => write!(f, "its version {v} is not read here"),
            Self::InvalidTag => write!(f, "its seal is of another key"),
            Self::UnknownKind(k) => write!(f, "its kind {k} is not known here"),
            Self::InvalidBody => write!(f, "it can't be read"),
        }
    }
}

impl From<milletpath_sealed_datagram::OpenError> for OpenError {
    fn from(reason: milletpath_sealed_datagram::OpenError) -> Self {
        match reason {
            milletpath_sealed_datagram::OpenError::InvalidSize => Self::InvalidSize,
            milletpath_sealed_datagram::OpenError::UnsupportedVersion(version) => {
                Self::UnsupportedVersion(version)
            }
            milletpath_sealed_datagram::OpenError::InvalidTag => Self::InvalidTag,
        }
    }
}

/// The key of a fleet's control, from the secret that control machines, gateways and authors share.
#[derive(Clone, Debug)]
pub struct Key(milletpath_sealed_datagram::Key);

impl Key {
    /// `secret` should have 32 bytes of chance or more.
    pub fn new(secret: &[u8]) -> Self {
        Self(milletpath_sealed_datagram::Key::new("milletpath 2026-12 changes of configuration", secret))
    }
}

/// Makes a datagram; none where it would be too large.
pub fn seal(key: &Key, message: &Message) -> Option<Vec<u8>> {
    key.0.seal(VERSION, &minicbor::to_vec(message).ok()?).ok()
}

/// Reads a datagram.
pub fn open(key: &Key, datagram: &[u8]) -> Result<Message, OpenError> {
    let body = key.0.open(datagram)?;
    let mut head = Decoder::new(body);
    let kind = head.array().and_then(|_| head.u32()).map_err(|_| OpenError::InvalidBody)?;
    if kind == 0 || kind > LAST_KIND {
        return Err(OpenError::UnknownKind(kind));
    }
    let message: Message = minicbor::decode(body).map_err(|_| OpenError::InvalidBody)?;
    if message.fits() { Ok(message) } else { Err(OpenError::InvalidBody) }
}

impl Message {
    /// Whether all that it carries keeps its bounds. A change that an author proposes may break them: he is told.
    pub fn fits(&self) -> bool {
        let logged = |all: &[LoggedEntry]| all.iter().all(|l| l.entry.change.fits());
        match self {
            Self::Promise { ballot, slots, vote, .. } => {
                ballot.fits() && slots.len() <= MAX_PROMISED_SLOTS && vote.as_ref().is_none_or(Vote::fits)
            }
            Self::Accept { vote } => vote.fits(),
            Self::Prepare { ballot, .. } | Self::Preempted { ballot } => ballot.fits(),
            Self::Accepted { ballot, number } => ballot.fits() && *number < NUMBER_LIMIT,
            Self::Heartbeat { progress, .. } | Self::HeartbeatReply { progress, .. } => {
                progress.ballot.fits() && progress.highest_accepted < NUMBER_LIMIT
            }
            Self::LogEntries { entries } | Self::PollReply { entries, .. } => logged(entries),
            Self::SnapshotPage { entries, .. } => entries.iter().all(|e| e.change.fits()),
            Self::ChangeDenied { reason, .. } => reason.len() <= MAX_DENIAL_BYTES,
            Self::Push { logged } => logged.entry.change.fits(),
            Self::Poll { name, apply_error, .. } => {
                !name.is_empty()
                    && name.len() <= MAX_FOLLOWER_NAME_BYTES
                    && apply_error.as_ref().is_none_or(|r| r.reason.len() <= MAX_APPLY_ERROR_BYTES)
            }
            _ => true,
        }
    }
}
