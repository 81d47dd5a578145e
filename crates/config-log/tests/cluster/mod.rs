//! Deterministic simulation of replicas and followers from a seed: the real state machines, disks that keep durable
//! records, clocks that drift apart, and a network that loses, delays, duplicates and partitions messages by a rule. Each
//! committed entry, and each state that a follower reaches, is compared with the reference log.

#![allow(dead_code)]

mod inspection;
pub mod network;
mod node;
pub mod reference_log;
mod schedule;

pub use inspection::change;
pub use network::NodeId;
pub use node::Node;

use milletpath_config_log::message::{self, Key};
use milletpath_config_log::{
    Action, Change, Follower, FollowerConfig, Message, Outcome, OutgoingMessage, Record, Replica,
    ReplicaConfig, Timing,
};
use network::NodeId::{Author, Follower as FollowerNode, Replica as ReplicaNode};
use network::{DeliveryRule, Tamper, reliable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference_log::ReferenceLog;
use schedule::{Event, Schedule, ScheduledEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// When a replica crashes while it runs its actions.
#[derive(Clone, Copy, Debug)]
pub enum CrashPoint {
    /// After the first record that matches is durable, before anything else is sent.
    AfterStore(fn(&Record) -> bool),
    /// After the first message that matches is sent.
    AfterSend(fn(&Message) -> bool),
}

/// The simulation: nodes, disks, network, and the reference log.
pub struct SimulatedCluster {
    pub now: f64,
    pub timing: Timing,
    pub replicas: Vec<Node<Replica>>,
    pub disks: Vec<Vec<Record>>,
    pub followers: Vec<Node<Follower>>,
    /// Entries that each follower delivered to its gateway: number and text by key.
    pub delivered: Vec<BTreeMap<String, (u64, Option<String>)>>,
    /// Each follower's heads, and when it reached them.
    pub head_history: Vec<Vec<(u64, f64)>>,
    /// The saved state from which each follower is started.
    pub saved: Vec<Option<Vec<u8>>>,
    /// Messages that authors received: time, author, message.
    pub author_inbox: Vec<(f64, usize, Message)>,
    pub log: ReferenceLog,
    schedule: Schedule,
    pub rng: ChaCha8Rng,
    pub delivery_rule: DeliveryRule,
    pub tamper: Option<Tamper>,
    /// Zones whose nodes can neither send nor receive messages.
    pub isolated_zones: Vec<usize>,
    /// The replica that crashes, and when. Cleared by the crash.
    pub crash_point: Option<(usize, CrashPoint)>,
    key: Key,
    /// Whether to measure CPU time, including that of sealing and opening datagrams.
    pub measures_cpu: bool,
}

impl SimulatedCluster {
    /// Creates a cluster with a new log. All replicas are started, the followers are not.
    pub fn new(replicas: usize, followers: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Self {
            now: 0.0,
            timing: Timing::default(),
            replicas: (0..replicas).map(|_| Node::new(&mut rng)).collect(),
            disks: vec![vec![Record::Initialized]; replicas],
            followers: (0..followers).map(|_| Node::new(&mut rng)).collect(),
            delivered: vec![BTreeMap::new(); followers],
            head_history: vec![Vec::new(); followers],
            saved: vec![None; followers],
            author_inbox: Vec::new(),
            log: ReferenceLog::default(),
            schedule: Schedule::default(),
            rng,
            delivery_rule: reliable(),
            tamper: None,
            isolated_zones: Vec::new(),
            crash_point: None,
            key: Key::new(b"a fleet"),
            measures_cpu: false,
        };
        (0..replicas).for_each(|n| cluster.start_replica(n));
        cluster
    }

    pub fn replica_addresses(&self) -> Vec<SocketAddr> {
        (0..self.replicas.len()).map(|n| ReplicaNode(n).address()).collect()
    }

    /// Starts a replica from its disk.
    pub fn start_replica(&mut self, n: usize) {
        let (replicas, seed) = (self.replica_addresses(), self.rng.random());
        let node = &mut self.replicas[n];
        let clock = node.clock(self.now);
        let config = ReplicaConfig { own_index: n, replicas, timing: self.timing, seed };
        node.process = Some(Replica::new(config, clock, self.disks[n].clone()));
        (node.incarnation, node.paused_until, node.next_tick_at) = (node.incarnation + 1, 0.0, f64::INFINITY);
        node.inbox.clear();
        self.run_actions(ReplicaNode(n));
    }

    /// Starts a follower from its saved state.
    pub fn start_follower(&mut self, n: usize) {
        let (replicas, seed) = (self.replica_addresses(), self.rng.random());
        let node = &mut self.followers[n];
        let (clock, name) = (node.clock(self.now), format!("gateway-{n}"));
        let saved = self.saved[n].clone();
        let config = FollowerConfig { name, replicas, timing: self.timing, seed };
        node.process = Some(Follower::new(config, clock, saved.as_deref()));
        (node.incarnation, node.paused_until, node.next_tick_at) = (node.incarnation + 1, 0.0, f64::INFINITY);
        node.inbox.clear();
        self.delivered[n].clear();
        self.run_actions(FollowerNode(n));
    }

    pub fn start_all_followers(&mut self) {
        (0..self.followers.len()).for_each(|n| self.start_follower(n));
    }

    pub fn stop_replica(&mut self, n: usize) {
        self.replicas[n].process = None;
    }

    pub fn stop_follower(&mut self, n: usize) {
        self.followers[n].process = None;
    }

    /// Pauses the process of a follower.
    pub fn pause_follower(&mut self, n: usize, seconds: f64) {
        self.followers[n].paused_until = self.now + seconds;
    }

    pub fn replica(&self, n: usize) -> &Replica {
        self.replicas[n].process.as_ref().expect("the node is running")
    }

    pub fn follower(&self, n: usize) -> &Follower {
        self.followers[n].process.as_ref().expect("the node is running")
    }

    pub fn head(&self, n: usize) -> u64 {
        self.replica(n).state().head()
    }

    pub fn follower_head(&self, n: usize) -> u64 {
        self.follower(n).state().head()
    }

    /// Replaces the records on a replica's disk by compacted ones.
    pub fn compact(&mut self, n: usize) {
        self.disks[n] = self.replica(n).compact();
    }

    pub fn leaders(&mut self) -> Vec<usize> {
        let now = self.now;
        let view = |node: &mut Node<Replica>| {
            let clock = node.clock(now);
            node.process.as_mut().is_some_and(|process| process.view(clock).leads)
        };
        (0..self.replicas.len()).filter(|n| view(&mut self.replicas[*n])).collect()
    }

    /// An author proposes a change to a replica.
    pub fn propose(&mut self, author: usize, replica: usize, change: Change) {
        self.send(Author(author), ReplicaNode(replica).address(), Message::Propose { change });
    }

    /// The latest outcome that an author received for a change.
    pub fn outcome(&self, author: usize, id: u64) -> Option<Outcome> {
        let messages = self.author_inbox.iter().rev().filter(|(_, receiver, _)| *receiver == author);
        messages
            .filter_map(|(_, _, message)| match message {
                Message::ProposalResult { id: proposed, outcome } if *proposed == id => Some(*outcome),
                _ => None,
            })
            .next()
    }

    /// Proposes a change, runs until its author receives the outcome, and returns the number.
    pub fn commit(&mut self, replica: usize, change: Change) -> u64 {
        let id = change.id;
        self.propose(0, replica, change);
        let until = self.now + 10.0;
        while self.outcome(0, id).is_none() && self.now < until {
            self.run_until(self.now + 0.01);
        }
        match self.outcome(0, id) {
            Some(Outcome::Committed(number)) => number,
            other => panic!("change {id} is not committed: {other:?}"),
        }
    }

    /// Commits that many changes, each with a unique key that starts with `keys`.
    pub fn commit_many(&mut self, replica: usize, keys: &str, count: u64) {
        for id in 0..count {
            let id = self.log.state.head() * 1_000 + id + 1;
            let change = change(id, &format!("{keys} {id}"), "lanes = 2", 0);
            self.commit(replica, change);
        }
    }

    /// Sends a message through the simulated network.
    pub fn send(&mut self, from: NodeId, to: SocketAddr, mut message: Message) {
        if let Some(tamper) = &mut self.tamper {
            tamper(from, &mut message);
        }
        let started_at = self.measures_cpu.then(Instant::now);
        let datagram = message::seal(&self.key, &message).expect("the message fits into a datagram");
        let cpu_seconds = started_at.map_or(0.0, |started_at| started_at.elapsed().as_secs_f64());
        let bytes = datagram.len() as u64;
        let to = NodeId::from_address(to);
        match from {
            ReplicaNode(n) => {
                self.replicas[n].bytes_out += bytes;
                self.replicas[n].cpu_seconds += cpu_seconds;
            }
            FollowerNode(n) => {
                self.followers[n].bytes_out += bytes;
                self.followers[n].cpu_seconds += cpu_seconds;
            }
            Author(_) => {}
        }
        if self.isolated_zones.contains(&from.zone()) || self.isolated_zones.contains(&to.zone()) {
            return;
        }
        for delay in (self.delivery_rule)(self.now, from, to, &mut self.rng) {
            let started_at = self.measures_cpu.then(Instant::now);
            let message = message::open(&self.key, &datagram).expect("the datagram opens with its own key");
            let cpu_seconds = started_at.map_or(0.0, |started_at| started_at.elapsed().as_secs_f64());
            match to {
                ReplicaNode(n) => {
                    self.replicas[n].bytes_in += bytes;
                    self.replicas[n].cpu_seconds += cpu_seconds;
                }
                FollowerNode(n) => {
                    self.followers[n].bytes_in += bytes;
                    self.followers[n].cpu_seconds += cpu_seconds;
                }
                Author(_) => {}
            }
            self.schedule.add(self.now + delay, Event::Deliver(to, from.address(), Box::new(message)));
        }
    }

    /// Runs the actions of a node, checks what it committed or applied, and schedules its next tick.
    fn run_actions(&mut self, node: NodeId) {
        match node {
            ReplicaNode(n) => self.run_replica_actions(n),
            FollowerNode(n) => self.run_follower_actions(n),
            Author(_) => {}
        }
    }

    fn run_replica_actions(&mut self, n: usize) {
        while let Some(action) = self.next_action(n) {
            match action {
                Action::Store(record) => {
                    if let Record::Chosen(entry) = &record {
                        self.log.record_committed(self.now, entry);
                    }
                    if let Record::SnapshotHead { head, digest } = &record {
                        assert_eq!(
                            self.log.digest(*head),
                            Some(*digest),
                            "the log had no such state at {head}"
                        );
                    }
                    let crashes = matches!(
                        self.crash_point,
                        Some((target, CrashPoint::AfterStore(is_trigger))) if target == n && is_trigger(&record)
                    );
                    self.disks[n].push(record);
                    if crashes {
                        self.crash_point = None;
                        self.stop_replica(n);
                    }
                }
                Action::Send(OutgoingMessage { to, message }) => {
                    let crashes = matches!(
                        self.crash_point,
                        Some((target, CrashPoint::AfterSend(is_trigger))) if target == n && is_trigger(&message)
                    );
                    self.send(ReplicaNode(n), to, message);
                    if crashes {
                        self.crash_point = None;
                        self.stop_replica(n);
                    }
                }
            }
        }
        let node = &self.replicas[n];
        let Some(process) = node.process.as_ref() else { return };
        let (next, incarnation) =
            (node.to_simulated_time(process.next_deadline()).max(self.now + 1e-6), node.incarnation);
        if next < node.next_tick_at {
            self.replicas[n].next_tick_at = next;
            self.schedule.add(next, Event::Tick(ReplicaNode(n), incarnation));
        }
    }

    fn run_follower_actions(&mut self, n: usize) {
        let started_at = self.measures_cpu.then(Instant::now);
        let Some(process) = self.followers[n].process.as_mut() else { return };
        let outgoing: Vec<_> = std::iter::from_fn(|| process.next_outgoing()).collect();
        let updates = process.take_updates();
        let (head, next) = (process.state().head(), process.next_deadline());
        if let Some(started_at) = started_at {
            self.followers[n].cpu_seconds += started_at.elapsed().as_secs_f64();
        }
        if let Some(updates) = updates {
            let rebuilds = self.follower(n).view(0.0).rebuilds;
            for entry in updates {
                let before = self.delivered[n].get(&entry.change.key).map(|(number, _)| *number);
                let later = before.is_none_or(|before| before < entry.number);
                assert!(later || rebuilds > 0, "follower {n} delivered {} twice", entry.number);
                self.delivered[n].insert(entry.change.key, (entry.number, entry.change.text));
            }
        }
        if self.head_history[n].last().is_none_or(|(number, _)| *number != head) {
            self.head_history[n].push((head, self.now));
        }
        outgoing.into_iter().for_each(|sent| self.send(FollowerNode(n), sent.to, sent.message));
        let node = &self.followers[n];
        let (next, incarnation) = (node.to_simulated_time(next).max(self.now + 1e-6), node.incarnation);
        if next < node.next_tick_at {
            self.followers[n].next_tick_at = next;
            self.schedule.add(next, Event::Tick(FollowerNode(n), incarnation));
        }
    }

    /// Asserts that a follower's state is that of the reference log at its head, and that it delivered exactly that state
    /// to its gateway.
    pub fn check_follower(&self, n: usize) {
        let state = self.follower(n).state();
        let (head, digest) = (state.head(), state.digest());
        assert_eq!(self.log.digest(head), Some(digest), "follower {n}: the log had no such state at {head}");
        let is_current = |(key, (number, text)): (&String, &(u64, Option<String>))| {
            let own = state.get(key).map(|(number, change)| (number, change.text.clone()));
            // A key that does not exist in the log, from a wrong saved state, must have been removed.
            own == Some((*number, text.clone())) || (own.is_none() && text.is_none())
        };
        assert!(
            self.delivered[n].iter().all(is_current),
            "follower {n} delivered an entry that is not in its state"
        );
        assert!(
            state.iter().all(|(_, c)| self.delivered[n].contains_key(&c.key)),
            "follower {n} did not deliver its whole state"
        );
    }

    pub fn check_all_followers(&self) {
        (0..self.followers.len())
            .filter(|n| self.followers[*n].process.is_some())
            .for_each(|n| self.check_follower(n));
    }

    /// Runs the simulation until a time, and checks each follower whenever its head has changed.
    pub fn run_until(&mut self, until: f64) {
        while let Some(ScheduledEvent { at, event: due, .. }) = self.schedule.next_until(until) {
            self.now = at;
            match due {
                Event::Deliver(Author(n), _, message) => self.author_inbox.push((at, n, *message)),
                Event::Tick(ReplicaNode(n), incarnation) => {
                    let node = &mut self.replicas[n];
                    if node.incarnation == incarnation && node.next_tick_at == at {
                        node.next_tick_at = f64::INFINITY;
                        self.with_replica(n, |process, clock| process.tick(clock));
                    }
                }
                Event::Deliver(ReplicaNode(n), from, message) => {
                    self.with_replica(n, |process, clock| process.receive(clock, from, *message));
                }
                Event::Tick(FollowerNode(n), incarnation) => {
                    let node = &mut self.followers[n];
                    if node.incarnation != incarnation || node.next_tick_at != at {
                        continue;
                    }
                    if node.paused_until > at {
                        node.next_tick_at = node.paused_until;
                        let paused_until = node.paused_until;
                        self.schedule.add(paused_until, Event::Tick(FollowerNode(n), incarnation));
                        continue;
                    }
                    node.next_tick_at = f64::INFINITY;
                    self.with_follower(n, |process, clock| process.tick(clock));
                }
                Event::Deliver(FollowerNode(n), from, message) => {
                    if self.followers[n].paused_until > at {
                        self.followers[n].inbox.push((from, *message));
                        continue;
                    }
                    self.with_follower(n, |process, clock| process.receive(clock, from, *message));
                }
                Event::Tick(Author(_), _) => {}
            }
        }
        self.now = until;
    }

    fn with_replica(&mut self, n: usize, event: impl FnOnce(&mut Replica, f64)) {
        let node = &mut self.replicas[n];
        let clock = node.clock(self.now);
        let Some(process) = node.process.as_mut() else { return };
        let started_at = self.measures_cpu.then(Instant::now);
        event(process, clock);
        if let Some(started_at) = started_at {
            node.cpu_seconds += started_at.elapsed().as_secs_f64();
        }
        self.run_replica_actions(n);
    }

    fn with_follower(&mut self, n: usize, event: impl FnOnce(&mut Follower, f64)) {
        let node = &mut self.followers[n];
        let clock = node.clock(self.now);
        let Some(process) = node.process.as_mut() else { return };
        let before = process.state().head();
        let started_at = self.measures_cpu.then(Instant::now);
        for (from, message) in node.inbox.drain(..) {
            process.receive(clock, from, message);
        }
        event(process, clock);
        if let Some(started_at) = started_at {
            node.cpu_seconds += started_at.elapsed().as_secs_f64();
        }
        let after = process.state().head();
        self.run_follower_actions(n);
        if after != before && !self.measures_cpu {
            self.check_follower(n);
        }
    }

    /// Seconds from `since` until a follower reached `number` or a later one; `None` if it has not.
    pub fn propagation_delay(&self, n: usize, number: u64, since: f64) -> Option<f64> {
        self.head_history[n].iter().find(|(head, _)| *head >= number).map(|(_, at)| at - since)
    }
}
