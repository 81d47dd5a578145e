//! Handling of received messages and timers, and polling of replicas.

use super::source::{PendingPoll, PollResult};
use super::state::Follower;
use crate::message::Message;
use crate::snapshot::SnapshotPage;
use crate::state::Checkpoint;
use std::net::SocketAddr;

/// Minimum number of seconds between two polls of a replica.
const MIN_POLL_INTERVAL: f64 = 0.1;

impl Follower {
    fn advance_to(&mut self, now: f64) {
        let elapsed = self.clock.advance_to(now);
        if elapsed > self.timing.silence_timeout {
            self.sources.reset_after_pause(self.clock.now);
        }
    }

    /// Handles a received message.
    pub fn receive(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.advance_to(now);
        let Some(replica) = self.sources.position(from) else {
            self.counters.unexpected += 1;
            return;
        };
        self.counters.received += 1;
        let head = self.state.head();
        match message {
            Message::Push { logged } => self.sources.all[replica].record_entry(head, logged),
            Message::SnapshotPage { after, through, entries, head, digest } => {
                let checkpoint = Checkpoint { head, digest };
                self.on_snapshot_page(replica, SnapshotPage { after, through, entries, checkpoint });
            }
            Message::PollReply { request_id, head, digest, confirmed_age_ms, queried_digest, entries } => {
                let checkpoint = Checkpoint { head, digest };
                let result = PollResult { checkpoint, confirmed_age_ms, queried_digest, entries };
                if !self.on_poll_reply(replica, request_id, result) {
                    return;
                }
            }
            _ => self.counters.unexpected += 1,
        }
        self.make_progress();
    }

    /// Handles the reply to a pending poll; returns whether there was such a poll.
    fn on_poll_reply(&mut self, replica: usize, request_id: u64, result: PollResult) -> bool {
        let head = self.state.head();
        let source = &mut self.sources.all[replica];
        let Some(poll) = source.take_pending_poll(request_id) else { return false };
        source.record_reply(self.clock.now, head, poll, &result);
        result.entries.into_iter().for_each(|logged| source.record_entry(head, logged));
        true
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: f64) {
        self.advance_to(now);
        self.sources.mark_silent(self.clock.now, self.timing.silence_timeout);
        self.make_progress();
        self.continue_snapshot_fetch();
        for replica in self.sources.due(self.clock.now) {
            self.poll(replica);
        }
    }

    /// When to call [`tick`](Self::tick) next, on the caller's clock.
    #[must_use]
    pub fn next_deadline(&self) -> f64 {
        let poll = self.sources.next_poll(self.clock.now);
        let silence = self.sources.next_silence(self.timing.silence_timeout);
        let fetch = self.snapshot_fetch.as_ref();
        let fetch = fetch.map_or(f64::INFINITY, |fetch| fetch.fetch_at.min(fetch.expires_at));
        self.clock.to_caller(poll.min(silence).min(fetch))
    }

    fn poll(&mut self, replica: usize) {
        let now = self.clock.now;
        let request_id = self.random.rand_u64();
        let complete = self.snapshot_fetch.as_ref().and_then(|fetch| fetch.assembly.complete);
        let queried_number = complete.map_or(0, |checkpoint| checkpoint.head);
        // Jitter keeps a thousand followers from polling at the same time.
        let next_at = now + self.timing.poll_interval * (0.8 + 0.4 * self.random.rand_float());
        let pending = PendingPoll { request_id, sent_at: now, queried_number };
        self.sources.all[replica].record_poll(pending, next_at);
        let poll = Message::Poll {
            name: self.name.clone(),
            number: self.state.head(),
            digest: self.state.digest(),
            queried_number,
            request_id,
            apply_error: self.apply_error.clone(),
        };
        self.send(replica, poll);
    }

    /// Applies, verifies and installs whatever the reports received so far allow; called after each event.
    fn make_progress(&mut self) {
        let head = self.state.head();
        self.apply_confirmed();
        self.check_digest();
        self.install_snapshot();
        if self.state.head() != head {
            self.clear_obsolete_apply_error();
            // Polling early tells the replicas what was applied.
            self.poll_soon();
        }
        self.catch_up();
    }

    /// Drops the apply error if its entry is no longer current.
    fn clear_obsolete_apply_error(&mut self) {
        let state = &self.state;
        let is_in_force =
            |number: u64| state.iter_from(number).next().is_some_and(|(first, _)| first == number);
        self.apply_error.take_if(|error| !is_in_force(error.number));
    }

    /// Polls as soon as [`MIN_POLL_INTERVAL`] allows.
    pub(super) fn poll_soon(&mut self) {
        self.sources.poll_soon(self.clock.now, MIN_POLL_INTERVAL);
    }
}
