//! The status of a replica for operators, as a value and as pages that each fit into a message.

use super::state::Replica;
use super::status_reports::StatusReport;
use crate::message::Message;
use crate::view::ReplicaView;
use std::net::SocketAddr;

/// Size of a full page, in bytes.
const STATUS_PAGE_BYTES: usize = 1200;

/// A replica counts as reachable for this many seconds after its last message, and the majority is reported as present for
/// this many seconds after it last confirmed the head.
const CONTACT_TIMEOUT: f64 = 2.0;

/// Committed entries are counted over this many past seconds.
const COMMIT_COUNT_WINDOW: f64 = 60.0;

impl Replica {
    pub(super) fn on_status_request(&mut self, from: SocketAddr, query_id: u64, page: u32) {
        if self.status_reports.find(from, query_id).is_none() {
            let Ok(json) = serde_json::to_vec(&self.current_view()) else { return };
            self.status_reports.add(StatusReport { requester: from, query_id, json });
        }
        let Some(json) = self.status_reports.find(from, query_id) else { return };
        let page_count = json.len().div_ceil(STATUS_PAGE_BYTES) as u32;
        let Some(bytes) = json.chunks(STATUS_PAGE_BYTES).nth(page as usize).map(<[u8]>::to_vec) else {
            return;
        };
        self.send(from, Message::StatusPage { query_id, page, page_count, bytes });
    }

    /// The status of this replica. Removes followers that have been silent for ten minutes.
    #[must_use]
    pub fn view(&mut self, now: f64) -> ReplicaView {
        self.clock.advance_to(now);
        self.current_view()
    }

    fn current_view(&mut self) -> ReplicaView {
        let now = self.clock.now;
        let followers = self.followers.statuses(now);
        let confirmed_age = self.confirmed_at().map(|at| now - at);
        ReplicaView {
            own_index: self.own_index,
            replicas: self.replicas.len(),
            number: self.head(),
            digest: self.state().digest(),
            votes: self.may_vote(),
            leads: self.leads(),
            ballot: self.highest_ballot().0,
            committed: self.recently_committed(),
            majority: confirmed_age.is_some_and(|age| age < CONTACT_TIMEOUT),
            confirmed_age,
            reachable: self.reachable(),
            followers,
            counters: self.counters,
        }
    }

    fn recently_committed(&self) -> usize {
        let is_recent = |at: f64| self.clock.now - at < COMMIT_COUNT_WINDOW;
        self.log.recent.iter().rev().take_while(|recent| is_recent(recent.appended_at)).count()
    }

    fn reachable(&self) -> Vec<usize> {
        let is_reachable = |replica: &usize| {
            let last = self.peers[*replica].last_received_at;
            *replica == self.own_index || last.is_some_and(|at| self.clock.now - at < CONTACT_TIMEOUT)
        };
        (0..self.peers.len()).filter(is_reachable).collect()
    }
}
