//! The learner: counts votes and applies chosen entries in order.

use super::acceptor::ACCEPT_WINDOW;
use super::record::Record;
use super::state::Replica;
use crate::entry::{Entry, LoggedEntry};
use crate::message::Ballot;

impl Replica {
    /// Counts the vote of replica `from` for the proposal at `number` under `ballot`.
    pub(super) fn count_vote(&mut self, from: usize, ballot: Ballot, number: u64) {
        let head = self.head();
        if number > head && number <= head + 2 * ACCEPT_WINDOW {
            self.learner.count_vote(from, ballot, number, self.quorum);
        }
    }

    /// Applies chosen entries as far as their changes are known.
    pub(super) fn apply_chosen(&mut self) {
        loop {
            let number = self.head() + 1;
            let Some(ballot) = self.learner.chosen_at(number) else { return };
            let Some(change) = self.acceptor.value_at(number, ballot).cloned() else { return };
            if let Some(logged) = self.append_chosen(Entry { number, change }) {
                self.push_to_followers(&logged);
            }
        }
    }

    /// Appends an entry that is known to be chosen; `None` if it is not the next one.
    pub(super) fn append_chosen(&mut self, entry: Entry) -> Option<LoggedEntry> {
        let id = entry.change.id;
        let logged = self.log.append(entry.clone(), self.clock.now)?;
        let head = logged.entry.number;
        self.store(Record::Chosen(entry));
        self.discard_through(head);
        self.resolve_at(head, id);
        Some(logged)
    }

    /// Drops votes, counts and snapshots for numbers up to `head`, which are applied.
    pub(super) fn discard_through(&mut self, head: u64) {
        self.acceptor.discard_through(head);
        self.learner.discard_through(head);
        self.catch_up.discard_through(head);
    }
}
