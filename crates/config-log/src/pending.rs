//! Changes that authors proposed and of which nothing became yet: whoever leads proposes them, the others pass them on, and
//! each author is told what became of his.

use crate::entry::Change;
use crate::message::{Message, Outcome};
use crate::replica::Replica;
use std::net::SocketAddr;

/// Changes of authors that wait at a replica.
const MAX_PENDING_CHANGES: usize = 256;

#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub change: Change,
    /// Who is told the outcome; none where a replica passed it on.
    pub author: Option<SocketAddr>,
    pub since: f64,
    /// When it was last passed on.
    pub sent: Option<f64>,
    /// At which number it is proposed here.
    pub number: Option<u64>,
}

impl Replica {
    /// An author, or a replica for one, proposes a change.
    pub(crate) fn propose(&mut self, from: SocketAddr, forwarded: bool, change: Change) {
        let id = change.id;
        let has_capacity = self.proposer.pending.len() < MAX_PENDING_CHANGES;
        let known = self.proposer.pending.iter_mut().find(|p| p.change.id == id);
        let outcome = if change.is_no_op() || id == 0 {
            Outcome::EmptyKey
        } else if !change.fits() {
            Outcome::TooLarge
        } else if let Some(pending) = known {
            pending.author = if forwarded { pending.author } else { Some(from) };
            return;
        } else if let Some(outcome) = self.log.outcome(&change) {
            outcome
        } else if self.log.state.effect_of(&change) == crate::state::Effect::Full {
            Outcome::Full
        } else if !has_capacity {
            Outcome::Busy
        } else {
            self.counters.proposals += 1;
            let author = (!forwarded).then_some(from);
            let since = self.clock.now;
            self.proposer.pending.push(PendingChange { change, author, since, sent: None, number: None });
            return;
        };
        self.send(from, Message::ProposalResult { id, outcome });
    }

    /// Where it was passed on to, its outcome is known already.
    pub(crate) fn on_proposal_result(&mut self, id: u64, outcome: Outcome) {
        if !matches!(outcome, Outcome::Unknown | Outcome::Busy) {
            self.resolve(|p| p.change.id == id, outcome);
        }
    }

    fn resolve(&mut self, which: impl Fn(&PendingChange) -> bool, outcome: Outcome) {
        while let Some(n) = self.proposer.pending.iter().position(&which) {
            let pending = self.proposer.pending.remove(n);
            if let Some(author) = pending.author {
                self.send(author, Message::ProposalResult { id: pending.change.id, outcome });
            }
        }
    }

    /// An entry was applied.
    pub(crate) fn settle(&mut self, number: u64, id: u64) {
        self.proposer.open.remove(&number);
        self.proposer.preemptions = 0;
        let own = self.proposer.pending.iter().find(|p| p.change.id == id);
        if let Some(outcome) = own.map(|p| self.log.outcome_in_turn(&p.change)) {
            self.resolve(|p| p.change.id == id, outcome);
        }
        // Another's came there: this one is still to be proposed.
        let displaced = self.proposer.pending.iter_mut().filter(|p| p.number == Some(number));
        displaced.for_each(|p| p.number = None);
    }

    /// Many entries were applied at once.
    pub(crate) fn settle_all(&mut self) {
        let head = self.log.state.head();
        self.proposer.open = self.proposer.open.split_off(&(head + 1));
        let decided = |p: &PendingChange| self.log.outcome(&p.change).map(|outcome| (p.change.id, outcome));
        let decided: Vec<_> = self.proposer.pending.iter().filter_map(decided).collect();
        decided.into_iter().for_each(|(id, outcome)| self.resolve(|p| p.change.id == id, outcome));
        let displaced = self.proposer.pending.iter_mut().filter(|p| p.number.is_some_and(|n| n <= head));
        displaced.for_each(|p| p.number = None);
    }

    /// Passes what waits on to the one that leads.
    pub(crate) fn forward_to(&mut self, leader: usize) {
        let (now, interval) = (self.clock.now, self.timing.retransmit_interval);
        let due = |p: &&mut PendingChange| p.sent.is_none_or(|at| now >= at + interval);
        let mut changes = Vec::new();
        for pending in self.proposer.pending.iter_mut().filter(due) {
            pending.sent = Some(now);
            changes.push(pending.change.clone());
        }
        changes.into_iter().for_each(|change| self.send_to(leader, Message::Propose { change }));
    }

    /// Tells authors whose changes waited too long that the outcome is not known.
    pub(crate) fn expire_proposals(&mut self) {
        let (now, proposal_timeout) = (self.clock.now, self.timing.proposal_timeout);
        let before = self.proposer.pending.len();
        self.resolve(|p| p.since + proposal_timeout <= now, Outcome::Unknown);
        self.counters.expired_proposals += (before - self.proposer.pending.len()) as u64;
    }
}
