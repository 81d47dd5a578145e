//! Phase 2 of Multi-Paxos: the leader proposes pending changes; the other replicas forward theirs to it.

use super::acceptor::ACCEPT_WINDOW;
use super::proposer::{Role, Stall};
use super::state::Replica;
use crate::entry::Change;
use crate::message::{Ballot, Message, Vote};

/// Maximum number of proposals in flight. At 20 changes per second and a round trip of 0.3 s about 6 are in flight, and 14
/// if a message is lost.
const MAX_IN_FLIGHT_PROPOSALS: u64 = ACCEPT_WINDOW / 2;

/// Seconds without a message after which a replica is not considered as leader; heartbeats come every 0.3 s.
const LEADER_TIMEOUT: f64 = 0.7;

/// Seconds after which a replica itself proposes a change that it forwarded, or completes a stalled proposal. Longer than
/// the next replica in line takes to notice that the leader is silent, to prepare and to propose.
const TAKEOVER_DELAY: f64 = 2.0;

impl Replica {
    /// Proposes, forwards, retransmits or expires whatever is due; called after each event.
    pub(super) fn drive_proposer(&mut self) {
        self.expire_pending();
        self.update_stall();
        self.complete_attempt();
        if !self.suspended {
            self.drive_role();
        }
        let is_proposing = self.is_voter && !matches!(self.proposer.role, Role::Idle);
        if let Some(leader) = self.leader().filter(|_| !is_proposing) {
            self.forward_pending(leader);
        }
    }

    /// Notes since when the head has not advanced although a proposal beyond it was accepted.
    fn update_stall(&mut self) {
        let head = self.head();
        self.proposer.stall = match self.proposer.stall {
            _ if self.highest_accepted() <= head => None,
            Some(stall) if stall.head == head => Some(stall),
            _ => Some(Stall { head, since: self.clock.now }),
        };
    }

    /// Takes the next step as leader, as candidate, or towards a new attempt.
    fn drive_role(&mut self) {
        match self.proposer.role {
            Role::Leading { .. } => self.lead(),
            Role::Preparing(_) if self.is_voter && self.oldest_work_at().is_none() => {
                self.proposer.role = Role::Idle;
            }
            Role::Preparing(_) => self.retransmit_prepare(),
            Role::Idle if self.clock.now < self.proposer.next_attempt_at => {}
            Role::Idle if !self.is_voter => self.prepare(),
            Role::Idle if self.leader().is_none() && self.oldest_work_at().is_some() => {
                self.prepare();
                // A cluster of one replica needs no other promise.
                self.complete_attempt();
                if self.leads() {
                    self.lead();
                }
            }
            Role::Idle => {}
        }
    }

    /// Since when there has been something to propose; `None` if there is nothing.
    fn oldest_work_at(&self) -> Option<f64> {
        let pending = self.proposer.pending.iter().map(|pending| pending.received_at).reduce(f64::min);
        let stalled = self.proposer.stall.map(|stall| stall.since + TAKEOVER_DELAY);
        let stalled = stalled.filter(|since| *since <= self.clock.now);
        pending.into_iter().chain(stalled).reduce(f64::min)
    }

    /// The other replica that is expected to propose, if there is something to propose: the owner of the highest ballot
    /// or, if that one cannot lead, the first replica that can, so that not all replicas prepare at once.
    fn leader(&self) -> Option<usize> {
        let since = self.oldest_work_at()?;
        let owner = Some(self.observed_ballot.owner())
            .filter(|owner| *owner < self.peers.len() && self.can_lead(*owner))
            .filter(|_| self.observed_ballot != Ballot::default());
        let leader = owner.or_else(|| (0..self.peers.len()).find(|replica| self.can_lead(*replica)))?;
        // A replica whose storage failed cannot take over, so it keeps waiting for the leader.
        let waits = self.suspended || self.clock.now < since + TAKEOVER_DELAY;
        (leader != self.own_index && waits).then_some(leader)
    }

    /// Whether a replica votes and has sent something recently.
    fn can_lead(&self, replica: usize) -> bool {
        if replica == self.own_index {
            return self.may_vote();
        }
        let peer = &self.peers[replica];
        let has_recent_contact = peer.last_received_at.is_some_and(|at| self.clock.now < at + LEADER_TIMEOUT);
        has_recent_contact && peer.progress.votes
    }

    fn lead(&mut self) {
        self.propose_pending();
        self.retransmit_in_flight();
    }

    /// Proposes pending changes at the next numbers, as far as the window allows.
    fn propose_pending(&mut self) {
        while let Role::Leading { ballot, next_number } = &mut self.proposer.role {
            let head = self.log.state.head();
            let number = (*next_number).max(head + 1);
            let unproposed =
                self.proposer.pending.iter_mut().find(|pending| pending.proposed_number.is_none());
            let Some(pending) = unproposed else { break };
            if number > head + MAX_IN_FLIGHT_PROPOSALS {
                break;
            }
            pending.proposed_number = Some(number);
            pending.sent_at = Some(self.clock.now);
            *next_number = number + 1;
            let (ballot, change) = (*ballot, pending.change.clone());
            self.propose_at(number, ballot, change);
        }
    }

    /// Makes a proposal: accepts it here and asks the other replicas to accept it.
    pub(super) fn propose_at(&mut self, number: u64, ballot: Ballot, change: Change) {
        let vote = Vote { number, ballot, change };
        self.acceptor.accept(&vote);
        self.store_vote(vote.clone());
        self.proposer.in_flight.insert(number, self.clock.now + self.timing.retransmit_interval);
        self.send_to_others(&Message::Accept { vote });
    }

    /// Retransmits proposals to the replicas that have not accepted them in time.
    fn retransmit_in_flight(&mut self) {
        let Role::Leading { ballot, .. } = self.proposer.role else { return };
        let now = self.clock.now;
        let due: Vec<u64> = self
            .proposer
            .in_flight
            .iter()
            .filter(|(_, retransmit_at)| now >= **retransmit_at)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.proposer.in_flight.insert(number, now + self.timing.retransmit_interval);
            let Some(vote) = self.acceptor.votes.get(&number).cloned() else { continue };
            for replica in 0..self.replicas.len() {
                if !self.learner.has_accepted(replica, number, ballot) {
                    self.send_to(replica, Message::Accept { vote: vote.clone() });
                }
            }
        }
    }

    /// When [`drive_proposer`](Self::drive_proposer) has something to do next.
    pub(super) fn proposer_deadline(&self) -> f64 {
        let proposer = &self.proposer;
        let expiry =
            proposer.pending.iter().map(|pending| pending.received_at + self.timing.proposal_timeout);
        let takeover = proposer.stall.map(|stall| stall.since + TAKEOVER_DELAY);
        let takeover = takeover.filter(|at| *at > self.clock.now);
        let role = match &proposer.role {
            Role::Leading { .. } => proposer.in_flight.values().copied().fold(f64::INFINITY, f64::min),
            Role::Preparing(attempt) => attempt.retransmit_at,
            Role::Idle => self.idle_deadline(),
        };
        expiry.chain(takeover).fold(role, f64::min)
    }

    fn idle_deadline(&self) -> f64 {
        if self.suspended {
            return self.leader().map_or(f64::INFINITY, |leader| self.forward_deadline(leader));
        }
        let next_attempt_at = self.proposer.next_attempt_at;
        match (self.leader(), self.oldest_work_at()) {
            (Some(leader), Some(since)) => self.forward_deadline(leader).min(since + TAKEOVER_DELAY),
            (None, None) if self.is_voter => f64::INFINITY,
            (_, Some(since)) if next_attempt_at <= self.clock.now => since + TAKEOVER_DELAY,
            _ => next_attempt_at,
        }
    }

    /// When a change has to be forwarded again, or `leader` counts as silent.
    fn forward_deadline(&self, leader: usize) -> f64 {
        let silent_at = self.peers[leader].last_received_at.map_or(self.clock.now, |at| at + LEADER_TIMEOUT);
        let sent = self.proposer.pending.iter().filter_map(|pending| pending.sent_at);
        sent.map(|at| at + self.timing.retransmit_interval).fold(silent_at, f64::min)
    }
}
