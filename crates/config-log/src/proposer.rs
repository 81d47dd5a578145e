//! How a replica comes to lead, and what authors want: whoever leads proposes; the others pass on what authors sent them.
//! A replica without a disk comes to vote by the same way, as a ballot that all others answered.

use crate::acceptor::{SLOTS, Said};
use crate::entry::Change;
use crate::message::{Ballot, Message, Outcome, ROOM, Vote};
use crate::replica::{Record, Replica};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Numbers that are open at a time: 20 changes a second take some 6 at 0.3 s there and back, 14 where one is lost.
const OPEN: u64 = SLOTS / 2;

/// Changes of authors that wait at a replica.
const WAITING: usize = 256;

/// Seconds without a word after which a replica doesn't count as leading: each asks and answers all others every 0.3 s.
const HEARD: f64 = 0.7;

/// Seconds after which a change that was passed on, or an open number, is taken into one's own hands: longer than it
/// takes the next in turn to notice a silence, to prepare and to propose.
const GIVEN_UP: f64 = 2.0;

#[derive(Clone, Debug)]
struct Waiting {
    change: Change,
    /// Who is told the outcome; none where a replica passed it on.
    author: Option<SocketAddr>,
    since: f64,
    /// When it was last passed on.
    sent: Option<f64>,
    /// At which number it is proposed here.
    number: Option<u64>,
}

/// What a replica said to an attempt.
#[derive(Clone, Debug, Default)]
struct Promised {
    votes: bool,
    head: u64,
    accepted: BTreeMap<u64, Vote>,
    /// All that it accepted above its head is there.
    whole: bool,
}

#[derive(Clone, Debug)]
enum Role {
    Idle,
    Preparing { ballot: Ballot, attempt: u64, promises: BTreeMap<usize, Promised>, again: f64 },
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
    waiting: Vec<Waiting>,
    /// When what is open at a number is sent again.
    open: BTreeMap<u64, f64>,
    /// Not before then another attempt, and how often it was outvoted in a row.
    rest: f64,
    losses: i32,
    /// The head at which something beyond it was accepted, and since when nothing became of it.
    stalled: Option<(u64, f64)>,
}

impl Proposer {
    pub fn new(now: f64) -> Self {
        let (waiting, open) = (Vec::new(), BTreeMap::new());
        Self { role: Role::Idle, waiting, open, rest: now, losses: 0, stalled: None }
    }
}

impl Replica {
    pub(crate) fn leads(&self) -> bool {
        matches!(self.proposer.role, Role::Leading { .. })
    }

    /// An author, or a replica for one, proposes a change.
    pub(crate) fn propose(&mut self, from: SocketAddr, passed_on: bool, change: Change) {
        let id = change.id;
        let room = self.proposer.waiting.len() < WAITING;
        let known = self.proposer.waiting.iter_mut().find(|w| w.change.id == id);
        let outcome = if change.is_nothing() || id == 0 {
            Outcome::NoKey
        } else if !change.fits() {
            Outcome::TooLarge
        } else if let Some(waiting) = known {
            waiting.author = if passed_on { waiting.author } else { Some(from) };
            return;
        } else if let Some(outcome) = self.log.outcome(&change) {
            outcome
        } else if self.log.state.verdict(&change) == crate::state::Verdict::Full {
            Outcome::Full
        } else if !room {
            Outcome::Busy
        } else {
            self.tally.proposals += 1;
            let author = (!passed_on).then_some(from);
            let since = self.clock.now;
            self.proposer.waiting.push(Waiting { change, author, since, sent: None, number: None });
            return;
        };
        self.send(from, Message::Proposed { id, outcome });
    }

    /// Where it was passed on to, its outcome is known already.
    pub(crate) fn proposed_elsewhere(&mut self, id: u64, outcome: Outcome) {
        if !matches!(outcome, Outcome::Unknown | Outcome::Busy) {
            self.answer(|w| w.change.id == id, outcome);
        }
    }

    fn answer(&mut self, which: impl Fn(&Waiting) -> bool, outcome: Outcome) {
        while let Some(n) = self.proposer.waiting.iter().position(&which) {
            let waiting = self.proposer.waiting.remove(n);
            if let Some(author) = waiting.author {
                self.send(author, Message::Proposed { id: waiting.change.id, outcome });
            }
        }
    }

    /// An entry was applied.
    pub(crate) fn settle(&mut self, number: u64, id: u64) {
        self.proposer.open.remove(&number);
        self.proposer.losses = 0;
        let own = self.proposer.waiting.iter().find(|w| w.change.id == id);
        if let Some(outcome) = own.map(|w| self.log.outcome_in_turn(&w.change)) {
            self.answer(|w| w.change.id == id, outcome);
        }
        // Another's came there: this one is still to be proposed.
        let beaten = self.proposer.waiting.iter_mut().filter(|w| w.number == Some(number));
        beaten.for_each(|w| w.number = None);
    }

    /// Many entries were applied at once.
    pub(crate) fn settle_all(&mut self) {
        let head = self.log.state.head();
        self.proposer.open = self.proposer.open.split_off(&(head + 1));
        let decided = |w: &Waiting| self.log.outcome(&w.change).map(|outcome| (w.change.id, outcome));
        let decided: Vec<_> = self.proposer.waiting.iter().filter_map(decided).collect();
        decided.into_iter().for_each(|(id, outcome)| self.answer(|w| w.change.id == id, outcome));
        let beaten = self.proposer.waiting.iter_mut().filter(|w| w.number.is_some_and(|n| n <= head));
        beaten.for_each(|w| w.number = None);
    }

    /// Another attempt is above the one here.
    pub(crate) fn outvoted(&mut self, ballot: Ballot) {
        self.observed = self.observed.max(ballot);
        if self.proposer.role.ballot().is_none_or(|own| own > ballot) {
            return;
        }
        self.tally.outvoted += 1;
        let proposer = &mut self.proposer;
        proposer.role = Role::Idle;
        proposer.open.clear();
        proposer.waiting.iter_mut().for_each(|w| (w.number, w.sent) = (None, None));
        proposer.losses = (proposer.losses + 1).min(4);
        let rest = self.terms.again * (0.5 + self.chance.rand_float()) * 2f64.powi(proposer.losses - 1);
        proposer.rest = self.clock.now + rest;
    }

    pub(crate) fn prepare_heard(&mut self, n: usize, ballot: Ballot, attempt: u64) {
        let head = self.log.state.head();
        self.observed = self.observed.max(ballot);
        let promise = |slots: &[u64], vote| Message::Promise {
            ballot,
            attempt,
            votes: true,
            head,
            slots: slots.to_vec(),
            vote,
        };
        if !self.votes {
            let (slots, vote) = (Vec::new(), None);
            self.send_to(n, Message::Promise { ballot, attempt, votes: false, head, slots, vote });
            return;
        }
        match self.acceptor.prepare(ballot, attempt) {
            Said::No => {
                self.send_to(n, Message::Outvoted { ballot: self.acceptor.promised });
                return;
            }
            Said::Anew => {
                self.outvoted(ballot);
                self.store(Record::Promised(ballot));
            }
            Said::Again => {}
        }
        let slots: Vec<u64> = self.acceptor.votes.keys().copied().collect();
        if slots.is_empty() {
            self.send_to(n, promise(&slots, None));
        }
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        votes.into_iter().for_each(|vote| self.send_to(n, promise(&slots, Some(vote))));
    }

    pub(crate) fn promise_heard(
        &mut self,
        n: usize,
        of: (Ballot, u64),
        votes: bool,
        head: u64,
        slots: Vec<u64>,
        vote: Option<Vote>,
    ) {
        let standing = &mut self.others[n].standing;
        standing.head = standing.head.max(head);
        let Role::Preparing { ballot, attempt, promises, .. } = &mut self.proposer.role else { return };
        if (*ballot, *attempt) != of {
            return;
        }
        let promised = promises.entry(n).or_default();
        if promised.votes != votes {
            *promised = Promised { votes, ..Promised::default() };
        }
        promised.head = promised.head.max(head);
        promised.accepted.extend(vote.map(|vote| (vote.number, vote)));
        let there = |number: &u64| *number <= promised.head || promised.accepted.contains_key(number);
        promised.whole |= slots.iter().all(there);
    }

    pub(crate) fn accept_heard(&mut self, n: usize, vote: Vote) {
        let (head, number, ballot) = (self.log.state.head(), vote.number, vote.ballot);
        self.observed = self.observed.max(ballot);
        if number <= head {
            let entries = self.log.after(number.saturating_sub(1), ROOM);
            if !entries.is_empty() {
                self.send_to(n, Message::Log { entries });
            }
            return;
        }
        if !self.votes || number > head + SLOTS {
            return;
        }
        match self.acceptor.accept(&vote) {
            Said::No => {
                self.send_to(n, Message::Outvoted { ballot: self.acceptor.promised });
                return;
            }
            Said::Anew => {
                if self.proposer.role.ballot().is_some_and(|own| own < ballot) {
                    self.outvoted(ballot);
                }
                self.store(Record::Accepted(vote));
                self.accepted(self.me, ballot, number);
                self.send_all(Message::Accepted { ballot, number });
            }
            Said::Again => self.send_to(n, Message::Accepted { ballot, number }),
        }
        // Who proposes accepted it first.
        self.accepted(n, ballot, number);
    }

    /// An attempt to lead, or to be taken in again.
    fn prepare(&mut self) {
        let ballot = self.observed.max(self.acceptor.promised).above(self.me);
        let attempt = self.chance.rand_u64();
        self.tally.prepared += 1;
        self.observed = ballot;
        if self.votes {
            self.acceptor.prepare(ballot, attempt);
            self.store(Record::Promised(ballot));
        }
        let (promises, again) = (BTreeMap::new(), self.clock.now + self.terms.again);
        self.proposer.role = Role::Preparing { ballot, attempt, promises, again };
        self.send_all(Message::Prepare { ballot, attempt });
    }

    /// Looks whether an attempt has the answers that it needs.
    fn establish(&mut self) {
        let Role::Preparing { ballot, promises, .. } = &self.proposer.role else { return };
        let (ballot, whole) = (*ballot, promises.values().filter(|p| p.whole));
        let voters: Vec<_> = whole.clone().filter(|p| p.votes).collect();
        let established = voters.len() + 1 >= self.quorum;
        // All others must have answered one that forgot what it said: whatever it helped to choose, or may yet help to
        // choose by what it said before, one of those knows that voted for it too and did not forget. That holds while
        // fewer than a quorum forgot.
        let forgot = whole.clone().count() - voters.len() + 1;
        let taken_in = whole.count() + 1 == self.replicas.len() && forgot < self.quorum;
        let reach = voters.iter().map(|p| p.head).max().unwrap_or(0);
        if reach > self.log.state.head() || !(if self.votes { established } else { taken_in }) {
            return;
        }
        let told = voters.into_iter().flat_map(|p| p.accepted.values()).cloned().collect::<Vec<_>>();
        if !self.votes {
            self.take_in(ballot, &told);
        }
        if !established {
            self.proposer.role = Role::Idle;
            return;
        }
        let best = self.best(told);
        let last = best.keys().next_back().copied().unwrap_or(0).max(self.log.state.head());
        self.proposer.role = Role::Leading { ballot, next: last + 1 };
        for number in self.log.state.head() + 1..=last {
            let change = best.get(&number).map_or_else(Change::nothing, |vote| vote.change.clone());
            let own = self.proposer.waiting.iter_mut().filter(|w| w.change.id == change.id);
            own.for_each(|w| w.number = Some(number));
            self.propose_at(number, ballot, change);
        }
    }

    /// Of what was accepted above the head, here and there, the votes of the highest ballots.
    fn best(&self, told: Vec<Vote>) -> BTreeMap<u64, Vote> {
        let mut best = self.acceptor.votes.clone();
        for vote in told.into_iter().filter(|v| v.number > self.log.state.head()) {
            let lower = best.get(&vote.number).is_none_or(|b| b.ballot < vote.ballot);
            if lower {
                best.insert(vote.number, vote);
            }
        }
        best
    }

    /// It votes from now on, bound by all that the others told.
    fn take_in(&mut self, ballot: Ballot, told: &[Vote]) {
        self.acceptor.votes.clear();
        self.acceptor.votes = self.best(told.to_vec());
        self.acceptor.promised = ballot;
        self.store(Record::Promised(ballot));
        let votes: Vec<_> = self.acceptor.votes.values().cloned().collect();
        votes.into_iter().for_each(|vote| self.store(Record::Accepted(vote)));
        self.store(Record::Joined);
        self.votes = true;
    }

    fn propose_at(&mut self, number: u64, ballot: Ballot, change: Change) {
        let vote = Vote { number, ballot, change };
        self.acceptor.accept(&vote);
        self.store(Record::Accepted(vote.clone()));
        self.accepted(self.me, ballot, number);
        self.proposer.open.insert(number, self.clock.now + self.terms.again);
        self.send_all(Message::Accept { vote });
    }

    /// Goes on with what authors want, after each event.
    pub(crate) fn lead_on(&mut self) {
        let now = self.clock.now;
        self.expire();
        let (head, top) = (self.log.state.head(), self.top());
        self.proposer.stalled = match self.proposer.stalled {
            _ if top <= head => None,
            Some((at, since)) if at == head => Some((at, since)),
            _ => Some((head, now)),
        };
        self.establish();
        match self.proposer.role {
            Role::Leading { .. } => self.lead(),
            Role::Preparing { .. } if self.votes && self.work_since().is_none() => {
                self.proposer.role = Role::Idle;
            }
            Role::Preparing { .. } => self.ask_again(),
            Role::Idle if now < self.proposer.rest => {}
            Role::Idle if !self.votes => self.prepare(),
            Role::Idle if self.leader().is_none() && self.work_since().is_some() => {
                self.prepare();
                // One that is alone has its own answer.
                self.establish();
                if self.leads() {
                    self.lead();
                }
            }
            Role::Idle => {}
        }
        let own = self.votes && !matches!(self.proposer.role, Role::Idle);
        if let Some(leader) = self.leader().filter(|_| !own) {
            self.pass_on(leader);
        }
    }

    /// Sends an attempt again to those that have not answered it whole.
    fn ask_again(&mut self) {
        let now = self.clock.now;
        let Role::Preparing { ballot, attempt, promises, again } = &mut self.proposer.role else { return };
        if now < *again {
            return;
        }
        *again = now + self.terms.again;
        let prepare = Message::Prepare { ballot: *ballot, attempt: *attempt };
        let whole = |n: &usize| promises.get(n).is_some_and(|p| p.whole);
        let left: Vec<_> = (0..self.replicas.len()).filter(|n| *n != self.me && !whole(n)).collect();
        left.into_iter().for_each(|n| self.send_to(n, prepare.clone()));
    }

    /// Since when there is something to be led; none where there is nothing.
    fn work_since(&self) -> Option<f64> {
        let waiting = self.proposer.waiting.iter().map(|w| w.since).reduce(f64::min);
        let stalled = self.proposer.stalled.map(|(_, since)| since + GIVEN_UP);
        let stalled = stalled.filter(|since| *since <= self.clock.now);
        waiting.into_iter().chain(stalled).reduce(f64::min)
    }

    /// Another replica that leads, as far as is known here: the owner of the highest ballot, or where that one fell
    /// silent the first that votes and is heard, so that not all try at once.
    fn leader(&self) -> Option<usize> {
        let since = self.work_since()?;
        let heard = |n: usize| self.others[n].heard.is_some_and(|at| self.clock.now < at + HEARD);
        let there = |n: &usize| match *n == self.me {
            true => self.votes,
            false => heard(*n) && self.others[*n].standing.votes,
        };
        let owner = Some(self.observed.owner()).filter(|n| *n < self.others.len() && there(n));
        let owner = owner.filter(|_| self.observed != Ballot::default());
        let leader = owner.or_else(|| (0..self.others.len()).find(there))?;
        (leader != self.me && self.clock.now < since + GIVEN_UP).then_some(leader)
    }

    fn pass_on(&mut self, leader: usize) {
        let (now, again) = (self.clock.now, self.terms.again);
        let due = |w: &&mut Waiting| w.sent.is_none_or(|at| now >= at + again);
        let mut changes = Vec::new();
        for waiting in self.proposer.waiting.iter_mut().filter(due) {
            waiting.sent = Some(now);
            changes.push(waiting.change.clone());
        }
        changes.into_iter().for_each(|change| self.send_to(leader, Message::Propose { change }));
    }

    fn expire(&mut self) {
        let (now, patience) = (self.clock.now, self.terms.patience);
        let before = self.proposer.waiting.len();
        self.answer(|w| w.since + patience <= now, Outcome::Unknown);
        self.tally.unknown += (before - self.proposer.waiting.len()) as u64;
    }

    /// Proposes what waits, and sends again what was not answered.
    fn lead(&mut self) {
        let now = self.clock.now;
        while let Role::Leading { ballot, next } = &mut self.proposer.role {
            let head = self.log.state.head();
            let number = (*next).max(head + 1);
            let Some(waiting) = self.proposer.waiting.iter_mut().find(|w| w.number.is_none()) else { break };
            if number > head + OPEN {
                break;
            }
            waiting.number = Some(number);
            (*next, waiting.sent) = (number + 1, Some(now));
            let (ballot, change) = (*ballot, waiting.change.clone());
            self.propose_at(number, ballot, change);
        }
        let Role::Leading { ballot, .. } = self.proposer.role else { return };
        let due: Vec<u64> =
            self.proposer.open.iter().filter(|(_, at)| now >= **at).map(|(n, _)| *n).collect();
        for number in due {
            self.proposer.open.insert(number, now + self.terms.again);
            let Some(vote) = self.acceptor.votes.get(&number).cloned() else { continue };
            let accepted = self.learner.accepted(number, ballot);
            let left = (0..self.replicas.len()).filter(|n| accepted & (1 << n) == 0);
            left.for_each(|n| self.send_to(n, Message::Accept { vote: vote.clone() }));
        }
    }

    /// When something is due here.
    pub(crate) fn lead_due(&self) -> f64 {
        let (proposer, now) = (&self.proposer, self.clock.now);
        let first = |times: &mut dyn Iterator<Item = f64>| times.fold(f64::INFINITY, f64::min);
        let expires = first(&mut proposer.waiting.iter().map(|w| w.since + self.terms.patience));
        let stalled = proposer.stalled.map(|(_, since)| since + GIVEN_UP).filter(|at| *at > now);
        let role = match &proposer.role {
            Role::Leading { .. } => first(&mut proposer.open.values().copied()),
            Role::Preparing { again, .. } => *again,
            Role::Idle => match (self.leader(), self.work_since()) {
                (Some(leader), Some(since)) => {
                    let again =
                        proposer.waiting.iter().filter_map(|w| w.sent).map(|at| at + self.terms.again);
                    let silent = self.others[leader].heard.map_or(now, |at| at + HEARD);
                    first(&mut again.chain([silent, since + GIVEN_UP]))
                }
                (None, None) if self.votes => f64::INFINITY,
                (_, Some(since)) if proposer.rest <= now => since + GIVEN_UP,
                _ => proposer.rest,
            },
        };
        expires.min(role).min(stalled.unwrap_or(f64::INFINITY))
    }
}
