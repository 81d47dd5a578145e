//! Records to be stored, and suspension of the replica while its storage fails.

use super::record::{Action, Record};
use super::state::Replica;
use crate::entry::Entry;
use crate::message::Vote;

impl Replica {
    pub(super) fn store(&mut self, record: Record) {
        self.actions.push_back(Action::Store(record));
    }

    /// Stores this replica's own vote, which is counted once it is durable.
    pub(super) fn store_vote(&mut self, vote: Vote) {
        self.unstored_votes.push((vote.ballot, vote.number));
        self.store(Record::Accepted(vote));
    }

    /// Reports that all records yielded by [`next_action`](Self::next_action) are durable, so that this replica's own
    /// votes among them are counted. Further actions may follow.
    pub fn confirm_stored(&mut self) {
        if self.suspended || self.unstored_votes.is_empty() {
            return;
        }
        for (ballot, number) in std::mem::take(&mut self.unstored_votes) {
            self.count_vote(self.own_index, ballot, number);
        }
        self.make_progress();
    }

    /// Reports that a record yielded by [`next_action`](Self::next_action) could not be made durable. The caller must not
    /// run actions that were yielded after it; queued actions are dropped. Until
    /// [`storage_recovered`](Self::storage_recovered) this replica learns entries, forwards changes and serves followers,
    /// but does not promise, vote or propose. Records that it yields meanwhile need not be stored, as the rewritten log
    /// will hold everything.
    pub fn storage_failed(&mut self) {
        self.suspended = true;
        self.actions.clear();
        self.queued_sends = 0;
        self.step_down();
    }

    /// Whether the storage has failed and not recovered yet.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Reports that a new file durably holds the records that [`compact`](Self::compact) returned. The replica must not
    /// have handled any event between the two calls.
    pub fn storage_recovered(&mut self) {
        self.suspended = false;
        self.confirm_stored();
    }

    /// The records for a rewritten log, equivalent to everything this replica has stored. Valid only while
    /// [`next_action`](Self::next_action) yields nothing.
    #[must_use]
    pub fn compact(&self) -> Vec<Record> {
        let state = self.state();
        let readmitted = self.is_voter.then_some(Record::Readmitted);
        let snapshot = state
            .iter()
            .map(|(number, change)| Record::SnapshotEntry(Entry { number, change: change.clone() }));
        readmitted
            .into_iter()
            .chain([Record::Promised(self.acceptor.promised)])
            .chain(snapshot)
            .chain([Record::SnapshotHead { head: state.head(), digest: state.digest() }])
            .chain(self.acceptor.votes.values().cloned().map(Record::Accepted))
            .collect()
    }
}
