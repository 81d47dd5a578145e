//! Heartbeats: exchange of progress between replicas, and the age of this replica's state that follows from it.

use super::peers::ConfirmedProgress;
use super::state::Replica;
use crate::message::{Message, Progress};

impl Replica {
    pub(super) fn send_heartbeats(&mut self) {
        let request_id = self.heartbeats.start(self.clock.now, self.timing.heartbeat_interval);
        let progress = self.progress();
        self.send_to_others(&Message::Heartbeat { request_id, progress });
    }

    pub(super) fn on_heartbeat(&mut self, from: usize, request_id: u64, progress: Progress) {
        self.record_progress(from, progress);
        let reply = Message::HeartbeatReply { request_id, progress: self.progress() };
        self.send_to(from, reply);
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: usize, request_id: u64, progress: Progress) {
        self.record_progress(from, progress);
        let Some(asked_at) = self.heartbeats.sent_at(request_id).filter(|_| progress.votes) else { return };
        let confirmed = &mut self.peers[from].confirmed;
        if confirmed.is_none_or(|before| before.asked_at < asked_at) {
            *confirmed = Some(ConfirmedProgress { asked_at, highest_accepted: progress.highest_accepted });
        }
    }

    fn record_progress(&mut self, from: usize, progress: Progress) {
        self.observed_ballot = self.observed_ballot.max(progress.ballot);
        if progress.head == self.head() && progress.digest != self.state().digest() {
            self.counters.conflicts += 1;
        }
        self.peers[from].progress = progress;
    }

    fn progress(&self) -> Progress {
        Progress {
            head: self.head(),
            digest: self.state().digest(),
            highest_accepted: self.highest_accepted(),
            ballot: self.highest_ballot(),
            votes: self.may_vote(),
        }
    }

    /// The latest time at which a majority had accepted nothing beyond this replica's head. Everything committed before
    /// that time is applied here: a majority accepted each committed entry, so at least one of the replicas asked
    /// afterwards would have reported it.
    pub(super) fn confirmed_at(&self) -> Option<f64> {
        let head = self.head();
        let confirmed = self.peers.iter().filter_map(|peer| peer.confirmed);
        let mut times: Vec<f64> = confirmed
            .filter(|confirmed| confirmed.highest_accepted <= head)
            .map(|confirmed| confirmed.asked_at)
            .collect();
        if self.is_voter && self.highest_accepted() <= head {
            times.push(self.clock.now);
        }
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.quorum - 1).copied()
    }
}
