//! The model that the search explores: three replicas with their disks, a follower, and the messages between them.

use milletpath_config_log::{
    Action, Change, Entry, Follower, FollowerConfig, Message, Outcome, OutgoingMessage, Record, Replica,
    ReplicaConfig, State, Timing,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

pub const REPLICA_COUNT: usize = 3;

/// The follower's index among the nodes.
pub const FOLLOWER: usize = 3;

const TIMING: Timing = Timing {
    poll_interval: 0.5,
    silence_timeout: 1.2,
    heartbeat_interval: 0.6,
    retransmit_interval: 0.4,
    proposal_timeout: 5.0,
};

/// Maximum number of messages in transit; further ones are lost.
const MAX_MESSAGES: usize = 12;

/// A defect that is deliberately put into the protocol, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// Messages are sent before the records they depend on are durable.
    SendBeforeDurable,
    /// A quorum is one replica of three.
    Quorum,
    /// A replica that lost its disk votes at once, as if it had never promised or accepted anything.
    LostDiskVotes,
    /// Records that could not be stored count as stored.
    IgnoreStorageFailure,
}

/// An event of the model. The first field is the index of a message in transit or of a node.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A message is delivered; if the flag is set, it stays in transit and may be delivered again.
    Deliver(usize, bool),
    /// A message is delivered, and its receiver crashes after that many actions.
    DeliverThenCrash(usize, usize),
    Drop(usize),
    Crash(usize),
    /// The replica crashes, and its disk is lost.
    LoseDisk(usize),
    Start(usize),
    /// The replica's storage fails from now on; the flag tells whether the first failing record reaches the disk anyway.
    Fail(usize, bool),
    /// The replica's storage works again, and its log is rewritten.
    Recover(usize),
    /// Time advances to the next deadline of this node; the others may miss theirs.
    Tick(usize),
    /// The follower restarts from its saved state, which may be outdated.
    RestartFollower,
    /// An author proposes a change to this replica.
    Propose(usize),
}

/// A state of the model, including what is needed to check it.
#[derive(Clone)]
pub struct Model {
    pub now: f64,
    defect: Defect,
    pub nodes: [Option<Replica>; REPLICA_COUNT],
    disks: [Vec<Record>; REPLICA_COUNT],
    /// `Some` while a replica's storage fails; the flag tells whether the first failing record reaches the disk anyway.
    pub failing: [Option<bool>; REPLICA_COUNT],
    /// With [`Defect::SendBeforeDurable`], the records of each replica that a crash would lose.
    volatile: [Vec<Record>; REPLICA_COUNT],
    follower: Follower,
    saved: Vec<u8>,
    last_seed: u64,
    messages: Vec<(usize, usize, Message)>,
    /// Changes that any node reported as chosen, by number.
    pub chosen: BTreeMap<u64, Change>,
    /// The latest outcome that the author received for each change, by id.
    outcomes: BTreeMap<u64, Outcome>,
    last_change_id: u64,
    /// The first violation of a safety property.
    pub violation: Option<String>,
}

fn node_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7500))
}

fn follower(seed: u64, now: f64, saved: Option<&[u8]>) -> Follower {
    let replicas = (0..REPLICA_COUNT).map(node_address).collect();
    let config = FollowerConfig { name: "gateway".into(), replicas, timing: TIMING, seed };
    Follower::new(config, now, saved)
}

fn author_address() -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], 9000))
}

impl Model {
    pub fn new(defect: Defect) -> Self {
        let mut model = Self {
            now: 0.0,
            defect,
            nodes: [None, None, None],
            disks: std::array::from_fn(|_| vec![Record::Initialized]),
            failing: [None; REPLICA_COUNT],
            volatile: Default::default(),
            follower: follower(0, 0.0, None),
            saved: Vec::new(),
            last_seed: 0,
            messages: Vec::new(),
            chosen: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            last_change_id: 0,
            violation: None,
        };
        (0..REPLICA_COUNT).for_each(|n| model.start_replica(n));
        model
    }

    fn start_replica(&mut self, n: usize) {
        self.last_seed += 1;
        if self.disks[n].is_empty() && self.defect == Defect::LostDiskVotes {
            self.disks[n].push(Record::Initialized);
        }
        self.failing[n] = None;
        let stored = self.disks[n].clone();
        let replicas = (0..REPLICA_COUNT).map(node_address).collect();
        let config = ReplicaConfig { own_index: n, replicas, timing: TIMING, seed: self.last_seed };
        let mut replica = Replica::new(config, self.now, stored);
        if self.defect == Defect::Quorum {
            replica.override_quorum(1);
        }
        self.nodes[n] = Some(replica);
        self.run_actions(n, usize::MAX);
    }

    fn record_violation(&mut self, description: String) {
        self.violation.get_or_insert(description);
    }

    /// Records an entry that a node reports as chosen. All nodes must report the same change at a number.
    fn record_chosen(&mut self, n: usize, entry: &Entry) {
        let before = self.chosen.entry(entry.number).or_insert_with(|| entry.change.clone());
        if *before != entry.change {
            let description = format!(
                "{n} reports {:?} at {}, but {before:?} was chosen there",
                entry.change, entry.number
            );
            self.record_violation(description);
        }
    }

    /// The next action of a replica. When none is left, all stored records are confirmed as durable, which may yield more.
    fn next_action(&mut self, n: usize) -> Option<Action> {
        let replica = self.nodes[n].as_mut()?;
        replica.next_action().or_else(|| {
            replica.confirm_stored();
            replica.next_action()
        })
    }

    fn store(&mut self, n: usize, record: Record) {
        match (self.defect, self.failing[n]) {
            (Defect::SendBeforeDurable, _) => self.volatile[n].push(record),
            (Defect::IgnoreStorageFailure, Some(_)) => {}
            (_, Some(reaches_disk)) => {
                let replica = self.nodes[n].as_mut().expect("a replica that stores is running");
                if !replica.is_suspended() {
                    self.disks[n].extend(reaches_disk.then_some(record));
                    replica.storage_failed();
                }
            }
            (_, None) => self.disks[n].push(record),
        }
    }

    /// Repairs the storage of a replica and rewrites its log.
    fn recover(&mut self, n: usize) {
        self.failing[n] = None;
        if let Some(replica) = self.nodes[n].as_mut() {
            self.disks[n] = replica.compact();
            replica.storage_recovered();
        }
        self.run_actions(n, usize::MAX);
    }

    /// Runs up to `max_actions` actions of a replica, which crashes if there are more.
    fn run_actions(&mut self, n: usize, max_actions: usize) {
        let mut remaining = max_actions;
        while let Some(action) = self.next_action(n) {
            if remaining == 0 {
                self.stop_replica(n);
                return;
            }
            remaining -= 1;
            match action {
                Action::Store(record) => {
                    if let Record::Chosen(entry) = &record {
                        self.record_chosen(n, entry);
                    }
                    self.store(n, record);
                }
                Action::Send(OutgoingMessage { to, message }) => self.send(n, to, message),
            }
        }
    }

    fn send(&mut self, n: usize, to: SocketAddr, message: Message) {
        match &message {
            Message::LogEntries { entries } => {
                entries.iter().for_each(|logged| self.record_chosen(n, &logged.entry));
            }
            Message::Push { logged } => self.record_chosen(n, &logged.entry),
            Message::PollReply { entries, .. } => {
                entries.iter().for_each(|logged| self.record_chosen(n, &logged.entry));
            }
            Message::SnapshotPage { entries, .. } => {
                entries.iter().for_each(|entry| self.record_chosen(n, entry));
            }
            Message::ProposalResult { id, outcome } if to == author_address() => {
                if let Outcome::Committed(number) = outcome
                    && self.chosen.get(number).is_none_or(|c| c.id != *id)
                {
                    self.record_violation(format!(
                        "change {id} is reported as committed at {number}, but is not"
                    ));
                }
                if let (Some(Outcome::Superseded(_)), Outcome::Committed(_))
                | (Some(Outcome::Committed(_)), Outcome::Superseded(_)) = (self.outcomes.get(id), outcome)
                {
                    self.record_violation(format!(
                        "change {id} is reported both as committed and as superseded"
                    ));
                }
                self.outcomes.insert(*id, *outcome);
            }
            _ => {}
        }
        let to = (0..=FOLLOWER).find(|n| node_address(*n) == to);
        if let Some(to) = to.filter(|_| self.messages.len() < MAX_MESSAGES) {
            self.messages.push((n, to, message));
        }
    }

    fn stop_replica(&mut self, n: usize) {
        self.nodes[n] = None;
        self.volatile[n].clear();
    }

    /// Whether replica `n` may lose its disk: fewer than a quorum may be without their votes at a time.
    pub fn may_lose_disk(&self, n: usize) -> bool {
        let votes =
            |o: usize| self.disks[o].iter().any(|r| matches!(r, Record::Initialized | Record::Readmitted));
        (0..REPLICA_COUNT).filter(|o| *o != n).all(votes)
    }

    /// All events that are possible in this state.
    pub fn events(&self) -> Vec<Event> {
        let deliveries = (0..self.messages.len()).flat_map(|index| {
            [
                Event::Deliver(index, false),
                Event::Deliver(index, true),
                Event::DeliverThenCrash(index, 0),
                Event::DeliverThenCrash(index, 1),
            ]
        });
        let losses = (0..self.messages.len()).map(Event::Drop);
        let processes = (0..REPLICA_COUNT).flat_map(|n| match self.nodes[n] {
            Some(_) => {
                let mut all = vec![Event::Crash(n), Event::Tick(n), Event::Propose(n)];
                all.extend(self.may_lose_disk(n).then_some(Event::LoseDisk(n)));
                match self.failing[n] {
                    Some(_) => all.push(Event::Recover(n)),
                    None => all.extend([Event::Fail(n, false), Event::Fail(n, true)]),
                }
                all
            }
            None => vec![Event::Start(n)],
        });
        let follower_events = [Event::Tick(FOLLOWER), Event::RestartFollower];
        deliveries.chain(losses).chain(processes).chain(follower_events).collect()
    }

    fn deliver(&mut self, message_index: usize, duplicate: bool, max_actions: usize) {
        let (from, to, message) = self.messages[message_index].clone();
        if !duplicate {
            self.messages.remove(message_index);
        }
        if to == FOLLOWER {
            self.follower.receive(self.now, node_address(from), message);
            self.check_follower();
            return;
        }
        if let Some(replica) = self.nodes[to].as_mut() {
            replica.receive(self.now, node_address(from), message);
        }
        self.run_actions(to, max_actions);
    }

    /// Sends the follower's messages, and checks that its state is one of the log.
    fn check_follower(&mut self) {
        while let Some(OutgoingMessage { to, message }) = self.follower.next_outgoing() {
            self.send(FOLLOWER, to, message);
        }
        let head = self.follower.state().head();
        let mut state = State::default();
        for (number, change) in self.chosen.range(..=head) {
            state.apply(Entry { number: *number, change: change.clone() });
        }
        if state != *self.follower.state() {
            self.record_violation(format!("the follower's state at {head} was never committed"));
        }
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Deliver(message_index, duplicate) => self.deliver(message_index, duplicate, usize::MAX),
            Event::DeliverThenCrash(message_index, actions) => self.deliver(message_index, false, actions),
            Event::Drop(message_index) => {
                self.messages.remove(message_index);
            }
            Event::Crash(n) => self.stop_replica(n),
            Event::LoseDisk(n) => {
                self.stop_replica(n);
                self.disks[n].clear();
            }
            Event::Start(n) => self.start_replica(n),
            Event::Fail(n, reaches_disk) => self.failing[n] = Some(reaches_disk),
            Event::Recover(n) => self.recover(n),
            Event::RestartFollower => {
                self.last_seed += 1;
                self.follower = follower(self.last_seed, self.now, Some(&self.saved));
                self.check_follower();
            }
            Event::Tick(FOLLOWER) => {
                self.saved = self.follower.save();
                self.now = self.now.max(self.follower.next_deadline());
                self.follower.tick(self.now);
                self.check_follower();
            }
            Event::Tick(n) => {
                // Records whose durability was not awaited have reached the disk by now.
                let mut stored = std::mem::take(&mut self.volatile[n]);
                self.disks[n].append(&mut stored);
                if let Some(replica) = self.nodes[n].as_mut() {
                    self.now = self.now.max(replica.next_deadline());
                    replica.tick(self.now);
                    if replica.next_deadline() <= self.now {
                        self.record_violation(format!("replica {n} is still due after its tick"));
                    }
                }
                self.run_actions(n, usize::MAX);
            }
            Event::Propose(n) => self.propose(n),
        }
    }

    /// Proposes a change to a replica. There are only two keys, so that changes conflict; each replaces the entry that is
    /// current at its replica.
    fn propose(&mut self, n: usize) {
        let Some(replica) = self.nodes[n].as_mut() else { return };
        self.last_change_id += 1;
        let key = ["a", "b"][self.last_change_id as usize % 2];
        let replaces = replica.state().get(key).map_or(0, |(number, _)| number);
        let change = Change {
            id: self.last_change_id,
            key: key.into(),
            text: Some(self.last_change_id.to_string()),
            replaces,
        };
        replica.receive(self.now, author_address(), Message::Propose { change });
        self.run_actions(n, usize::MAX);
    }

    /// Starts and repairs all replicas, and delivers messages promptly from then on. All nodes must then agree, no
    /// committed entry may be lost, all replicas must vote, and one more change must get a final outcome.
    pub fn heal(&mut self) -> Result<(), String> {
        self.messages.clear();
        for n in 0..REPLICA_COUNT {
            match (&self.nodes[n], self.failing[n]) {
                (None, _) => self.start_replica(n),
                (_, Some(_)) => self.recover(n),
                _ => {}
            }
        }
        self.run_reliably(20.0);
        self.propose(0);
        let id = self.last_change_id;
        self.run_reliably(10.0);
        if let Some(violation) = self.violation.clone() {
            return Err(violation);
        }
        let states: Vec<_> = self.nodes.iter().flatten().map(Replica::state).collect();
        if states.iter().any(|s| *s != states[0]) {
            return Err("the replicas do not agree".into());
        }
        if self.chosen.last_key_value().is_some_and(|(number, _)| *number > states[0].head()) {
            return Err("a committed entry is lost".into());
        }
        if self.follower.state() != states[0] {
            return Err("the follower is behind".into());
        }
        let votes = self.nodes.iter_mut().flatten().all(|r| r.view(self.now).votes);
        if !votes {
            return Err("a replica does not vote".into());
        }
        match self.outcomes.get(&id) {
            Some(Outcome::Committed(_) | Outcome::Superseded(_)) => Ok(()),
            outcome => Err(format!("the last change has no final outcome: {outcome:?}")),
        }
    }

    fn run_reliably(&mut self, seconds: f64) {
        deliver_promptly(self, &[[true; REPLICA_COUNT + 1]; REPLICA_COUNT + 1], seconds);
    }

    /// A hash that identifies this state of the model.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // The debug output of replicas and the follower shows their whole state.
        format!("{:?}{:?}{:?}", self.nodes, self.follower, self.messages).hash(&mut hasher);
        self.disks.hash(&mut hasher);
        self.failing.hash(&mut hasher);
        self.now.to_bits().hash(&mut hasher);
        hasher.finish()
    }
}

/// Runs for `seconds`: messages are delivered at once on links that are up and lost on others, and nodes tick on time.
pub fn deliver_promptly(
    model: &mut Model,
    link_is_up: &[[bool; REPLICA_COUNT + 1]; REPLICA_COUNT + 1],
    seconds: f64,
) {
    let until = model.now + seconds;
    loop {
        if let Some((from, to, _)) = model.messages.first() {
            let event = if link_is_up[*from][*to] { Event::Deliver(0, false) } else { Event::Drop(0) };
            model.apply(event);
            continue;
        }
        let next = |n: &usize| match *n {
            FOLLOWER => model.follower.next_deadline(),
            n => model.nodes[n].as_ref().map_or(f64::INFINITY, Replica::next_deadline),
        };
        let first = (0..=FOLLOWER).min_by(|a, b| next(a).total_cmp(&next(b))).expect("there are nodes");
        if next(&first) > until {
            model.now = until;
            return;
        }
        model.apply(Event::Tick(first));
    }
}
