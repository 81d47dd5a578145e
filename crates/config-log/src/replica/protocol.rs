//! Handling of received messages and timers.

use super::election::PromiseMessage;
use super::serving::PollMessage;
use super::state::Replica;
use crate::message::Message;
use crate::snapshot::SnapshotPage;
use crate::state::Checkpoint;
use std::net::SocketAddr;

impl Replica {
    /// Handles a received message.
    pub fn receive(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.clock.advance_to(now);
        self.counters.received += 1;
        let replica = self
            .replicas
            .iter()
            .position(|address| *address == from)
            .filter(|index| *index != self.own_index);
        match (replica, message) {
            (_, Message::Propose { change }) => self.on_propose(from, replica.is_some(), change),
            (None, Message::Get { key }) => self.on_get(from, key),
            (None, Message::StatusRequest { query_id, page }) => self.on_status_request(from, query_id, page),
            (None, Message::Poll { name, number, queried_number, request_id, apply_error, .. }) => {
                let poll = PollMessage { name, number, queried_number, request_id, apply_error };
                self.on_poll(from, poll);
            }
            (_, Message::Fetch { after, pages, snapshot }) => self.on_fetch(from, after, pages, snapshot),
            (Some(replica), message) => self.receive_from_replica(replica, message),
            (None, _) => self.counters.unexpected += 1,
        }
        self.make_progress();
    }

    fn receive_from_replica(&mut self, from: usize, message: Message) {
        self.peers[from].last_received_at = Some(self.clock.now);
        match message {
            Message::Prepare { ballot, attempt } if ballot.owner() == from => {
                self.on_prepare(from, ballot, attempt);
            }
            Message::Accept { vote } if vote.ballot.owner() == from => self.on_accept(from, vote),
            Message::Promise { ballot, attempt, votes, head, slots, vote } => {
                let promise = PromiseMessage { ballot, attempt, votes, head, slots, vote };
                self.on_promise(from, promise);
            }
            Message::Accepted { ballot, number } => self.count_vote(from, ballot, number),
            Message::Preempted { ballot } => self.preempted_by(ballot),
            Message::Heartbeat { request_id, progress } => self.on_heartbeat(from, request_id, progress),
            Message::HeartbeatReply { request_id, progress } => {
                self.on_heartbeat_reply(from, request_id, progress);
            }
            Message::LogEntries { entries } => self.on_log_entries(entries),
            Message::SnapshotPage { after, through, entries, head, digest } => {
                let checkpoint = Checkpoint { head, digest };
                self.on_snapshot_page(from, SnapshotPage { after, through, entries, checkpoint });
            }
            Message::ProposalResult { id, outcome } => self.on_proposal_result(id, outcome),
            _ => self.counters.unexpected += 1,
        }
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: f64) {
        self.clock.advance_to(now);
        if self.clock.now >= self.heartbeats.deadline() {
            self.send_heartbeats();
        }
        self.make_progress();
    }

    /// Applies, fetches and proposes whatever has become possible; called after each event.
    pub(super) fn make_progress(&mut self) {
        loop {
            self.apply_chosen();
            self.fetch_missing();
            self.drive_proposer();
            let head = self.head();
            self.apply_chosen();
            if self.head() == head {
                return;
            }
        }
    }

    /// When to call [`tick`](Self::tick) next, on the caller's clock.
    #[must_use]
    pub fn next_deadline(&self) -> f64 {
        let deadline = self.heartbeats.deadline().min(self.fetch_deadline()).min(self.proposer_deadline());
        self.clock.to_caller(deadline)
    }
}
