//! Phase 1 of Multi-Paxos: leader election. A replica that lost its disk is readmitted as a voter in the same way, by a
//! ballot that all other replicas have answered.

use super::proposer::{Attempt, ReceivedPromise, Role};
use super::record::Record;
use super::state::Replica;
use crate::entry::Change;
use crate::message::{Ballot, Message, Vote};
use std::collections::BTreeMap;

/// Maximum number of consecutive lost ballots that still double the backoff.
const MAX_PREEMPTIONS: i32 = 4;

/// The fields of [`Message::Promise`].
pub(super) struct PromiseMessage {
    pub ballot: Ballot,
    pub attempt: u64,
    pub votes: bool,
    pub head: u64,
    pub slots: Vec<u64>,
    pub vote: Option<Vote>,
}

/// An attempt that has the promises that it needs.
struct SuccessfulAttempt {
    ballot: Ballot,
    /// Whether a quorum promised, so that the replica may lead.
    has_quorum: bool,
    /// Proposals that the voters reported as accepted above their heads.
    votes: Vec<Vote>,
}

impl Replica {
    /// Whether this replica leads: a quorum promised its ballot.
    pub(super) fn leads(&self) -> bool {
        matches!(self.proposer.role, Role::Leading { .. })
    }

    /// Handles a higher ballot of another replica: steps down and backs off for a random time that doubles with each
    /// consecutive loss.
    pub(super) fn preempted_by(&mut self, ballot: Ballot) {
        self.observed_ballot = self.observed_ballot.max(ballot);
        if self.proposer.role.ballot().is_none_or(|own| own > ballot) {
            return;
        }
        self.counters.preempted += 1;
        self.step_down();
        self.proposer.preemptions = (self.proposer.preemptions + 1).min(MAX_PREEMPTIONS);
        let back_off = self.timing.retransmit_interval * (0.5 + self.random.rand_float());
        let back_off = back_off * 2f64.powi(self.proposer.preemptions - 1);
        self.proposer.next_attempt_at = self.clock.now + back_off;
    }

    /// Gives up leadership or the current attempt. The changes of authors stay pending.
    pub(super) fn step_down(&mut self) {
        self.proposer.role = Role::Idle;
        self.proposer.in_flight.clear();
        self.proposer.pending.reset();
    }

    /// Starts an attempt to lead or to be readmitted.
    pub(super) fn prepare(&mut self) {
        let ballot = self.highest_ballot().above(self.own_index);
        let id = self.random.rand_u64();
        self.counters.prepares += 1;
        self.observed_ballot = ballot;
        if self.is_voter {
            self.acceptor.prepare(ballot, id);
            self.store(Record::Promised(ballot));
        }
        let retransmit_at = self.clock.now + self.timing.retransmit_interval;
        self.proposer.role =
            Role::Preparing(Attempt { ballot, id, promises: BTreeMap::new(), retransmit_at });
        self.send_to_others(&Message::Prepare { ballot, attempt: id });
    }

    /// Retransmits the prepare request to the replicas whose promise is not complete.
    pub(super) fn retransmit_prepare(&mut self) {
        let now = self.clock.now;
        let Role::Preparing(attempt) = &mut self.proposer.role else { return };
        if now < attempt.retransmit_at {
            return;
        }
        attempt.retransmit_at = now + self.timing.retransmit_interval;
        let prepare = Message::Prepare { ballot: attempt.ballot, attempt: attempt.id };
        let promises = &attempt.promises;
        let is_complete = |replica: &usize| promises.get(replica).is_some_and(|promise| promise.complete);
        let own_index = self.own_index;
        let incomplete: Vec<_> = (0..self.replicas.len())
            .filter(|replica| *replica != own_index && !is_complete(replica))
            .collect();
        incomplete.into_iter().for_each(|replica| self.send_to(replica, prepare.clone()));
    }

    /// Records the part of a promise that one message carries.
    pub(super) fn on_promise(&mut self, from: usize, message: PromiseMessage) {
        let progress = &mut self.peers[from].progress;
        progress.head = progress.head.max(message.head);
        let Role::Preparing(attempt) = &mut self.proposer.role else { return };
        if (attempt.ballot, attempt.id) != (message.ballot, message.attempt) {
            return;
        }
        let promise = attempt.promises.entry(from).or_default();
        if promise.votes != message.votes {
            *promise = ReceivedPromise { votes: message.votes, ..ReceivedPromise::default() };
        }
        promise.head = promise.head.max(message.head);
        promise.accepted.extend(message.vote.map(|vote| (vote.number, vote)));
        let is_known = |slot: &u64| *slot <= promise.head || promise.accepted.contains_key(slot);
        promise.complete |= message.slots.iter().all(is_known);
    }

    /// Starts to lead, or is readmitted as a voter, if the current attempt has the promises that it needs.
    pub(super) fn complete_attempt(&mut self) {
        let Some(attempt) = self.successful_attempt() else { return };
        if !self.is_voter {
            self.readmit(attempt.ballot, &attempt.votes);
        }
        if attempt.has_quorum {
            self.start_leading(attempt.ballot, &attempt.votes);
        } else {
            self.proposer.role = Role::Idle;
        }
    }

    fn successful_attempt(&self) -> Option<SuccessfulAttempt> {
        let Role::Preparing(attempt) = &self.proposer.role else { return None };
        let complete: Vec<_> = attempt.promises.values().filter(|promise| promise.complete).collect();
        let voters: Vec<_> = complete.iter().filter(|promise| promise.votes).collect();
        let has_quorum = voters.len() + 1 >= self.quorum;
        // A replica that lost its promises and votes may vote again once all others have answered. For each proposal that
        // was chosen, or may yet be chosen, with one of its lost votes, one of the others also voted and still knows it.
        // That holds as long as fewer than a quorum have lost their votes.
        let disk_losses = complete.len() - voters.len() + 1;
        let may_be_readmitted = complete.len() + 1 == self.replicas.len() && disk_losses < self.quorum;
        let is_successful = if self.is_voter { has_quorum } else { may_be_readmitted };
        // The entries up to the highest head of these voters have to be fetched first.
        let highest_head = voters.iter().map(|promise| promise.head).max().unwrap_or(0);
        if !is_successful || highest_head > self.head() {
            return None;
        }
        let votes = voters.into_iter().flat_map(|promise| promise.accepted.values()).cloned().collect();
        Some(SuccessfulAttempt { ballot: attempt.ballot, has_quorum, votes })
    }

    /// Proposes again whatever may have been chosen above the head, and the no-op at the numbers in between.
    fn start_leading(&mut self, ballot: Ballot, reported: &[Vote]) {
        let highest = self.highest_votes(reported);
        let last = highest.keys().next_back().copied().unwrap_or(0).max(self.head());
        self.proposer.role = Role::Leading { ballot, next_number: last + 1 };
        for number in self.head() + 1..=last {
            let change = highest.get(&number).map_or_else(Change::no_op, |vote| vote.change.clone());
            let own = self.proposer.pending.iter_mut().filter(|pending| pending.change.id == change.id);
            own.for_each(|pending| pending.proposed_number = Some(number));
            self.propose_at(number, ballot, change);
        }
    }

    /// For each number above the head, the vote with the highest ballot among this replica's and the reported ones.
    fn highest_votes(&self, reported: &[Vote]) -> BTreeMap<u64, Vote> {
        let mut highest = self.acceptor.votes.clone();
        for vote in reported.iter().filter(|vote| vote.number > self.head()) {
            if highest.get(&vote.number).is_none_or(|other| other.ballot < vote.ballot) {
                highest.insert(vote.number, vote.clone());
            }
        }
        highest
    }

    /// Makes this replica a voter again, bound by the promise and by all votes that the others reported.
    fn readmit(&mut self, ballot: Ballot, reported: &[Vote]) {
        self.acceptor.votes.clear();
        self.acceptor.votes = self.highest_votes(reported);
        self.acceptor.promised = ballot;
        self.store(Record::Promised(ballot));
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        votes.into_iter().for_each(|vote| self.store(Record::Accepted(vote)));
        self.store(Record::Readmitted);
        self.is_voter = true;
    }
}
