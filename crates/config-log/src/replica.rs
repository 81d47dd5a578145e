//! A control machine: told what came and when, it says what to store and what to send. What binds it is in
//! `acceptor.rs`, how it leads and what authors want in `proposer.rs`, what is chosen in `learner.rs`, those who ask and
//! follow in `serving.rs`.

use crate::acceptor::Acceptor;
use crate::clock::Clock;
use crate::collect::Page;
use crate::entry::Entry;
use crate::learner::{Fetching, Learner};
use crate::log::Log;
use crate::message::{Ballot, Message, Standing, Vote};
use crate::proposer::Proposer;
use crate::serving::Serving;
use crate::state::State;
use crate::view::Tally;
use minicbor::{Decode, Encode};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The figures that a fleet goes by. All its programs should have the same.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Seconds between two polls of a follower to a replica, on average.
    pub poll: f64,
    /// Seconds without an answer after which a follower passes a replica over.
    pub silent: f64,
    /// Seconds between two questions of a replica to the others.
    pub ask: f64,
    /// Seconds after which what was not answered is sent again: longer than a letter and its answer take.
    pub again: f64,
    /// Seconds after which an author is told that the outcome is unknown.
    pub patience: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self { poll: 0.5, silent: 1.2, ask: 0.3, again: 0.4, patience: 5.0 }
    }
}

/// What a replica's disk must hold. Records are appended in order; [`Replica::new`] takes all that were appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Record {
    /// First record of a new log's first start, written by the shell for `--found` alone: this replica votes from the
    /// start, as there is nothing that it could have forgotten.
    #[n(0)]
    Founded,
    /// It was taken in again after it began without a disk; written by the core.
    #[n(1)]
    Joined,
    #[n(2)]
    Promised(#[n(0)] Ballot),
    #[n(3)]
    Accepted(#[n(0)] Vote),
    /// Chosen, and applied in order.
    #[n(4)]
    Chosen(#[n(0)] Entry),
    /// Part of what is in force at the next `Head`; holds only with that one.
    #[n(5)]
    Held(#[n(0)] Entry),
    /// All `Held` since the last one are in force together at this number, with that digest.
    #[n(6)]
    Head(#[n(0)] u64, #[n(1)] u64),
}

/// What to do, in order. Whatever is stored before a send must be durable before that send goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Store(Record),
    Send { to: SocketAddr, message: Message },
}

/// Replicas at most: the last three bits of a ballot name its owner.
pub const REPLICAS: usize = 7;

/// Sends that wait to be carried out at most; what comes beyond is as if it were lost on the way. A burst of 32 entries
/// to 500 followers passes.
const SENDS: usize = 16_384;

/// Questions to the others of which answers count: those of the last seconds.
const ASKED: usize = 16;

/// Another replica as it is known here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Other {
    pub heard: Option<f64>,
    pub standing: Standing,
    /// When the question was asked that it answered last, and the highest number that it had accepted anything at.
    pub answered: Option<(f64, u64)>,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) me: usize,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) quorum: usize,
    pub(crate) terms: Terms,
    pub(crate) clock: Clock,
    pub(crate) chance: Rand64,
    /// Whether it votes: not before it was taken in where it began without a disk.
    pub(crate) votes: bool,
    pub(crate) acceptor: Acceptor,
    pub(crate) learner: Learner,
    pub(crate) log: Log,
    pub(crate) fetching: Fetching,
    pub(crate) proposer: Proposer,
    pub(crate) serving: Serving,
    pub(crate) others: Vec<Other>,
    /// The highest ballot that was heard of.
    pub(crate) observed: Ballot,
    asked: VecDeque<(u64, f64)>,
    stamp: u64,
    ask_at: f64,
    acts: VecDeque<Act>,
    sends: usize,
    pub(crate) tally: Tally,
}

impl Replica {
    /// The replica of that number among `replicas`. `stored`: all records on its disk; none: it begins without a disk,
    /// learns, and doesn't vote until it was taken in again.
    ///
    /// # Panics
    ///
    /// Where there is no replica of that number, or there are more than [`REPLICAS`]: the charter was checked before.
    pub fn new(
        me: usize,
        replicas: Vec<SocketAddr>,
        terms: Terms,
        seed: u64,
        now: f64,
        stored: Vec<Record>,
    ) -> Self {
        assert!(me < replicas.len() && replicas.len() <= REPLICAS, "replica {me} of {}", replicas.len());
        let mut chance = Rand64::new(u128::from(seed));
        let stamp = chance.rand_u64();
        let mut replica = Self {
            me,
            quorum: replicas.len() / 2 + 1,
            terms,
            clock: Clock::new(now),
            chance,
            votes: false,
            acceptor: Acceptor::default(),
            learner: Learner::default(),
            log: Log::default(),
            fetching: Fetching::default(),
            proposer: Proposer::new(now),
            serving: Serving::default(),
            others: vec![Other::default(); replicas.len()],
            observed: Ballot::default(),
            asked: VecDeque::new(),
            stamp,
            ask_at: now,
            acts: VecDeque::new(),
            sends: 0,
            tally: Tally::default(),
            replicas,
        };
        replica.remember(stored);
        replica
    }

    fn remember(&mut self, stored: Vec<Record>) {
        let mut held = Vec::new();
        for record in stored {
            match record {
                Record::Founded | Record::Joined => self.votes = true,
                Record::Promised(ballot) => self.acceptor.promised = self.acceptor.promised.max(ballot),
                Record::Accepted(vote) => {
                    self.acceptor.promised = self.acceptor.promised.max(vote.ballot);
                    self.acceptor.votes.insert(vote.number, vote);
                }
                Record::Chosen(entry) => {
                    self.log.append(entry, self.clock.now);
                }
                Record::Held(entry) => held.push(entry),
                Record::Head(head, _) if head >= self.log.state.head() => {
                    self.log.install(held.drain(..), head);
                }
                Record::Head(..) => held.clear(),
            }
        }
        self.acceptor.forget(self.log.state.head());
        self.observed = self.acceptor.promised;
    }

    /// A message came.
    pub fn heard(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.clock.pass(now);
        self.tally.taken += 1;
        let other = self.replicas.iter().position(|at| *at == from).filter(|n| *n != self.me);
        match (other, message) {
            (_, Message::Propose { change }) => self.propose(from, other.is_some(), change),
            (None, Message::Get { key }) => self.get(from, key),
            (None, Message::Status { ask, page }) => self.status(from, ask, page),
            (None, Message::Poll { name, number, about, stamp, refused, .. }) => {
                self.polled(from, name, number, (about, stamp), refused);
            }
            (_, Message::Fetch { after, pages, compacted }) => self.fetched(from, after, pages, compacted),
            (Some(n), message) => self.heard_of(n, message),
            (None, _) => self.tally.strange += 1,
        }
        self.go_on();
    }

    /// Another replica's word.
    fn heard_of(&mut self, n: usize, message: Message) {
        let now = self.clock.now;
        self.others[n].heard = Some(now);
        let owned = |ballot: &Ballot| ballot.owner() == n;
        match message {
            Message::Prepare { ballot, attempt } if owned(&ballot) => self.prepare_heard(n, ballot, attempt),
            Message::Accept { vote } if owned(&vote.ballot) => self.accept_heard(n, vote),
            Message::Promise { ballot, attempt, votes, head, slots, vote } => {
                self.promise_heard(n, (ballot, attempt), votes, head, slots, vote);
            }
            Message::Accepted { ballot, number } => self.accepted(n, ballot, number),
            Message::Outvoted { ballot } => self.outvoted(ballot),
            Message::Ask { stamp, standing } => {
                self.stands(n, standing);
                let answer = Message::Answer { stamp, standing: self.standing() };
                self.send_to(n, answer);
            }
            Message::Answer { stamp, standing } => {
                self.stands(n, standing);
                let asked = self.asked.iter().find(|(s, _)| *s == stamp).map(|(_, at)| *at);
                let newer = |at: &f64| self.others[n].answered.is_none_or(|(before, _)| before < *at);
                if let Some(at) = asked.filter(|at| standing.votes && newer(at)) {
                    self.others[n].answered = Some((at, standing.top));
                }
            }
            Message::Log { entries } => self.log_heard(entries),
            Message::Page { after, upto, entries, head, digest } => {
                self.page_heard(n, Page { after, upto, entries, told: (head, digest) });
            }
            Message::Proposed { id, outcome } => self.proposed_elsewhere(id, outcome),
            _ => self.tally.strange += 1,
        }
    }

    fn stands(&mut self, n: usize, standing: Standing) {
        self.observed = self.observed.max(standing.ballot);
        if standing.head == self.log.state.head() && standing.digest != self.log.state.digest() {
            self.tally.conflicts += 1;
        }
        self.others[n].standing = standing;
    }

    /// Does what is due.
    pub fn turn(&mut self, now: f64) {
        self.clock.pass(now);
        if self.clock.now >= self.ask_at {
            self.ask();
        }
        self.go_on();
    }

    fn ask(&mut self) {
        self.ask_at = self.clock.now + self.terms.ask;
        self.stamp = self.stamp.wrapping_add(1);
        if self.asked.len() == ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.stamp, self.clock.now));
        let ask = Message::Ask { stamp: self.stamp, standing: self.standing() };
        self.send_all(ask);
    }

    /// What follows from what is known by now, after each event.
    fn go_on(&mut self) {
        loop {
            self.advance();
            self.fetch_on();
            self.lead_on();
            let head = self.log.state.head();
            self.advance();
            if self.log.state.head() == head {
                return;
            }
        }
    }

    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        self.clock.theirs(self.ask_at.min(self.fetch_due()).min(self.lead_due()))
    }

    pub(crate) fn standing(&self) -> Standing {
        Standing {
            head: self.log.state.head(),
            digest: self.log.state.digest(),
            top: self.top(),
            ballot: self.observed.max(self.acceptor.promised),
            votes: self.votes,
        }
    }

    /// The highest number at which it accepted anything, or its head.
    pub(crate) fn top(&self) -> u64 {
        let accepted = self.acceptor.votes.last_key_value().map_or(0, |(number, _)| *number);
        accepted.max(self.log.state.head())
    }

    /// When a majority was asked that then knew of nothing beyond the head here: whatever was committed before that
    /// time is in force here. Each committed entry was accepted by a majority, so one that was asked after it knew it.
    pub(crate) fn sure(&self) -> Option<f64> {
        let head = self.log.state.head();
        let mut times: Vec<f64> =
            self.others.iter().filter_map(|o| o.answered).filter(|a| a.1 <= head).map(|a| a.0).collect();
        if self.votes && self.top() <= head {
            times.push(self.clock.now);
        }
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.quorum - 1).copied()
    }

    pub(crate) fn store(&mut self, record: Record) {
        self.acts.push_back(Act::Store(record));
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        if self.sends == SENDS {
            self.tally.unsent += 1;
            return;
        }
        self.sends += 1;
        self.tally.sent += 1;
        self.acts.push_back(Act::Send { to, message });
    }

    pub(crate) fn send_to(&mut self, n: usize, message: Message) {
        self.send(self.replicas[n], message);
    }

    pub(crate) fn send_all(&mut self, message: Message) {
        let me = self.me;
        let others = (0..self.replicas.len()).filter(|n| *n != me);
        others.for_each(|n| self.send_to(n, message.clone()));
    }

    /// What to do next.
    pub fn act(&mut self) -> Option<Act> {
        let act = self.acts.pop_front()?;
        self.sends -= usize::from(matches!(act, Act::Send { .. }));
        Some(act)
    }

    /// Records that say all that `stored` must: for rewriting a file that has grown. Right only while
    /// [`act`](Self::act) has nothing left.
    pub fn compact(&self) -> Vec<Record> {
        let state = &self.log.state;
        let joined = self.votes.then_some(Record::Joined);
        let held = state.iter().map(|(number, c)| Record::Held(Entry { number, change: c.clone() }));
        joined
            .into_iter()
            .chain([Record::Promised(self.acceptor.promised)])
            .chain(held)
            .chain([Record::Head(state.head(), state.digest())])
            .chain(self.acceptor.votes.values().cloned().map(Record::Accepted))
            .collect()
    }

    pub fn state(&self) -> &State {
        &self.log.state
    }

    /// So few are enough from now on: for a test that shows that the search finds what that breaks.
    #[doc(hidden)]
    pub fn break_quorum(&mut self, quorum: usize) {
        self.quorum = quorum;
    }
}
