//! The acceptor: handles prepare and accept requests.

use super::acceptor::{ACCEPT_WINDOW, AcceptorResponse};
use super::record::Record;
use super::state::Replica;
use crate::message::{Ballot, MAX_ENTRIES_BYTES, Message, Vote};

impl Replica {
    /// Phase 1 of Paxos: promises the ballot, and reports the proposals accepted under lower ones.
    pub(super) fn on_prepare(&mut self, from: usize, ballot: Ballot, attempt: u64) {
        self.observed_ballot = self.observed_ballot.max(ballot);
        if self.suspended {
            // Neither reply would be right: it cannot promise, and it has not lost its earlier promises and votes.
            return;
        }
        if !self.is_voter {
            let promise = self.promise(ballot, attempt, &[], None);
            self.send_to(from, promise);
            return;
        }
        match self.acceptor.prepare(ballot, attempt) {
            AcceptorResponse::Rejected => {
                self.send_to(from, Message::Preempted { ballot: self.acceptor.promised });
                return;
            }
            AcceptorResponse::New => {
                self.preempted_by(ballot);
                self.store(Record::Promised(ballot));
            }
            AcceptorResponse::Repeated => {}
        }
        self.send_promises(from, ballot, attempt);
    }

    /// Sends the promise as one message for each accepted proposal, so that the longest entry fits into a datagram.
    fn send_promises(&mut self, to: usize, ballot: Ballot, attempt: u64) {
        let slots: Vec<u64> = self.acceptor.votes.keys().copied().collect();
        if slots.is_empty() {
            let promise = self.promise(ballot, attempt, &slots, None);
            self.send_to(to, promise);
        }
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        for vote in votes {
            let promise = self.promise(ballot, attempt, &slots, Some(vote));
            self.send_to(to, promise);
        }
    }

    fn promise(&self, ballot: Ballot, attempt: u64, slots: &[u64], vote: Option<Vote>) -> Message {
        Message::Promise {
            ballot,
            attempt,
            votes: self.is_voter,
            head: self.head(),
            slots: slots.to_vec(),
            vote,
        }
    }

    /// Phase 2 of Paxos: accepts a proposal, and reports the vote to all replicas.
    pub(super) fn on_accept(&mut self, from: usize, vote: Vote) {
        let (head, number, ballot) = (self.head(), vote.number, vote.ballot);
        self.observed_ballot = self.observed_ballot.max(ballot);
        if number <= head {
            self.send_chosen_from(from, number);
            return;
        }
        if !self.may_vote() || number > head + ACCEPT_WINDOW {
            return;
        }
        match self.acceptor.accept(&vote) {
            AcceptorResponse::Rejected => {
                self.send_to(from, Message::Preempted { ballot: self.acceptor.promised });
                return;
            }
            AcceptorResponse::New => {
                if self.proposer.role.ballot().is_some_and(|own| own < ballot) {
                    self.preempted_by(ballot);
                }
                self.store_vote(vote);
                self.send_to_others(&Message::Accepted { ballot, number });
            }
            AcceptorResponse::Repeated => self.send_to(from, Message::Accepted { ballot, number }),
        }
        // A proposer has accepted its own proposal before sending it.
        self.count_vote(from, ballot, number);
    }

    /// Sends chosen entries from `number` on to a proposer that is behind.
    fn send_chosen_from(&mut self, to: usize, number: u64) {
        let entries = self.log.entries_after(number.saturating_sub(1), MAX_ENTRIES_BYTES);
        if !entries.is_empty() {
            self.send_to(to, Message::LogEntries { entries });
        }
    }
}
