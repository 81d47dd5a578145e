//! The data of a replica, its start from stored records, and its queue of actions.

use super::acceptor::Acceptor;
use super::catch_up::CatchUp;
use super::followers::Followers;
use super::learner::Learner;
use super::log::Log;
use super::peers::{Heartbeats, Peer};
use super::proposer::Proposer;
use super::record::{Action, Record};
use super::status_reports::StatusReports;
use crate::clock::Clock;
use crate::message::{Ballot, Message, OutgoingMessage};
use crate::state::State;
use crate::timing::Timing;
use crate::view::Counters;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of replicas. Their indexes fit into the low three bits of a ballot.
pub const MAX_REPLICAS: usize = 7;

/// Maximum number of queued messages; further ones are dropped, as if they were lost in the network. A burst of 32 entries
/// to 500 followers fits.
const MAX_QUEUED_SENDS: usize = 16_384;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Index of this replica among `replicas`.
    pub own_index: usize,
    /// Addresses of all replicas, in the same order at each of them; at most [`MAX_REPLICAS`].
    pub replicas: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Seed of the random number generator; must differ at each start.
    pub seed: u64,
}

/// A replica of the log. It takes each received message and the current time, and yields actions.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) own_index: usize,
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) quorum: usize,
    pub(super) timing: Timing,
    pub(super) clock: Clock,
    pub(super) random: Rand64,
    /// Whether this replica is a voter; one that lost its disk is not until it is readmitted.
    pub(super) is_voter: bool,
    /// Whether the storage has failed. Until a new file holds everything, the replica does not promise, vote or propose.
    pub(super) suspended: bool,
    /// This replica's votes that are not known to be durable and so are not counted yet. Their number is bounded by the
    /// events between two calls of [`confirm_stored`](Self::confirm_stored).
    pub(super) unstored_votes: Vec<(Ballot, u64)>,
    pub(super) acceptor: Acceptor,
    pub(super) learner: Learner,
    pub(super) log: Log,
    pub(super) catch_up: CatchUp,
    pub(super) proposer: Proposer,
    pub(super) followers: Followers,
    pub(super) status_reports: StatusReports,
    /// All replicas by index; this replica's own element is unused.
    pub(super) peers: Vec<Peer>,
    /// Highest ballot that this replica has seen or used.
    pub(super) observed_ballot: Ballot,
    pub(super) heartbeats: Heartbeats,
    pub(super) actions: VecDeque<Action>,
    /// Number of messages among the actions.
    pub(super) queued_sends: usize,
    pub(super) counters: Counters,
}

impl Replica {
    /// Starts a replica from all records in its log file. Without any records it has lost its disk: it learns entries, but
    /// does not vote until it is readmitted.
    ///
    /// # Panics
    ///
    /// If `own_index` is out of range, or there are more than [`MAX_REPLICAS`]. The caller must have validated the
    /// configuration.
    #[must_use]
    pub fn new(config: ReplicaConfig, now: f64, stored: Vec<Record>) -> Self {
        let ReplicaConfig { own_index, replicas, timing, seed } = config;
        assert!(
            own_index < replicas.len() && replicas.len() <= MAX_REPLICAS,
            "replica {own_index} of {}",
            replicas.len()
        );
        let mut random = Rand64::new(u128::from(seed));
        let first_request_id = random.rand_u64();
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
            followers: Followers::default(),
            status_reports: StatusReports::default(),
            peers: vec![Peer::default(); replicas.len()],
            observed_ballot: Ballot::default(),
            heartbeats: Heartbeats::new(first_request_id, now),
            actions: VecDeque::new(),
            queued_sends: 0,
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
                Record::SnapshotHead { head, .. } if head >= self.head() => {
                    self.log.install(snapshot.drain(..), head);
                }
                Record::SnapshotHead { .. } => snapshot.clear(),
            }
        }
        self.acceptor.discard_through(self.head());
        self.observed_ballot = self.acceptor.promised;
    }

    /// The current configuration at this replica.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.log.state
    }

    /// Number up to which all entries are chosen and applied.
    pub(super) fn head(&self) -> u64 {
        self.log.state.head()
    }

    /// Whether this replica may promise, vote and propose now.
    pub(super) fn may_vote(&self) -> bool {
        self.is_voter && !self.suspended
    }

    /// Highest number at which this replica has accepted a proposal, or its head if that is higher.
    pub(super) fn highest_accepted(&self) -> u64 {
        let accepted = self.acceptor.votes.last_key_value().map_or(0, |(number, _)| *number);
        accepted.max(self.head())
    }

    /// Highest ballot that this replica has seen or promised.
    pub(super) fn highest_ballot(&self) -> Ballot {
        self.observed_ballot.max(self.acceptor.promised)
    }

    /// Indexes of the other replicas.
    pub(super) fn other_replicas(&self) -> impl Iterator<Item = usize> + use<> {
        let own_index = self.own_index;
        (0..self.replicas.len()).filter(move |replica| *replica != own_index)
    }

    /// The next action that the caller has to run.
    #[must_use]
    pub fn next_action(&mut self) -> Option<Action> {
        let action = self.actions.pop_front()?;
        self.queued_sends -= usize::from(matches!(action, Action::Send(_)));
        Some(action)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        if self.queued_sends == MAX_QUEUED_SENDS {
            self.counters.dropped += 1;
            return;
        }
        self.queued_sends += 1;
        self.counters.sent += 1;
        self.actions.push_back(Action::Send(OutgoingMessage { to, message }));
    }

    pub(super) fn send_to(&mut self, replica: usize, message: Message) {
        self.send(self.replicas[replica], message);
    }

    pub(super) fn send_to_others(&mut self, message: &Message) {
        self.other_replicas().for_each(|replica| self.send_to(replica, message.clone()));
    }

    /// Overrides the quorum size. For tests only: too small a quorum is a defect that the model search must find.
    #[doc(hidden)]
    pub fn override_quorum(&mut self, quorum: usize) {
        self.quorum = quorum;
    }
}
