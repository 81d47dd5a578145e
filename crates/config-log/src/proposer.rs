//! How a replica comes to lead: whoever leads proposes what waits in `pending.rs`. A replica without a disk comes to vote by the same way, as a ballot that all others answered.

use crate::acceptor::{ACCEPT_WINDOW, AcceptorResponse};
use crate::entry::Change;
use crate::message::{Ballot, MAX_ENTRIES_BYTES, Message, Vote};
use crate::pending::PendingChange;
use crate::replica::{Record, Replica};
use std::collections::BTreeMap;

/// Numbers that are open at a time: 20 changes a second take some 6 at 0.3 s there and back, 14 where one is lost.
const MAX_OPEN_NUMBERS: u64 = ACCEPT_WINDOW / 2;

/// Seconds without a word after which a replica doesn't count as leading: each asks and answers all others every 0.3 s.
const LEADER_TIMEOUT: f64 = 0.7;

/// Seconds after which a change that was passed on, or an open number, is taken into one's own hands: longer than it
/// takes the next in turn to notice a silence, to prepare and to propose.
const TAKEOVER_DELAY: f64 = 2.0;

/// What a replica said to an attempt.
#[derive(Clone, Debug, Default)]
struct PromiseReceived {
    votes: bool,
    head: u64,
    accepted: BTreeMap<u64, Vote>,
    /// All that it accepted above its head is there.
    complete: bool,
}

#[derive(Clone, Debug)]
enum Role {
    Idle,
    Preparing { ballot: Ballot, attempt: u64, promises: BTreeMap<usize, PromiseReceived>, retransmit_at: f64 },
    Leading { ballot: Ballot, next: u64 },
}

impl Role {
    fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Idle => None,
            Self::Preparing { ballot, .. } | Self::Leading { ballot, .. } => Some(*ballot),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    role: Role,
    pub pending: Vec<PendingChange>,
    /// When what is open at a number is sent again.
    pub open: BTreeMap<u64, f64>,
    /// Not before then another attempt, and how often it was outvoted in a row.
    next_attempt_at: f64,
    pub preemptions: i32,
    /// The head at which something beyond it was accepted, and since when nothing became of it.
    stalled: Option<(u64, f64)>,
}

impl Proposer {
    pub fn new(now: f64) -> Self {
        let (pending, open) = (Vec::new(), BTreeMap::new());
        Self { role: Role::Idle, pending, open, next_attempt_at: now, preemptions: 0, stalled: None }
    }
}

impl Replica {
    pub(crate) fn leads(&self) -> bool {
        matches!(self.proposer.role, Role::Leading { .. })
    }

    /// Another attempt is above the one here.
    pub(crate) fn preempted_by(&mut self, ballot: Ballot) {
        self.observed = self.observed.max(ballot);
        if self.proposer.role.ballot().is_none_or(|own| own > ballot) {
            return;
        }
        self.counters.preempted += 1;
        self.step_down();
        let proposer = &mut self.proposer;
        proposer.preemptions = (proposer.preemptions + 1).min(4);
        let next_attempt_at = self.timing.retransmit_interval
            * (0.5 + self.random.rand_float())
            * 2f64.powi(proposer.preemptions - 1);
        proposer.next_attempt_at = self.clock.now + next_attempt_at;
    }

    /// Leads no more, and attempts nothing; what authors want waits.
    pub(crate) fn step_down(&mut self) {
        let proposer = &mut self.proposer;
        proposer.role = Role::Idle;
        proposer.open.clear();
        proposer.pending.iter_mut().for_each(|p| (p.number, p.sent) = (None, None));
    }

    pub(crate) fn on_prepare(&mut self, n: usize, ballot: Ballot, attempt: u64) {
        let head = self.log.state.head();
        self.observed = self.observed.max(ballot);
        if self.suspended {
            // It neither promises nor forgot what it promised: it has nothing to say.
            return;
        }
        let promise = |slots: &[u64], vote| Message::Promise {
            ballot,
            attempt,
            votes: true,
            head,
            slots: slots.to_vec(),
            vote,
        };
        if !self.is_voter {
            let (slots, vote) = (Vec::new(), None);
            self.send_to(n, Message::Promise { ballot, attempt, votes: false, head, slots, vote });
            return;
        }
        match self.acceptor.prepare(ballot, attempt) {
            AcceptorResponse::Rejected => {
                self.send_to(n, Message::Preempted { ballot: self.acceptor.promised });
                return;
            }
            AcceptorResponse::New => {
                self.preempted_by(ballot);
                self.store(Record::Promised(ballot));
            }
            AcceptorResponse::Repeated => {}
        }
        let slots: Vec<u64> = self.acceptor.votes.keys().copied().collect();
        if slots.is_empty() {
            self.send_to(n, promise(&slots, None));
        }
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        votes.into_iter().for_each(|vote| self.send_to(n, promise(&slots, Some(vote))));
    }

    pub(crate) fn on_promise(
        &mut self,
        n: usize,
        answered: (Ballot, u64),
        votes: bool,
        head: u64,
        slots: Vec<u64>,
        vote: Option<Vote>,
    ) {
        let progress = &mut self.others[n].progress;
        progress.head = progress.head.max(head);
        let Role::Preparing { ballot, attempt, promises, .. } = &mut self.proposer.role else { return };
        if (*ballot, *attempt) != answered {
            return;
        }
        let promised = promises.entry(n).or_default();
        if promised.votes != votes {
            *promised = PromiseReceived { votes, ..PromiseReceived::default() };
        }
        promised.head = promised.head.max(head);
        promised.accepted.extend(vote.map(|vote| (vote.number, vote)));
        let is_known = |number: &u64| *number <= promised.head || promised.accepted.contains_key(number);
        promised.complete |= slots.iter().all(is_known);
    }

    pub(crate) fn on_accept(&mut self, n: usize, vote: Vote) {
        let (head, number, ballot) = (self.log.state.head(), vote.number, vote.ballot);
        self.observed = self.observed.max(ballot);
        if number <= head {
            let entries = self.log.after(number.saturating_sub(1), MAX_ENTRIES_BYTES);
            if !entries.is_empty() {
                self.send_to(n, Message::LogEntries { entries });
            }
            return;
        }
        if !self.may_vote() || number > head + ACCEPT_WINDOW {
            return;
        }
        match self.acceptor.accept(&vote) {
            AcceptorResponse::Rejected => {
                self.send_to(n, Message::Preempted { ballot: self.acceptor.promised });
                return;
            }
            AcceptorResponse::New => {
                if self.proposer.role.ballot().is_some_and(|own| own < ballot) {
                    self.preempted_by(ballot);
                }
                self.store_vote(vote);
                self.send_all(Message::Accepted { ballot, number });
            }
            AcceptorResponse::Repeated => self.send_to(n, Message::Accepted { ballot, number }),
        }
        // Who proposes accepted it first.
        self.record_acceptance(n, ballot, number);
    }

    /// An attempt to lead, or to be taken in again.
    fn prepare(&mut self) {
        let ballot = self.observed.max(self.acceptor.promised).above(self.own_index);
        let attempt = self.random.rand_u64();
        self.counters.prepares += 1;
        self.observed = ballot;
        if self.is_voter {
            self.acceptor.prepare(ballot, attempt);
            self.store(Record::Promised(ballot));
        }
        let (promises, retransmit_at) = (BTreeMap::new(), self.clock.now + self.timing.retransmit_interval);
        self.proposer.role = Role::Preparing { ballot, attempt, promises, retransmit_at };
        self.send_all(Message::Prepare { ballot, attempt });
    }

    /// Looks whether an attempt has the answers that it needs.
    fn establish(&mut self) {
        let Role::Preparing { ballot, promises, .. } = &self.proposer.role else { return };
        let (ballot, complete) = (*ballot, promises.values().filter(|p| p.complete));
        let voters: Vec<_> = complete.clone().filter(|p| p.votes).collect();
        let established = voters.len() + 1 >= self.quorum;
        // All others must have answered one that forgot what it said: whatever it helped to choose, or may yet help to
        // choose by what it said before, one of those knows that voted for it too and did not forget. That holds while
        // fewer than a quorum forgot.
        let forgot = complete.clone().count() - voters.len() + 1;
        let readmitted = complete.count() + 1 == self.replicas.len() && forgot < self.quorum;
        let reach = voters.iter().map(|p| p.head).max().unwrap_or(0);
        if reach > self.log.state.head() || !(if self.is_voter { established } else { readmitted }) {
            return;
        }
        let reported = voters.into_iter().flat_map(|p| p.accepted.values()).cloned().collect::<Vec<_>>();
        if !self.is_voter {
            self.readmit(ballot, &reported);
        }
        if !established {
            self.proposer.role = Role::Idle;
            return;
        }
        let highest_votes = self.highest_votes(reported);
        let last = highest_votes.keys().next_back().copied().unwrap_or(0).max(self.log.state.head());
        self.proposer.role = Role::Leading { ballot, next: last + 1 };
        for number in self.log.state.head() + 1..=last {
            let change = highest_votes.get(&number).map_or_else(Change::no_op, |vote| vote.change.clone());
            let own = self.proposer.pending.iter_mut().filter(|p| p.change.id == change.id);
            own.for_each(|p| p.number = Some(number));
            self.propose_at(number, ballot, change);
        }
    }

    /// Of what was accepted above the head, here and there, the votes of the highest ballots.
    fn highest_votes(&self, reported: Vec<Vote>) -> BTreeMap<u64, Vote> {
        let mut highest_votes = self.acceptor.votes.clone();
        for vote in reported.into_iter().filter(|v| v.number > self.log.state.head()) {
            let is_lower = highest_votes.get(&vote.number).is_none_or(|b| b.ballot < vote.ballot);
            if is_lower {
                highest_votes.insert(vote.number, vote);
            }
        }
        highest_votes
    }

    /// It votes from now on, bound by all that the others told.
    fn readmit(&mut self, ballot: Ballot, reported: &[Vote]) {
        self.acceptor.votes.clear();
        self.acceptor.votes = self.highest_votes(reported.to_vec());
        self.acceptor.promised = ballot;
        self.store(Record::Promised(ballot));
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        votes.into_iter().for_each(|vote| self.store(Record::Accepted(vote)));
        self.store(Record::Readmitted);
        self.is_voter = true;
    }

    fn propose_at(&mut self, number: u64, ballot: Ballot, change: Change) {
        let vote = Vote { number, ballot, change };
        self.acceptor.accept(&vote);
        self.store_vote(vote.clone());
        self.proposer.open.insert(number, self.clock.now + self.timing.retransmit_interval);
        self.send_all(Message::Accept { vote });
    }

    /// Goes on with what authors want, after each event.
    pub(crate) fn drive_proposer(&mut self) {
        let now = self.clock.now;
        self.expire_proposals();
        let (head, top) = (self.log.state.head(), self.highest_accepted());
        self.proposer.stalled = match self.proposer.stalled {
            _ if top <= head => None,
            Some((at, since)) if at == head => Some((at, since)),
            _ => Some((head, now)),
        };
        self.establish();
        match self.proposer.role {
            _ if self.suspended => {}
            Role::Leading { .. } => self.propose_pending(),
            Role::Preparing { .. } if self.is_voter && self.oldest_work_at().is_none() => {
                self.proposer.role = Role::Idle;
            }
            Role::Preparing { .. } => self.retransmit_prepare(),
            Role::Idle if now < self.proposer.next_attempt_at => {}
            Role::Idle if !self.is_voter => self.prepare(),
            Role::Idle if self.leader().is_none() && self.oldest_work_at().is_some() => {
                self.prepare();
                // One that is alone has its own answer.
                self.establish();
                if self.leads() {
                    self.propose_pending();
                }
            }
            Role::Idle => {}
        }
        let own = self.is_voter && !matches!(self.proposer.role, Role::Idle);
        if let Some(leader) = self.leader().filter(|_| !own) {
            self.forward_to(leader);
        }
    }

    /// Sends an attempt again to those that have not answered it whole.
    fn retransmit_prepare(&mut self) {
        let now = self.clock.now;
        let Role::Preparing { ballot, attempt, promises, retransmit_at } = &mut self.proposer.role else {
            return;
        };
        if now < *retransmit_at {
            return;
        }
        *retransmit_at = now + self.timing.retransmit_interval;
        let prepare = Message::Prepare { ballot: *ballot, attempt: *attempt };
        let complete = |n: &usize| promises.get(n).is_some_and(|p| p.complete);
        let left: Vec<_> =
            (0..self.replicas.len()).filter(|n| *n != self.own_index && !complete(n)).collect();
        left.into_iter().for_each(|n| self.send_to(n, prepare.clone()));
    }

    /// Since when there is something to be led; none where there is nothing.
    fn oldest_work_at(&self) -> Option<f64> {
        let pending = self.proposer.pending.iter().map(|p| p.since).reduce(f64::min);
        let stalled = self.proposer.stalled.map(|(_, since)| since + TAKEOVER_DELAY);
        let stalled = stalled.filter(|since| *since <= self.clock.now);
        pending.into_iter().chain(stalled).reduce(f64::min)
    }

    /// Another replica that leads, as far as is known here: the owner of the highest ballot, or where that one fell
    /// silent the first that votes and is heard, so that not all try at once.
    fn leader(&self) -> Option<usize> {
        let since = self.oldest_work_at()?;
        let heard_recently =
            |n: usize| self.others[n].last_received_at.is_some_and(|at| self.clock.now < at + LEADER_TIMEOUT);
        let can_lead = |n: &usize| match *n == self.own_index {
            true => self.may_vote(),
            false => heard_recently(*n) && self.others[*n].progress.votes,
        };
        let owner = Some(self.observed.owner()).filter(|n| *n < self.others.len() && can_lead(n));
        let owner = owner.filter(|_| self.observed != Ballot::default());
        let leader = owner.or_else(|| (0..self.others.len()).find(can_lead))?;
        // One whose storage failed can't take it into its own hands.
        let waits = self.suspended || self.clock.now < since + TAKEOVER_DELAY;
        (leader != self.own_index && waits).then_some(leader)
    }

    /// Proposes what waits, and sends again what was not answered.
    fn propose_pending(&mut self) {
        let now = self.clock.now;
        while let Role::Leading { ballot, next } = &mut self.proposer.role {
            let head = self.log.state.head();
            let number = (*next).max(head + 1);
            let Some(pending) = self.proposer.pending.iter_mut().find(|p| p.number.is_none()) else { break };
            if number > head + MAX_OPEN_NUMBERS {
                break;
            }
            pending.number = Some(number);
            (*next, pending.sent) = (number + 1, Some(now));
            let (ballot, change) = (*ballot, pending.change.clone());
            self.propose_at(number, ballot, change);
        }
        let Role::Leading { ballot, .. } = self.proposer.role else { return };
        let due: Vec<u64> =
            self.proposer.open.iter().filter(|(_, at)| now >= **at).map(|(n, _)| *n).collect();
        for number in due {
            self.proposer.open.insert(number, now + self.timing.retransmit_interval);
            let Some(vote) = self.acceptor.votes.get(&number).cloned() else { continue };
            let acceptors = self.learner.acceptors(number, ballot);
            let left = (0..self.replicas.len()).filter(|n| acceptors & (1 << n) == 0);
            left.for_each(|n| self.send_to(n, Message::Accept { vote: vote.clone() }));
        }
    }

    /// When something is to be passed on again, or that leader counts as silent.
    fn forward_deadline(&self, leader: usize) -> f64 {
        let resend = self
            .proposer
            .pending
            .iter()
            .filter_map(|p| p.sent)
            .map(|at| at + self.timing.retransmit_interval);
        let silent = self.others[leader].last_received_at.map_or(self.clock.now, |at| at + LEADER_TIMEOUT);
        resend.fold(silent, f64::min)
    }

    /// When something is due here.
    pub(crate) fn proposer_deadline(&self) -> f64 {
        let (proposer, now) = (&self.proposer, self.clock.now);
        let first = |times: &mut dyn Iterator<Item = f64>| times.fold(f64::INFINITY, f64::min);
        let expires = first(&mut proposer.pending.iter().map(|p| p.since + self.timing.proposal_timeout));
        let stalled = proposer.stalled.map(|(_, since)| since + TAKEOVER_DELAY).filter(|at| *at > now);
        let role = match &proposer.role {
            Role::Leading { .. } => first(&mut proposer.open.values().copied()),
            Role::Preparing { retransmit_at, .. } => *retransmit_at,
            Role::Idle if self.suspended => {
                self.leader().map_or(f64::INFINITY, |leader| self.forward_deadline(leader))
            }
            Role::Idle => match (self.leader(), self.oldest_work_at()) {
                (Some(leader), Some(since)) => self.forward_deadline(leader).min(since + TAKEOVER_DELAY),
                (None, None) if self.is_voter => f64::INFINITY,
                (_, Some(since)) if proposer.next_attempt_at <= now => since + TAKEOVER_DELAY,
                _ => proposer.next_attempt_at,
            },
        };
        expires.min(role).min(stalled.unwrap_or(f64::INFINITY))
    }
}
