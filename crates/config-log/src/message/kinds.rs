//! The kinds of messages. The numbers of kinds and fields are the wire form and never change their meaning.

use super::ballot::{Ballot, Vote};
use super::limits::{
    MAX_APPLY_ERROR_BYTES, MAX_DENIAL_BYTES, MAX_FOLLOWER_NAME_BYTES, MAX_PROMISED_SLOTS, NUMBER_LIMIT,
};
use super::parts::{ApplyError, Outcome, Progress};
use crate::entry::{Change, Entry, LoggedEntry};
use minicbor::{Decode, Encode};
use std::net::SocketAddr;

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}

/// A message between authors, replicas and followers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub enum Message {
    /// An author proposes a change, or a replica forwards it to the leader.
    #[n(1)]
    Propose {
        /// The proposed change.
        #[n(0)]
        change: Change,
    },
    /// The outcome of a proposed change.
    #[n(2)]
    ProposalResult {
        /// Id of the change.
        #[n(0)]
        id: u64,
        /// What became of it.
        #[n(1)]
        outcome: Outcome,
    },
    /// Asks for the entry in force under a key.
    #[n(3)]
    Get {
        /// The key.
        #[n(0)]
        key: String,
    },
    /// Answer to [`Get`](Self::Get).
    #[n(4)]
    GetReply {
        /// The key that was asked for.
        #[n(0)]
        key: String,
        /// Number of the entry in force under it; 0 if there never was one.
        #[n(1)]
        number: u64,
        /// Its text; `None` if there is none now.
        #[n(2)]
        text: Option<String>,
        /// Head of the replica that answers.
        #[n(3)]
        head: u64,
        /// Milliseconds since a majority knew of nothing beyond `head`; `None` if that never was so.
        #[n(4)]
        confirmed_age_ms: Option<u64>,
    },
    /// An operator asks for a page of a replica's view. All pages of one query show the same moment.
    #[n(5)]
    StatusRequest {
        /// Id of the query, drawn by the operator's program.
        #[n(0)]
        query_id: u64,
        /// Index of the page, from 0.
        #[n(1)]
        page: u32,
    },
    /// A page of the view as JSON.
    #[n(6)]
    StatusPage {
        /// Id of the query.
        #[n(0)]
        query_id: u64,
        /// Index of this page, from 0.
        #[n(1)]
        page: u32,
        /// Number of pages.
        #[n(2)]
        page_count: u32,
        /// The part of the JSON text that is on this page.
        #[cbor(n(3), with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// Phase 1a of Paxos: a replica wants to lead under this ballot.
    #[n(7)]
    Prepare {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
        /// Random id that the answer returns, so that an answer to a former process under the same ballot is ignored.
        #[n(1)]
        attempt: u64,
    },
    /// Phase 1b of Paxos: the sender promises to accept nothing below this ballot.
    #[n(8)]
    Promise {
        /// The promised ballot.
        #[n(0)]
        ballot: Ballot,
        /// Id of the attempt, from [`Prepare`](Self::Prepare).
        #[n(1)]
        attempt: u64,
        /// `false` if the sender lost its disk and therefore promises nothing.
        #[n(2)]
        votes: bool,
        /// Head of the sender.
        #[n(3)]
        head: u64,
        /// All numbers above its head at which the sender accepted a proposal.
        #[n(4)]
        slots: Vec<u64>,
        /// The proposal accepted at one of these numbers; there is one message for each.
        #[n(5)]
        vote: Option<Vote>,
    },
    /// Phase 2a of Paxos: a proposal to accept.
    #[n(9)]
    Accept {
        /// The proposal.
        #[n(0)]
        vote: Vote,
    },
    /// Phase 2b of Paxos: the sender accepted the proposal of that ballot at that number.
    #[n(10)]
    Accepted {
        /// The ballot of the proposal.
        #[n(0)]
        ballot: Ballot,
        /// Its position in the log.
        #[n(1)]
        number: u64,
    },
    /// Negative answer to a prepare or accept request: the sender promised this higher ballot.
    #[n(11)]
    Preempted {
        /// The higher ballot.
        #[n(0)]
        ballot: Ballot,
    },
    /// A replica reports its progress and asks for that of the receiver.
    #[n(12)]
    Heartbeat {
        /// Id that the answer returns.
        #[n(0)]
        request_id: u64,
        /// Progress of the sender.
        #[n(1)]
        progress: Progress,
    },
    /// Answer to [`Heartbeat`](Self::Heartbeat).
    #[n(13)]
    HeartbeatReply {
        /// Id of the heartbeat.
        #[n(0)]
        request_id: u64,
        /// Progress of the sender.
        #[n(1)]
        progress: Progress,
    },
    /// Asks for what follows a number. The answer is [`LogEntries`](Self::LogEntries), or
    /// [`SnapshotPage`](Self::SnapshotPage)s if the log does not reach back that far.
    #[n(14)]
    Fetch {
        /// The number after which entries are missing.
        #[n(0)]
        after: u64,
        /// Largest number of messages in answer.
        #[n(1)]
        pages: u8,
        /// Whether pages of the snapshot are wanted in any case.
        #[n(2)]
        snapshot: bool,
    },
    /// Consecutive entries of the log.
    #[n(15)]
    LogEntries {
        /// The entries, each with the digest after it.
        #[n(0)]
        entries: Vec<LoggedEntry>,
    },
    /// A page of the compacted log: all entries in force with numbers above `after` up to `through`.
    #[n(16)]
    SnapshotPage {
        /// The page follows this number.
        #[n(0)]
        after: u64,
        /// Last number of the page; equal to `head` on the last page.
        #[n(1)]
        through: u64,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
        /// Head of the sender.
        #[n(3)]
        head: u64,
        /// Digest of the state at `head`.
        #[n(4)]
        digest: u64,
    },
    /// A follower reports its state and asks for news.
    #[n(17)]
    Poll {
        /// Name of the follower.
        #[n(0)]
        name: String,
        /// Its head.
        #[n(1)]
        number: u64,
        /// Digest of its state.
        #[n(2)]
        digest: u64,
        /// A number whose digest it wants to know; 0 for none.
        #[n(3)]
        queried_number: u64,
        /// Id that the answer returns.
        #[n(4)]
        request_id: u64,
        /// The latest entry that its gateway could not apply.
        #[n(5)]
        apply_error: Option<ApplyError>,
    },
    /// Answer to [`Poll`](Self::Poll).
    #[n(18)]
    PollReply {
        /// Id of the poll.
        #[n(0)]
        request_id: u64,
        /// Head of the replica.
        #[n(1)]
        head: u64,
        /// Digest of its state.
        #[n(2)]
        digest: u64,
        /// Milliseconds since a majority knew of nothing beyond `head`; `None` if that never was so.
        #[n(3)]
        confirmed_age_ms: Option<u64>,
        /// The digest at the queried number, if it is known.
        #[n(4)]
        queried_digest: Option<u64>,
        /// The entries that follow the follower's head, as many as fit; none if the log does not reach back that far.
        #[n(5)]
        entries: Vec<LoggedEntry>,
    },
    /// A replica sends an entry to its followers as soon as it is committed.
    #[n(19)]
    Push {
        /// The entry.
        #[n(0)]
        logged: LoggedEntry,
    },
    /// A control machine does not take an author's change because its configuration cannot hold it. Only authors read
    /// this.
    #[n(20)]
    ChangeDenied {
        /// Id of the change.
        #[n(0)]
        id: u64,
        /// Why, in plain text.
        #[n(1)]
        reason: String,
    },
}

/// The highest number of a kind that this program knows.
pub(super) const LAST_KIND: u32 = 20;

impl Message {
    /// Whether all fields are within their bounds. The change of [`Propose`](Self::Propose) may exceed them: its author
    /// gets [`Outcome::TooLarge`].
    #[must_use]
    pub fn fits(&self) -> bool {
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
            Self::LogEntries { entries } | Self::PollReply { entries, .. } => {
                entries.iter().all(|logged| logged.entry.change.fits())
            }
            Self::SnapshotPage { entries, .. } => entries.iter().all(|entry| entry.change.fits()),
            Self::ChangeDenied { reason, .. } => reason.len() <= MAX_DENIAL_BYTES,
            Self::Push { logged } => logged.entry.change.fits(),
            Self::Poll { name, apply_error, .. } => {
                !name.is_empty()
                    && name.len() <= MAX_FOLLOWER_NAME_BYTES
                    && apply_error.as_ref().is_none_or(|error| error.reason.len() <= MAX_APPLY_ERROR_BYTES)
            }
            _ => true,
        }
    }
}
