//! Three replicas on disks in memory and an author, with messages that are delivered at once. Each message of the replica
//! whose disk fails is checked against the records that are durable.

use milletpath_config_log::{
    Ballot, Change, DurableReplica, Message, Outcome, OutgoingMessage, Record, Replica, ReplicaConfig,
    RewritePolicy, StoredLog, Timing,
};
use milletpath_storage::RecordLog;
use milletpath_storage::testing::{FaultyFolder, Operation, PowerLoss};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const REPLICA_COUNT: usize = 3;

/// The replica whose disk fails.
pub const FAULTY: usize = 1;

/// Upper bound on the duration of the scripted history, in seconds.
pub const HISTORY_SECONDS: f64 = 9.0;

const LOG_NAME: &str = "control.log";

/// Low limits, so that logs are rewritten during the scripted history.
const REWRITE_POLICY: RewritePolicy = RewritePolicy { multiple: 2, above: 900 };

/// Seconds until a process restarts after it crashed or could not read its log.
const RESTART_DELAY: f64 = 0.3;

type StoredReplica = DurableReplica<FaultyFolder>;

/// The cluster and what its author has been told.
pub struct Cluster {
    now: f64,
    replicas: [Option<StoredReplica>; REPLICA_COUNT],
    disks: [FaultyFolder; REPLICA_COUNT],
    /// The disk that fails.
    pub faulty_disk: FaultyFolder,
    /// What a crash leaves on the disk.
    pub power_loss: PowerLoss,
    restart_at: [f64; REPLICA_COUNT],
    stopped: [bool; REPLICA_COUNT],
    messages: VecDeque<(SocketAddr, SocketAddr, Message)>,
    /// Numbers at which changes are committed according to the outcomes that the author received, by change id.
    committed: BTreeMap<u64, u64>,
    last_change_id: u64,
    last_seed: u64,
}

fn replica_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7500))
}

fn author_address() -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], 9000))
}

/// The key of the change with this id.
fn key(id: u64) -> &'static str {
    ["a", "b", "c"][id as usize % 3]
}

/// The records that would be on a disk after a power loss at this moment.
fn durable_records(disk: &FaultyFolder) -> Vec<Record> {
    let left = disk.after(PowerLoss { keeps_names: false, keeps_bytes: 0 });
    let (_, recovered) = RecordLog::open(left, LOG_NAME).unwrap_or_else(|e| panic!("{e}"));
    recovered.records.iter().map(|bytes| minicbor::decode(bytes).expect("a valid record")).collect()
}

fn has_promised(records: &[Record], ballot: Ballot) -> bool {
    records.iter().any(|record| match record {
        Record::Promised(promised) => *promised >= ballot,
        Record::Accepted(vote) => vote.ballot >= ballot,
        _ => false,
    })
}

fn has_accepted(records: &[Record], ballot: Ballot, number: u64) -> bool {
    records.iter().any(|record| match record {
        Record::Accepted(vote) => vote.number == number && vote.ballot >= ballot,
        Record::Chosen(entry) => entry.number >= number,
        Record::SnapshotHead { head, .. } => *head >= number,
        _ => false,
    })
}

impl Cluster {
    pub fn new() -> Self {
        let disks: [FaultyFolder; REPLICA_COUNT] = Default::default();
        Self {
            now: 0.0,
            replicas: Default::default(),
            faulty_disk: disks[FAULTY].clone(),
            disks,
            power_loss: PowerLoss { keeps_names: true, keeps_bytes: usize::MAX },
            restart_at: [0.0; REPLICA_COUNT],
            stopped: [false; REPLICA_COUNT],
            messages: VecDeque::new(),
            committed: BTreeMap::new(),
            last_change_id: 0,
            last_seed: 0,
        }
    }

    pub fn operations(&self) -> Vec<Operation> {
        self.faulty_disk.operations()
    }

    pub fn head(&self, n: usize) -> u64 {
        self.replicas[n].as_ref().expect("the replica is running").replica().state().head()
    }

    pub fn votes(&mut self, n: usize) -> bool {
        let now = self.now;
        self.replicas[n].as_mut().is_some_and(|m| m.replica_mut().view(now).votes)
    }

    /// Stops a replica for good.
    pub fn stop(&mut self, n: usize) {
        self.replicas[n] = None;
        self.stopped[n] = true;
    }

    /// Starts the process of a replica from its disk, with a new log if there is none and nothing has been committed.
    fn start(&mut self, n: usize) {
        let disk = self.disks[n].clone();
        self.restart_at[n] = self.now + RESTART_DELAY;
        let Ok(mut stored) = StoredLog::load(disk.clone(), LOG_NAME) else { return };
        let new = stored.is_empty() && self.committed.is_empty();
        let _ = stored.renew(new);
        if disk.is_killed() {
            return;
        }
        self.last_seed += 1;
        let (seed, now) = (self.last_seed, self.now);
        self.replicas[n] = Some(DurableReplica::new(stored, REWRITE_POLICY, now, |records| {
            let replicas = (0..REPLICA_COUNT).map(replica_address).collect();
            let config = ReplicaConfig { own_index: n, replicas, timing: Timing::default(), seed };
            Replica::new(config, now, records)
        }));
    }

    fn restart_due_replicas(&mut self) {
        for n in 0..REPLICA_COUNT {
            if self.replicas[n].is_some() || self.stopped[n] || self.now < self.restart_at[n] {
                continue;
            }
            if self.disks[n].is_killed() {
                self.disks[n] = self.disks[n].after(self.power_loss);
            }
            self.start(n);
        }
    }

    /// Stores a replica's records and sends its messages.
    fn flush(&mut self, n: usize) {
        let now = self.now;
        let Some(durable) = self.replicas[n].as_mut() else { return };
        let out = durable.flush(now).messages;
        if self.disks[n].is_killed() {
            self.replicas[n] = None;
            self.restart_at[n] = now + RESTART_DELAY;
            return;
        }
        if n == FAULTY {
            self.check_durable(&out);
        }
        self.messages
            .extend(out.into_iter().map(|outgoing| (replica_address(n), outgoing.to, outgoing.message)));
    }

    /// Asserts that the promises and votes that the faulty replica is about to send would survive a power loss at this
    /// moment.
    fn check_durable(&self, out: &[OutgoingMessage]) {
        let requires_durability = |message: &Message| {
            matches!(
                message,
                Message::Promise { .. }
                    | Message::Prepare { .. }
                    | Message::Accepted { .. }
                    | Message::Accept { .. }
            )
        };
        if !out.iter().any(|outgoing| requires_durability(&outgoing.message)) {
            return;
        }
        let records = durable_records(&self.disks[FAULTY]);
        let votes = records.iter().any(|r| matches!(r, Record::Initialized | Record::Readmitted));
        for OutgoingMessage { message, .. } in out {
            let holds = match message {
                Message::Promise { votes: false, .. } => true,
                Message::Promise { ballot, .. } => votes && has_promised(&records, *ballot),
                Message::Prepare { ballot, .. } => !votes || has_promised(&records, *ballot),
                Message::Accepted { ballot, number } => votes && has_accepted(&records, *ballot, *number),
                Message::Accept { vote } => votes && has_accepted(&records, vote.ballot, vote.number),
                _ => true,
            };
            assert!(holds, "{message:?} is sent while only these records are durable: {records:?}");
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            if let (Message::ProposalResult { id, outcome: Outcome::Committed(number) }, true) =
                (&message, to == author_address())
            {
                let before = self.committed.insert(*id, *number);
                assert!(before.is_none_or(|before| before == *number), "{id} at {number} and at {before:?}");
            }
            let Some(n) = (0..REPLICA_COUNT).find(|n| replica_address(*n) == to) else { continue };
            if let Some(durable) = self.replicas[n].as_mut() {
                durable.replica_mut().receive(self.now, from, message);
                self.flush(n);
            }
        }
    }

    /// Runs the simulation for that many seconds.
    pub fn run_for(&mut self, seconds: f64) {
        /// Time step of the simulation, in seconds.
        const STEP: f64 = 0.02;
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.restart_due_replicas();
            for n in 0..REPLICA_COUNT {
                let now = self.now;
                if let Some(durable) = self.replicas[n].as_mut().filter(|m| m.next_deadline() <= now) {
                    durable.replica_mut().tick(now);
                    self.flush(n);
                }
            }
            self.deliver();
        }
    }

    fn next_change(&mut self) -> Change {
        self.last_change_id += 1;
        let key = key(self.last_change_id);
        let newest = self.replicas.iter().flatten().map(|m| m.replica().state()).max_by_key(|s| s.head());
        let replaces = newest.and_then(|state| state.get(key)).map_or(0, |(number, _)| number);
        Change { id: self.last_change_id, key: key.into(), text: Some("x".repeat(60)), replaces }
    }

    /// Proposes a change once.
    pub fn propose(&mut self, n: usize) {
        let change = self.next_change();
        self.messages.push_back((author_address(), replica_address(n), Message::Propose { change }));
        self.deliver();
    }

    /// Proposes a change repeatedly until it is committed, and returns its number.
    pub fn commit(&mut self, n: usize) -> u64 {
        let change = self.next_change();
        for _ in 0..40 {
            self.messages.push_back((
                author_address(),
                replica_address(n),
                Message::Propose { change: change.clone() },
            ));
            self.deliver();
            self.run_for(0.2);
            if let Some(number) = self.committed.get(&change.id) {
                return *number;
            }
        }
        panic!("{change:?} at {n} is not committed by {:.2} s", self.now);
    }

    /// Runs the scripted history: changes at each replica, enough of them to rewrite the logs, and a restart of the faulty
    /// replica.
    pub fn run_history(&mut self) {
        self.run_for(1.0);
        for n in [0, FAULTY, 2, 0, FAULTY, 2] {
            self.propose(n);
            self.run_for(0.3);
        }
        self.replicas[FAULTY] = None;
        self.restart_at[FAULTY] = self.now + RESTART_DELAY;
        self.run_for(0.5);
        for n in [FAULTY, 0] {
            self.propose(n);
            self.run_for(0.3);
        }
    }

    /// Asserts that without further faults all replicas vote, agree and have all acknowledged changes, also after a power
    /// loss at all replicas at once.
    pub fn check(&mut self, context: &str) {
        for n in 0..REPLICA_COUNT {
            self.disks[n].clear_faults();
            self.stopped[n] = false;
        }
        self.run_for(7.0);
        (0..REPLICA_COUNT).for_each(|n| assert!(self.votes(n), "{context}: {n} does not vote"));
        self.assert_agreement(context);
        for n in 0..REPLICA_COUNT {
            self.replicas[n] = None;
            self.disks[n] = self.disks[n].after(PowerLoss { keeps_names: false, keeps_bytes: 0 });
        }
        self.messages.clear();
        self.run_for(1.0);
        self.assert_agreement(context);
    }

    fn assert_agreement(&mut self, context: &str) {
        let last = self.commit(0);
        self.run_for(1.0);
        let states: Vec<_> = self.replicas.iter().flatten().map(|m| m.replica().state()).collect();
        assert_eq!(states.len(), REPLICA_COUNT, "{context}: not all replicas are running");
        assert!(states.iter().all(|state| *state == states[0]), "{context}: the replicas do not agree");
        let highest = self.committed.values().copied().max().unwrap_or(0);
        assert_eq!(states[0].head(), highest.max(last), "{context}");
        for (id, number) in &self.committed {
            // The change is the current entry of its key, or a later one replaced it.
            let key = key(*id);
            let (at, change) = states[0].get(key).unwrap_or_else(|| panic!("{context}: {key} has no entry"));
            let is_current = (at, change.id) == (*number, *id);
            let is_replaced = change.replaces >= *number;
            assert!(is_current || is_replaced, "{context}: change {id} at {number} is lost");
        }
    }
}
