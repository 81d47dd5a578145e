//! Replies to followers, to the programs of authors, and to replicas that are behind.

use super::followers::KnownFollower;
use super::state::Replica;
use crate::entry::LoggedEntry;
use crate::message::{ApplyError, MAX_ENTRIES_BYTES, Message};
use std::net::SocketAddr;

/// Maximum number of pages sent in reply to one fetch.
const MAX_PAGES_PER_FETCH: u8 = 16;

/// The fields of [`Message::Poll`] that a replica uses.
pub(super) struct PollMessage {
    pub name: String,
    pub number: u64,
    pub queried_number: u64,
    pub request_id: u64,
    pub apply_error: Option<ApplyError>,
}

impl Replica {
    pub(super) fn on_poll(&mut self, from: SocketAddr, poll: PollMessage) {
        let PollMessage { name, number, queried_number, request_id, apply_error } = poll;
        let follower = KnownFollower { address: from, number, last_polled_at: self.clock.now, apply_error };
        if self.followers.record_poll(name, follower).is_err() {
            self.counters.rejected_followers += 1;
        }
        let head = self.head();
        let queried_digest = if queried_number == 0 { None } else { self.log.digest_at(queried_number) };
        let entries =
            if number < head { self.log.entries_after(number, MAX_ENTRIES_BYTES) } else { Vec::new() };
        let reply = Message::PollReply {
            request_id,
            head,
            digest: self.state().digest(),
            confirmed_age_ms: self.confirmed_age_ms(),
            queried_digest,
            entries,
        };
        self.send(from, reply);
    }

    /// Milliseconds since a majority confirmed that nothing beyond the head was committed, rounded up.
    fn confirmed_age_ms(&self) -> Option<u64> {
        self.confirmed_at().map(|at| ((self.clock.now - at) * 1e3).ceil() as u64)
    }

    /// Sends a committed entry to all active followers.
    pub(super) fn push_to_followers(&mut self, logged: &LoggedEntry) {
        for follower in self.followers.active(self.clock.now) {
            self.send(follower, Message::Push { logged: logged.clone() });
        }
    }

    /// Sends what follows the number `after`: log entries or, if the log does not reach back that far, snapshot pages.
    pub(super) fn on_fetch(&mut self, from: SocketAddr, after: u64, pages: u8, snapshot: bool) {
        let head = self.head();
        let mut cursor = after;
        for _ in 0..pages.min(MAX_PAGES_PER_FETCH) {
            let (message, through) = if !snapshot && cursor < head && self.log.reaches_back_to(cursor) {
                let Some(page) = self.log_page(cursor) else { return };
                page
            } else if snapshot || cursor < head {
                let Some(page) = self.snapshot_page(cursor) else { return };
                page
            } else {
                return;
            };
            self.send(from, message);
            cursor = through;
            if cursor >= head {
                return;
            }
        }
    }

    /// The log entries after a number, as many as fit into a message, and the number of the last one.
    fn log_page(&self, after: u64) -> Option<(Message, u64)> {
        let entries = self.log.entries_after(after, MAX_ENTRIES_BYTES);
        let last = entries.last()?.entry.number;
        Some((Message::LogEntries { entries }, last))
    }

    /// The snapshot page after a number, and the last number that it covers.
    fn snapshot_page(&self, after: u64) -> Option<(Message, u64)> {
        let state = self.state();
        let entries = state.entries_after(after, MAX_ENTRIES_BYTES);
        let last = entries.last().map_or(after, |entry| entry.number);
        let through = if state.last_number() > last { last } else { state.head() };
        let (head, digest) = (state.head(), state.digest());
        (through >= after)
            .then_some((Message::SnapshotPage { after, through, entries, head, digest }, through))
    }

    pub(super) fn on_get(&mut self, from: SocketAddr, key: String) {
        let (number, text) = match self.state().get(&key) {
            Some((number, change)) => (number, change.text.clone()),
            None => (0, None),
        };
        let (head, confirmed_age_ms) = (self.head(), self.confirmed_age_ms());
        self.send(from, Message::GetReply { key, number, text, head, confirmed_age_ms });
    }
}
