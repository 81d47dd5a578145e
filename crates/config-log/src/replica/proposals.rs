//! Receives the changes of authors, forwards them to the leader, and reports their outcomes.

use super::pending::PendingChange;
use super::state::Replica;
use crate::entry::Change;
use crate::message::{Message, Outcome};
use crate::state::Effect;
use std::net::SocketAddr;

impl Replica {
    /// Handles a change from an author, or from a replica that forwards it.
    pub(super) fn on_propose(&mut self, from: SocketAddr, is_forwarded: bool, change: Change) {
        let id = change.id;
        if let Some(outcome) = self.invalid(&change) {
            self.send(from, Message::ProposalResult { id, outcome });
            return;
        }
        if let Some(pending) = self.proposer.pending.iter_mut().find(|pending| pending.change.id == id) {
            if !is_forwarded {
                pending.author = Some(from);
            }
            return;
        }
        if let Some(outcome) = self.immediate_outcome(&change) {
            self.send(from, Message::ProposalResult { id, outcome });
            return;
        }
        self.counters.proposals += 1;
        let author = (!is_forwarded).then_some(from);
        self.proposer.pending.add(change, author, self.clock.now);
    }

    /// The outcome of an invalid change.
    fn invalid(&self, change: &Change) -> Option<Outcome> {
        if change.is_no_op() || change.id == 0 {
            Some(Outcome::EmptyKey)
        } else if !change.fits() {
            Some(Outcome::TooLarge)
        } else {
            None
        }
    }

    /// The outcome of a change that is already decided or cannot be proposed.
    fn immediate_outcome(&self, change: &Change) -> Option<Outcome> {
        if let Some(outcome) = self.log.outcome(change) {
            Some(outcome)
        } else if self.state().effect_of(change) == Effect::Full {
            Some(Outcome::Full)
        } else if self.proposer.pending.is_full() {
            Some(Outcome::Busy)
        } else {
            None
        }
    }

    /// Handles the outcome of a change from the replica to which it was forwarded.
    pub(super) fn on_proposal_result(&mut self, id: u64, outcome: Outcome) {
        if !matches!(outcome, Outcome::Unknown | Outcome::Busy) {
            self.resolve(|pending| pending.change.id == id, outcome);
        }
    }

    /// Removes the pending changes for which `is_resolved` holds and sends the outcome to their authors; returns their
    /// number.
    fn resolve(&mut self, is_resolved: impl Fn(&PendingChange) -> bool, outcome: Outcome) -> usize {
        let resolved = self.proposer.pending.take(is_resolved);
        for pending in &resolved {
            if let Some(author) = pending.author {
                self.send(author, Message::ProposalResult { id: pending.change.id, outcome });
            }
        }
        resolved.len()
    }

    /// Resolves the pending change with this id, which was chosen and applied at `number`.
    pub(super) fn resolve_at(&mut self, number: u64, id: u64) {
        self.proposer.in_flight.remove(&number);
        self.proposer.preemptions = 0;
        let chosen = self.proposer.pending.iter().find(|pending| pending.change.id == id);
        if let Some(outcome) = chosen.map(|pending| self.log.outcome_at_head(&pending.change)) {
            self.resolve(|pending| pending.change.id == id, outcome);
        }
        // If this replica proposed another change there, it has to propose that one again.
        self.proposer.pending.clear_proposed_numbers(|proposed_at| proposed_at == number);
    }

    /// Resolves pending changes after a snapshot was installed, which applies many entries at once.
    pub(super) fn resolve_through_head(&mut self) {
        let head = self.head();
        self.proposer.in_flight = self.proposer.in_flight.split_off(&(head + 1));
        let outcome_of = |pending: &PendingChange| {
            self.log.outcome(&pending.change).map(|outcome| (pending.change.id, outcome))
        };
        let decided: Vec<_> = self.proposer.pending.iter().filter_map(outcome_of).collect();
        for (id, outcome) in decided {
            self.resolve(|pending| pending.change.id == id, outcome);
        }
        self.proposer.pending.clear_proposed_numbers(|proposed_at| proposed_at <= head);
    }

    /// Forwards pending changes to the leader, repeatedly until they are resolved.
    pub(super) fn forward_pending(&mut self, leader: usize) {
        let (now, interval) = (self.clock.now, self.timing.retransmit_interval);
        let is_due = |pending: &&mut PendingChange| pending.sent_at.is_none_or(|at| now >= at + interval);
        let mut changes = Vec::new();
        for pending in self.proposer.pending.iter_mut().filter(is_due) {
            pending.sent_at = Some(now);
            changes.push(pending.change.clone());
        }
        changes.into_iter().for_each(|change| self.send_to(leader, Message::Propose { change }));
    }

    /// Removes changes that have been pending for too long; their authors are told that the outcome is unknown.
    pub(super) fn expire_pending(&mut self) {
        let (now, timeout) = (self.clock.now, self.timing.proposal_timeout);
        let expired = self.resolve(|pending| pending.received_at + timeout <= now, Outcome::Unknown);
        self.counters.expired_proposals += expired as u64;
    }
}
