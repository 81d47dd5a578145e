//! What a follower knows about one replica.

use crate::entry::LoggedEntry;
use crate::state::Checkpoint;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Reported entries are kept up to this many numbers above the follower's head.
const MAX_ENTRIES_AHEAD: u64 = 256;

/// Maximum number of digests kept for each replica.
const MAX_DIGESTS: usize = 512;

/// Seconds for which a replica is distrusted after it contradicted the others.
const DISTRUST_DURATION: f64 = 60.0;

/// Maximum number of pending polls for each replica; replies to older ones are ignored.
const MAX_PENDING_POLLS: usize = 16;

/// A poll that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingPoll {
    pub request_id: u64,
    pub sent_at: f64,
    /// The number whose digest was requested, 0 for none.
    pub queried_number: u64,
}

/// The content of a replica's reply to a poll.
pub(super) struct PollResult {
    pub checkpoint: Checkpoint,
    pub confirmed_age_ms: Option<u64>,
    pub queried_digest: Option<u64>,
    pub entries: Vec<LoggedEntry>,
}

/// A replica's statement that at the time `at` nothing beyond `head` was committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmedHead {
    pub at: f64,
    pub head: u64,
}

/// A replica, what it reported and when to poll it.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub address: SocketAddr,
    /// When its last poll reply was received.
    pub last_received_at: Option<f64>,
    /// When the oldest unanswered poll was sent, or when this process resumed from a pause after that.
    pub unanswered_since: Option<f64>,
    pub is_silent: bool,
    distrusted_until: f64,
    pub poll_at: f64,
    pub last_polled_at: f64,
    pending_polls: VecDeque<PendingPoll>,
    pub head: u64,
    pub confirmed: Option<ConfirmedHead>,
    /// Whether it is ahead of the follower but no longer keeps the entry after the follower's head.
    pub has_gap: bool,
    /// Entries above the follower's head that it reported, by number.
    pub entries: BTreeMap<u64, LoggedEntry>,
    /// Digests that it reported, by number.
    pub digests: BTreeMap<u64, u64>,
    /// How often it contradicted what was confirmed.
    pub conflicts: u64,
}

impl Source {
    pub fn new(address: SocketAddr, now: f64) -> Self {
        Self {
            address,
            last_received_at: None,
            unanswered_since: None,
            is_silent: false,
            distrusted_until: f64::NEG_INFINITY,
            poll_at: now,
            last_polled_at: f64::NEG_INFINITY,
            pending_polls: VecDeque::new(),
            head: 0,
            confirmed: None,
            has_gap: false,
            entries: BTreeMap::new(),
            digests: BTreeMap::new(),
            conflicts: 0,
        }
    }

    /// Records a poll that is being sent, and when the next one is due.
    pub fn record_poll(&mut self, poll: PendingPoll, next_at: f64) {
        if self.pending_polls.len() == MAX_PENDING_POLLS {
            self.pending_polls.pop_front();
        }
        self.unanswered_since.get_or_insert(poll.sent_at);
        self.last_polled_at = poll.sent_at;
        self.poll_at = next_at;
        self.pending_polls.push_back(poll);
    }

    /// Removes and returns the pending poll with this id. Polls that were sent before it are dropped too.
    pub fn take_pending_poll(&mut self, request_id: u64) -> Option<PendingPoll> {
        let index = self.pending_polls.iter().position(|poll| poll.request_id == request_id)?;
        self.pending_polls.drain(..=index).next_back()
    }

    /// Records a poll reply, except for its entries.
    pub fn record_reply(&mut self, now: f64, own_head: u64, poll: PendingPoll, reply: &PollResult) {
        let Checkpoint { head, digest } = reply.checkpoint;
        self.last_received_at = Some(now);
        self.unanswered_since = self.pending_polls.front().map(|pending| pending.sent_at);
        self.is_silent = false;
        self.head = head;
        let confirmed = |age_ms: u64| ConfirmedHead { at: poll.sent_at - age_ms as f64 / 1e3, head };
        self.confirmed = reply.confirmed_age_ms.map(confirmed);
        self.has_gap = head > own_head && reply.entries.is_empty();
        self.record_digest(head, digest);
        if let Some(digest) = reply.queried_digest {
            self.record_digest(poll.queried_number, digest);
        }
    }

    /// Records a reported entry unless it is already applied or too far ahead of the follower's head.
    pub fn record_entry(&mut self, own_head: u64, logged: LoggedEntry) {
        let number = logged.entry.number;
        if number <= own_head || number > own_head + MAX_ENTRIES_AHEAD {
            return;
        }
        self.head = self.head.max(number);
        self.record_digest(number, logged.digest);
        self.entries.insert(number, logged);
    }

    /// Records a reported digest. Beyond [`MAX_DIGESTS`] the lowest number is dropped; a replica that reports many made-up
    /// numbers only displaces its own digests.
    fn record_digest(&mut self, number: u64, digest: u64) {
        self.digests.insert(number, digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }

    /// Discards what the replica reported and distrusts it for [`DISTRUST_DURATION`]: it is followed only if there are not
    /// enough others.
    pub fn distrust(&mut self, now: f64) {
        self.conflicts += 1;
        self.distrusted_until = now + DISTRUST_DURATION;
        self.entries.clear();
        self.digests.clear();
        self.has_gap = false;
    }

    pub fn is_distrusted(&self, now: f64) -> bool {
        now < self.distrusted_until
    }
}
