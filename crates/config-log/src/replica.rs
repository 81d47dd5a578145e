//! A control machine: told what came and when, it says what to store and what to send. What binds it is in
//! `acceptor.rs`, how it leads in `proposer.rs`, what authors want in `pending.rs`, what is chosen in `learner.rs`, those
//! who ask and follow in `serving.rs`.

use crate::acceptor::Acceptor;
use crate::clock::Clock;
use crate::collect::SnapshotPage;
use crate::entry::Entry;
use crate::learner::{CatchUp, Learner};
use crate::log::Log;
use crate::message::{Ballot, Message, Progress, Vote};
use crate::proposer::Proposer;
use crate::serving::Serving;
use crate::state::State;
use crate::view::Counters;
use minicbor::{Decode, Encode};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The figures that a fleet goes by. All its programs should have the same.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Seconds between two polls of a follower to a replica, on average.
    pub poll_interval: f64,
    /// Seconds without an answer after which a follower passes a replica over.
    pub silence_timeout: f64,
    /// Seconds between two questions of a replica to the others.
    pub heartbeat_interval: f64,
    /// Seconds after which what was not answered is sent again: longer than a letter and its answer take.
    pub retransmit_interval: f64,
    /// Seconds after which an author is told that the outcome is unknown.
    pub proposal_timeout: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll_interval: 0.5,
            silence_timeout: 1.2,
            heartbeat_interval: 0.3,
            retransmit_interval: 0.4,
            proposal_timeout: 5.0,
        }
    }
}

/// What a replica's disk must hold. Records are appended in order; [`Replica::new`] takes all that were appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Record {
    /// First record of a new log's first start, written by the shell for `--found` alone: this replica votes from the
    /// start, as there is nothing that it could have forgotten.
    #[n(0)]
    Initialized,
    /// It was taken in again after it began without a disk; written by the core.
    #[n(1)]
    Readmitted,
    #[n(2)]
    Promised(#[n(0)] Ballot),
    #[n(3)]
    Accepted(#[n(0)] Vote),
    /// Chosen, and applied in order.
    #[n(4)]
    Chosen(#[n(0)] Entry),
    /// Part of what is in force at the next `SnapshotHead`; holds only with that one.
    #[n(5)]
    SnapshotEntry(#[n(0)] Entry),
    /// All `SnapshotEntry` since the last one are in force together at this number, with that digest.
    #[n(6)]
    SnapshotHead(#[n(0)] u64, #[n(1)] u64),
}

/// What to do, in order. Whatever is stored before a send must be durable before that send goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Store(Record),
    Send { to: SocketAddr, message: Message },
}

/// Replicas at most: the last three bits of a ballot name its owner.
pub const MAX_REPLICAS: usize = 7;

/// Sends that wait to be carried out at most; what comes beyond is as if it were lost on the way. A burst of 32 entries
/// to 500 followers passes.
const MAX_QUEUED_SENDS: usize = 16_384;

/// Questions to the others of which answers count: those of the last seconds.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// Another replica as it is known here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Other {
    pub last_received_at: Option<f64>,
    pub progress: Progress,
    /// When the question was asked that it answered last, and the highest number that it had accepted anything at.
    pub confirmed_progress: Option<(f64, u64)>,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) own_index: usize,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) quorum: usize,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) random: Rand64,
    /// Whether it votes: not before it was taken in where it began without a disk.
    pub(crate) is_voter: bool,
    /// Whether its storage failed: until a fresh file holds all it knows, it neither promises nor votes nor proposes.
    pub(crate) suspended: bool,
    /// Own votes that are not known to be durable yet: they count towards no quorum. As many as the events between two
    /// calls of [`confirm_stored`](Self::confirm_stored) add.
    unstored_votes: Vec<(Ballot, u64)>,
    pub(crate) acceptor: Acceptor,
    pub(crate) learner: Learner,
    pub(crate) log: Log,
    pub(crate) catch_up: CatchUp,
    pub(crate) proposer: Proposer,
    pub(crate) serving: Serving,
    pub(crate) others: Vec<Other>,
    /// The highest ballot that was heard of.
    pub(crate) observed: Ballot,
    heartbeats_sent: VecDeque<(u64, f64)>,
    request_id: u64,
    next_heartbeat_at: f64,
    actions: VecDeque<Action>,
    sends: usize,
    pub(crate) counters: Counters,
}

impl Replica {
    /// The replica of that number among `replicas`. `stored`: all records on its disk; none: it begins without a disk,
    /// learns, and doesn't vote until it was taken in again.
    ///
    /// # Panics
    ///
    /// Where there is no replica of that number, or there are more than [`MAX_REPLICAS`]: the charter was checked before.
    pub fn new(
        own_index: usize,
        replicas: Vec<SocketAddr>,
        timing: Timing,
        seed: u64,
        now: f64,
        stored: Vec<Record>,
    ) -> Self {
        assert!(
            own_index < replicas.len() && replicas.len() <= MAX_REPLICAS,
            "replica {own_index} of {}",
            replicas.len()
        );
        let mut random = Rand64::new(u128::from(seed));
        let request_id = random.rand_u64();
        let mut replica = Self {
            own_index,
            quorum: replicas.len() / 2 + 1,
            timing,
            clock: Clock::new(now),
            random,
            is_voter: false,
            suspended: false,
            unstored_votes: Vec::new(),
            acceptor: Acceptor::default(),
            learner: Learner::default(),
            log: Log::default(),
            catch_up: CatchUp::default(),
            proposer: Proposer::new(now),
            serving: Serving::default(),
            others: vec![Other::default(); replicas.len()],
            observed: Ballot::default(),
            heartbeats_sent: VecDeque::new(),
            request_id,
            next_heartbeat_at: now,
            actions: VecDeque::new(),
            sends: 0,
            counters: Counters::default(),
            replicas,
        };
        replica.restore(stored);
        replica
    }

    fn restore(&mut self, stored: Vec<Record>) {
        let mut snapshot = Vec::new();
        for record in stored {
            match record {
                Record::Initialized | Record::Readmitted => self.is_voter = true,
                Record::Promised(ballot) => self.acceptor.promised = self.acceptor.promised.max(ballot),
                Record::Accepted(vote) => {
                    self.acceptor.promised = self.acceptor.promised.max(vote.ballot);
                    self.acceptor.votes.insert(vote.number, vote);
                }
                Record::Chosen(entry) => {
                    self.log.append(entry, self.clock.now);
                }
                Record::SnapshotEntry(entry) => snapshot.push(entry),
                Record::SnapshotHead(head, _) if head >= self.log.state.head() => {
                    self.log.install(snapshot.drain(..), head);
                }
                Record::SnapshotHead(..) => snapshot.clear(),
            }
        }
        self.acceptor.discard_through(self.log.state.head());
        self.observed = self.acceptor.promised;
    }

    /// A message came.
    pub fn receive(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.clock.advance_to(now);
        self.counters.received += 1;
        let other = self.replicas.iter().position(|at| *at == from).filter(|n| *n != self.own_index);
        match (other, message) {
            (_, Message::Propose { change }) => self.propose(from, other.is_some(), change),
            (None, Message::Get { key }) => self.on_get(from, key),
            (None, Message::StatusRequest { query_id, page }) => self.on_status_request(from, query_id, page),
            (None, Message::Poll { name, number, queried_number, request_id, apply_error, .. }) => {
                self.on_poll(from, name, number, (queried_number, request_id), apply_error);
            }
            (_, Message::Fetch { after, pages, snapshot }) => self.on_fetch(from, after, pages, snapshot),
            (Some(n), message) => self.receive_from_replica(n, message),
            (None, _) => self.counters.unexpected += 1,
        }
        self.make_progress();
    }

    /// Another replica's word.
    fn receive_from_replica(&mut self, n: usize, message: Message) {
        let now = self.clock.now;
        self.others[n].last_received_at = Some(now);
        let owned = |ballot: &Ballot| ballot.owner() == n;
        match message {
            Message::Prepare { ballot, attempt } if owned(&ballot) => self.on_prepare(n, ballot, attempt),
            Message::Accept { vote } if owned(&vote.ballot) => self.on_accept(n, vote),
            Message::Promise { ballot, attempt, votes, head, slots, vote } => {
                self.on_promise(n, (ballot, attempt), votes, head, slots, vote);
            }
            Message::Accepted { ballot, number } => self.record_acceptance(n, ballot, number),
            Message::Preempted { ballot } => self.preempted_by(ballot),
            Message::Heartbeat { request_id, progress } => {
                self.on_progress(n, progress);
                let resolve = Message::HeartbeatReply { request_id, progress: self.progress() };
                self.send_to(n, resolve);
            }
            Message::HeartbeatReply { request_id, progress } => {
                self.on_progress(n, progress);
                let heartbeats_sent =
                    self.heartbeats_sent.iter().find(|(s, _)| *s == request_id).map(|(_, at)| *at);
                let newer =
                    |at: &f64| self.others[n].confirmed_progress.is_none_or(|(before, _)| before < *at);
                if let Some(at) = heartbeats_sent.filter(|at| progress.votes && newer(at)) {
                    self.others[n].confirmed_progress = Some((at, progress.highest_accepted));
                }
            }
            Message::LogEntries { entries } => self.on_log_entries(entries),
            Message::SnapshotPage { after, through, entries, head, digest } => {
                self.on_snapshot_page(n, SnapshotPage { after, through, entries, reported: (head, digest) });
            }
            Message::ProposalResult { id, outcome } => self.on_proposal_result(id, outcome),
            _ => self.counters.unexpected += 1,
        }
    }

    fn on_progress(&mut self, n: usize, progress: Progress) {
        self.observed = self.observed.max(progress.ballot);
        if progress.head == self.log.state.head() && progress.digest != self.log.state.digest() {
            self.counters.conflicts += 1;
        }
        self.others[n].progress = progress;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.clock.advance_to(now);
        if self.clock.now >= self.next_heartbeat_at {
            self.send_heartbeats();
        }
        self.make_progress();
    }

    fn send_heartbeats(&mut self) {
        self.next_heartbeat_at = self.clock.now + self.timing.heartbeat_interval;
        self.request_id = self.request_id.wrapping_add(1);
        if self.heartbeats_sent.len() == MAX_PENDING_HEARTBEATS {
            self.heartbeats_sent.pop_front();
        }
        self.heartbeats_sent.push_back((self.request_id, self.clock.now));
        let send_heartbeats = Message::Heartbeat { request_id: self.request_id, progress: self.progress() };
        self.send_all(send_heartbeats);
    }

    /// What follows from what is known by now, after each event.
    fn make_progress(&mut self) {
        loop {
            self.apply_chosen();
            self.fetch_missing();
            self.drive_proposer();
            let head = self.log.state.head();
            self.apply_chosen();
            if self.log.state.head() == head {
                return;
            }
        }
    }

    /// When [`tick`](Self::turn) is wanted next, on the caller's clock.
    pub fn next_deadline(&self) -> f64 {
        self.clock.to_caller(self.next_heartbeat_at.min(self.fetch_deadline()).min(self.proposer_deadline()))
    }

    pub(crate) fn progress(&self) -> Progress {
        Progress {
            head: self.log.state.head(),
            digest: self.log.state.digest(),
            highest_accepted: self.highest_accepted(),
            ballot: self.observed.max(self.acceptor.promised),
            votes: self.may_vote(),
        }
    }

    /// Whether it may promise, vote and propose now.
    pub(crate) fn may_vote(&self) -> bool {
        self.is_voter && !self.suspended
    }

    /// The highest number at which it accepted anything, or its head.
    pub(crate) fn highest_accepted(&self) -> u64 {
        let record_acceptance = self.acceptor.votes.last_key_value().map_or(0, |(number, _)| *number);
        record_acceptance.max(self.log.state.head())
    }

    /// When a majority was asked that then knew of nothing beyond the head here: whatever was committed before that
    /// time is in force here. Each committed entry was accepted by a majority, so one that was asked after it knew it.
    pub(crate) fn confirmed_at(&self) -> Option<f64> {
        let head = self.log.state.head();
        let mut times: Vec<f64> = self
            .others
            .iter()
            .filter_map(|o| o.confirmed_progress)
            .filter(|a| a.1 <= head)
            .map(|a| a.0)
            .collect();
        if self.is_voter && self.highest_accepted() <= head {
            times.push(self.clock.now);
        }
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.quorum - 1).copied()
    }

    pub(crate) fn store(&mut self, record: Record) {
        self.actions.push_back(Action::Store(record));
    }

    /// Stores an own vote, which counts once it is durable.
    pub(crate) fn store_vote(&mut self, vote: Vote) {
        self.unstored_votes.push((vote.ballot, vote.number));
        self.store(Record::Accepted(vote));
    }

    /// All records that [`next_action`](Self::next_action) gave out are durable: own votes among them count from now on. May leave more
    /// to do.
    pub fn confirm_stored(&mut self) {
        if self.suspended || self.unstored_votes.is_empty() {
            return;
        }
        for (ballot, number) in std::mem::take(&mut self.unstored_votes) {
            self.record_acceptance(self.own_index, ballot, number);
        }
        self.make_progress();
    }

    /// A record that [`next_action`](Self::next_action) gave out could not be made durable. What else it gave out since then must not
    /// be carried out, and what still waits here is dropped. From now on this replica learns, relays and serves, but
    /// neither promises nor votes nor proposes, until [`storage_recovered`](Self::storage_recovered); records that it
    /// gives out until then need not be stored, as a fresh file will hold all.
    pub fn storage_failed(&mut self) {
        self.suspended = true;
        self.actions.clear();
        self.sends = 0;
        self.step_down();
    }

    /// Whether its storage failed and has not recovered.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// What [`compact`](Self::compact) gave since the last event is durable in a fresh file.
    pub fn storage_recovered(&mut self) {
        self.suspended = false;
        self.confirm_stored();
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        if self.sends == MAX_QUEUED_SENDS {
            self.counters.dropped += 1;
            return;
        }
        self.sends += 1;
        self.counters.sent += 1;
        self.actions.push_back(Action::Send { to, message });
    }

    pub(crate) fn send_to(&mut self, n: usize, message: Message) {
        self.send(self.replicas[n], message);
    }

    pub(crate) fn send_all(&mut self, message: Message) {
        let own_index = self.own_index;
        let others = (0..self.replicas.len()).filter(|n| *n != own_index);
        others.for_each(|n| self.send_to(n, message.clone()));
    }

    /// What to do next.
    pub fn next_action(&mut self) -> Option<Action> {
        let action = self.actions.pop_front()?;
        self.sends -= usize::from(matches!(action, Action::Send { .. }));
        Some(action)
    }

    /// Records that say all that `stored` must: for rewriting a file that has grown. Right only while
    /// [`next_action`](Self::next_action) has nothing left.
    pub fn compact(&self) -> Vec<Record> {
        let state = &self.log.state;
        let readmitted = self.is_voter.then_some(Record::Readmitted);
        let snapshot =
            state.iter().map(|(number, c)| Record::SnapshotEntry(Entry { number, change: c.clone() }));
        readmitted
            .into_iter()
            .chain([Record::Promised(self.acceptor.promised)])
            .chain(snapshot)
            .chain([Record::SnapshotHead(state.head(), state.digest())])
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
