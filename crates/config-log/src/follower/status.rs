//! The status of a follower for operators.

use super::source::Source;
use super::state::Follower;
use crate::view::{FollowerView, ReplicaStatus};

impl Follower {
    /// The status of this follower.
    #[must_use]
    pub fn view(&self, now: f64) -> FollowerView {
        let mut clock = self.clock;
        clock.advance_to(now);
        let now = clock.now;
        let head = self.state.head();
        let known = self.sources.known_head();
        let replica_status = |(replica, source): (usize, &Source)| ReplicaStatus {
            replica,
            seconds_since_contact: source.last_received_at.map(|at| now - at),
            head: source.head,
            conflicts: source.conflicts,
        };
        FollowerView {
            name: self.name.clone(),
            number: head,
            digest: self.state.digest(),
            follows: self.sources.followed(now),
            replicas: self.sources.all.iter().enumerate().map(replica_status).collect(),
            confirmed_age: self.sources.confirmed_at(head).map(|at| now - at),
            known,
            behind: known > head,
            conflicts: self.sources.all.iter().map(|source| source.conflicts).sum(),
            rebuilds: self.rebuilds,
            apply_error: self.apply_error.clone(),
            counters: self.counters,
        }
    }
}
