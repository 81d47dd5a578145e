//! The kinds of messages. The numbers of kinds and fields are part of the wire format and never change their meaning.

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
    /// The message.
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
        /// Its outcome.
        #[n(1)]
        outcome: Outcome,
    },
    /// Requests the current entry of a key.
    #[n(3)]
    Get {
        /// The key.
        #[n(0)]
        key: String,
    },
    /// Reply to [`Get`](Self::Get).
    #[n(4)]
    GetReply {
        /// The requested key.
        #[n(0)]
        key: String,
        /// Number of its current entry; 0 if it never had one.
        #[n(1)]
        number: u64,
        /// Its text; `None` if it has none.
        #[n(2)]
        text: Option<String>,
        /// Head of the replica that replies.
        #[n(3)]
        head: u64,
        /// Milliseconds since a majority confirmed that nothing beyond `head` was committed; `None` if it never did.
        #[n(4)]
        confirmed_age_ms: Option<u64>,
    },
    /// An operator requests a page of a replica's status. All pages of one query come from the same report.
    #[n(5)]
    StatusRequest {
        /// Id of the query, chosen by the operator's program.
        #[n(0)]
        query_id: u64,
        /// Index of the page, from 0.
        #[n(1)]
        page: u32,
    },
    /// A page of the status report, which is JSON.
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
        /// This page's part of the JSON text.
        #[cbor(n(3), with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// Phase 1a of Paxos: a replica asks for promises to lead under this ballot.
    #[n(7)]
    Prepare {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
        /// Random id that the reply repeats, so that replies to an earlier process of the sender, which may have used the
        /// same ballot, are ignored.
        #[n(1)]
        attempt: u64,
    },
    /// Phase 1b of Paxos: the sender promises to accept nothing below this ballot.
    #[n(8)]
    Promise {
        /// The promised ballot.
        #[n(0)]
        ballot: Ballot,
        /// The id from [`Prepare`](Self::Prepare).
        #[n(1)]
        attempt: u64,
        /// `false` if the sender lost its disk and therefore cannot promise anything.
        #[n(2)]
        votes: bool,
        /// Head of the sender.
        #[n(3)]
        head: u64,
        /// All numbers above its head at which the sender has accepted a proposal.
        #[n(4)]
        slots: Vec<u64>,
        /// The proposal accepted at one of these numbers; one message is sent for each.
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
    /// Phase 2b of Paxos: the sender accepted the proposal under this ballot at this number.
    #[n(10)]
    Accepted {
        /// The ballot of the proposal.
        #[n(0)]
        ballot: Ballot,
        /// Its position in the log.
        #[n(1)]
        number: u64,
    },
    /// Rejection of a prepare or accept request: the sender has promised this higher ballot.
    #[n(11)]
    Preempted {
        /// The higher ballot.
        #[n(0)]
        ballot: Ballot,
    },
    /// A replica reports its progress and requests that of the receiver.
    #[n(12)]
    Heartbeat {
        /// Id that the reply repeats.
        #[n(0)]
        request_id: u64,
        /// Progress of the sender.
        #[n(1)]
        progress: Progress,
    },
    /// Reply to [`Heartbeat`](Self::Heartbeat).
    #[n(13)]
    HeartbeatReply {
        /// Id of the heartbeat.
        #[n(0)]
        request_id: u64,
        /// Progress of the sender.
        #[n(1)]
        progress: Progress,
    },
    /// Requests what follows a number. The reply is [`LogEntries`](Self::LogEntries), or
    /// [`SnapshotPage`](Self::SnapshotPage)s if the log does not reach back that far.
    #[n(14)]
    Fetch {
        /// The number after which entries are missing.
        #[n(0)]
        after: u64,
        /// Maximum number of messages in reply.
        #[n(1)]
        pages: u8,
        /// Whether to send snapshot pages even if the log reaches back that far.
        #[n(2)]
        snapshot: bool,
    },
    /// Consecutive entries of the log.
    #[n(15)]
    LogEntries {
        /// The entries, each with the digest of the state after it.
        #[n(0)]
        entries: Vec<LoggedEntry>,
    },
    /// A page of the compacted log: all current entries with numbers above `after` and up to `through`.
    #[n(16)]
    SnapshotPage {
        /// The number that the page follows.
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
    /// A follower reports its state and requests newer entries.
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
        /// A number whose digest it requests; 0 for none.
        #[n(3)]
        queried_number: u64,
        /// Id that the reply repeats.
        #[n(4)]
        request_id: u64,
        /// The latest entry that its gateway could not apply.
        #[n(5)]
        apply_error: Option<ApplyError>,
    },
    /// Reply to [`Poll`](Self::Poll).
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
        /// Milliseconds since a majority confirmed that nothing beyond `head` was committed; `None` if it never did.
        #[n(3)]
        confirmed_age_ms: Option<u64>,
        /// The digest at the queried number, if it is known.
        #[n(4)]
        queried_digest: Option<u64>,
        /// The entries after the follower's head, as many as fit; none if the log does not reach back that far.
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
    /// Rejection of an author's change by a control machine, because the change is invalid in the configuration. Sent to
    /// authors only.
    #[n(20)]
    ChangeDenied {
        /// Id of the change.
        #[n(0)]
        id: u64,
        /// Reason of the rejection, in plain text.
        #[n(1)]
        reason: String,
    },
}

/// Highest number of a message kind that this release knows.
pub(super) const LAST_KIND: u32 = 20;

impl Message {
    /// Whether all fields are within their bounds. The change in [`Propose`](Self::Propose) is not checked here: one that
    /// is too large is answered with [`Outcome::TooLarge`].
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
