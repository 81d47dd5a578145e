//! One replica as a follower knows it.

use crate::entry::LoggedEntry;
use crate::state::Checkpoint;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Numbers above the follower's head at which reported entries are kept.
const MAX_ENTRIES_AHEAD: u64 = 256;

/// Digests kept of each replica.
const MAX_DIGESTS: usize = 512;

/// Seconds for which a replica is passed over after it contradicted the others.
const DISTRUST_DURATION: f64 = 60.0;

/// Polls whose replies count.
const MAX_PENDING_POLLS: usize = 16;

/// A poll that was sent and not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingPoll {
    pub request_id: u64,
    pub sent_at: f64,
    /// The number whose digest was asked for, 0 for none.
    pub queried_number: u64,
}

/// What a replica answered to a poll.
pub(super) struct PollResult {
    pub checkpoint: Checkpoint,
    pub confirmed_age_ms: Option<u64>,
    pub queried_digest: Option<u64>,
    pub entries: Vec<LoggedEntry>,
}

/// A statement of a replica that at a time nothing beyond its head was committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmedHead {
    pub at: f64,
    pub head: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Source {
    pub address: SocketAddr,
    pub last_received_at: Option<f64>,
    /// When the oldest poll was sent that is still unanswered.
    pub unanswered_since: Option<f64>,
    pub is_silent: bool,
    distrusted_until: f64,
    pub poll_at: f64,
    pub last_polled_at: f64,
    pending_polls: VecDeque<PendingPoll>,
    pub head: u64,
    pub confirmed: Option<ConfirmedHead>,
    /// Whether it is ahead and its log does not reach back to the follower's head.
    pub has_gap: bool,
    /// Entries above the follower's head that it reported.
    pub entries: BTreeMap<u64, LoggedEntry>,
    /// Digests that it reported, by number.
    pub digests: BTreeMap<u64, u64>,
    /// Times that it contradicted what enough others reported.
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

    /// Records a poll that is sent now, and when the next one is due.
    pub fn record_poll(&mut self, poll: PendingPoll, next_at: f64) {
        if self.pending_polls.len() == MAX_PENDING_POLLS {
            self.pending_polls.pop_front();
        }
        self.unanswered_since.get_or_insert(poll.sent_at);
        self.last_polled_at = poll.sent_at;
        self.poll_at = next_at;
        self.pending_polls.push_back(poll);
    }

    /// The pending poll with that id. It, and all that were sent before it, are not pending any more.
    pub fn take_pending_poll(&mut self, request_id: u64) -> Option<PendingPoll> {
        let index = self.pending_polls.iter().position(|poll| poll.request_id == request_id)?;
        self.pending_polls.drain(..=index).next_back()
    }

    /// Records the reply to a poll, except for its entries.
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

    /// Records a reported entry; those at or too far beyond the follower's head are ignored.
    pub fn record_entry(&mut self, own_head: u64, logged: LoggedEntry) {
        let number = logged.entry.number;
        if number <= own_head || number > own_head + MAX_ENTRIES_AHEAD {
            return;
        }
        self.head = self.head.max(number);
        self.record_digest(number, logged.digest);
        self.entries.insert(number, logged);
    }

    /// Drops the lowest numbers beyond the bound, so a replica that reports many invented ones loses only its own.
    fn record_digest(&mut self, number: u64, digest: u64) {
        self.digests.insert(number, digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }

    /// Forgets what it reported, and passes it over for a while.
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
