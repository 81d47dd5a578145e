//! Control machines and gateways in simulated time from one seed: the cores as they are, disks that keep what was made
//! durable, clocks that run apart, and a network that loses, delays, doubles and cuts as a rule says. After each event
//! what is committed and what is in force anywhere is compared with the one log.

#![allow(dead_code)]

mod looks;
pub mod place;
pub mod reference;

pub use looks::change;
pub use place::Place;

use milletpath_config_log::message::{self, Key};
use milletpath_config_log::{Act, Change, Follower, Message, Outcome, Record, Replica, Terms};
use place::Place::{Author, Follower as Gateway, Replica as Machine};
use place::{Lies, Rule, calm};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference::Reference;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Instant;

pub struct Node<T> {
    pub core: Option<T>,
    rate: f64,
    skew: f64,
    /// Added to its clock from now on: it may go back.
    pub leap: f64,
    still: f64,
    armed: f64,
    life: u64,
    inbox: Vec<(SocketAddr, Message)>,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Seconds of this machine's time, where that is measured.
    pub busy: f64,
}

impl<T> Node<T> {
    fn new(chance: &mut ChaCha8Rng) -> Self {
        Self {
            core: None,
            rate: chance.random_range(0.999..1.001),
            skew: chance.random_range(0.0..1e5),
            leap: 0.0,
            still: 0.0,
            armed: f64::INFINITY,
            life: 0,
            inbox: Vec::new(),
            bytes_in: 0,
            bytes_out: 0,
            busy: 0.0,
        }
    }

    pub fn clock(&self, now: f64) -> f64 {
        self.skew + self.leap + now * self.rate
    }

    fn when(&self, clock: f64) -> f64 {
        (clock - self.skew - self.leap) / self.rate
    }
}

enum What {
    Turn(Place, u64),
    Come(Place, SocketAddr, Box<Message>),
}

struct Due(f64, u64, What);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// A machine dies while it carries out its acts.
#[derive(Clone, Copy, Debug)]
pub enum Dies {
    /// As soon as it has made a record durable which that says something of, before anything goes out after it.
    Stored(fn(&Record) -> bool),
    /// As soon as such a message went out once.
    Sent(fn(&Message) -> bool),
}

pub struct Net {
    pub now: f64,
    pub terms: Terms,
    pub machines: Vec<Node<Replica>>,
    pub disks: Vec<Vec<Record>>,
    pub gateways: Vec<Node<Follower>>,
    /// What each gateway was told to apply, by key.
    pub shown: Vec<BTreeMap<String, (u64, Option<String>)>>,
    /// When each gateway had which number in force.
    pub in_force: Vec<Vec<(u64, f64)>>,
    pub saved: Vec<Option<Vec<u8>>>,
    /// What authors heard.
    pub mail: Vec<(f64, usize, Message)>,
    pub log: Reference,
    queue: BinaryHeap<Due>,
    count: u64,
    pub chance: ChaCha8Rng,
    pub rule: Rule,
    pub lies: Option<Lies>,
    /// Zones that are cut off.
    pub gone: Vec<usize>,
    /// Who dies where, and is then struck off.
    pub dies: Option<(usize, Dies)>,
    key: Key,
    /// Whether the time is measured that cores, sealing and opening take.
    pub timed: bool,
}

impl Net {
    /// Control machines of a new log, all begun, and followers that have not begun.
    pub fn new(machines: usize, followers: usize, seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Self {
            now: 0.0,
            terms: Terms::default(),
            machines: (0..machines).map(|_| Node::new(&mut chance)).collect(),
            disks: vec![vec![Record::Founded]; machines],
            gateways: (0..followers).map(|_| Node::new(&mut chance)).collect(),
            shown: vec![BTreeMap::new(); followers],
            in_force: vec![Vec::new(); followers],
            saved: vec![None; followers],
            mail: Vec::new(),
            log: Reference::default(),
            queue: BinaryHeap::new(),
            count: 0,
            chance,
            rule: calm(),
            lies: None,
            gone: Vec::new(),
            dies: None,
            key: Key::new(b"a fleet"),
            timed: false,
        };
        (0..machines).for_each(|n| net.begin(n));
        net
    }

    pub fn all_replicas(&self) -> Vec<SocketAddr> {
        (0..self.machines.len()).map(|n| Machine(n).at()).collect()
    }

    /// Begins a machine from its disk.
    pub fn begin(&mut self, n: usize) {
        let (replicas, seed) = (self.all_replicas(), self.chance.random());
        let node = &mut self.machines[n];
        let clock = node.clock(self.now);
        node.core = Some(Replica::new(n, replicas, self.terms, seed, clock, self.disks[n].clone()));
        (node.life, node.still, node.armed) = (node.life + 1, 0.0, f64::INFINITY);
        node.inbox.clear();
        self.after(Machine(n));
    }

    /// Begins a gateway, from what was saved there.
    pub fn follow(&mut self, n: usize) {
        let (replicas, seed) = (self.all_replicas(), self.chance.random());
        let node = &mut self.gateways[n];
        let (clock, name) = (node.clock(self.now), format!("gateway-{n}"));
        let saved = self.saved[n].clone();
        node.core = Some(Follower::new(name, replicas, self.terms, seed, clock, saved));
        (node.life, node.still, node.armed) = (node.life + 1, 0.0, f64::INFINITY);
        node.inbox.clear();
        self.shown[n].clear();
        self.after(Gateway(n));
    }

    pub fn follow_all(&mut self) {
        (0..self.gateways.len()).for_each(|n| self.follow(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.machines[n].core = None;
    }

    pub fn end(&mut self, n: usize) {
        self.gateways[n].core = None;
    }

    /// A gateway's process stands still for so many seconds.
    pub fn stall(&mut self, n: usize, seconds: f64) {
        self.gateways[n].still = self.now + seconds;
    }

    pub fn replica(&self, n: usize) -> &Replica {
        self.machines[n].core.as_ref().expect("it is up")
    }

    pub fn follower(&self, n: usize) -> &Follower {
        self.gateways[n].core.as_ref().expect("it is up")
    }

    pub fn head(&self, n: usize) -> u64 {
        self.replica(n).state().head()
    }

    pub fn number(&self, n: usize) -> u64 {
        self.follower(n).state().head()
    }

    /// Rewrites a machine's disk as its core says.
    pub fn compact(&mut self, n: usize) {
        self.disks[n] = self.replica(n).compact();
    }

    pub fn leaders(&mut self) -> Vec<usize> {
        let now = self.now;
        let view = |node: &mut Node<Replica>| {
            let clock = node.clock(now);
            node.core.as_mut().is_some_and(|core| core.view(clock).leads)
        };
        (0..self.machines.len()).filter(|n| view(&mut self.machines[*n])).collect()
    }

    /// An author proposes a change to a machine.
    pub fn propose(&mut self, author: usize, machine: usize, change: Change) {
        self.post(Author(author), Machine(machine).at(), Message::Propose { change });
    }

    /// What an author was last told of a change.
    pub fn outcome(&self, author: usize, id: u64) -> Option<Outcome> {
        let told = self.mail.iter().rev().filter(|(_, who, _)| *who == author);
        told.filter_map(|(_, _, message)| match message {
            Message::Proposed { id: told, outcome } if *told == id => Some(*outcome),
            _ => None,
        })
        .next()
    }

    /// Proposes a change, plays until its author is told, and gives the number.
    pub fn commit(&mut self, machine: usize, change: Change) -> u64 {
        let id = change.id;
        self.propose(0, machine, change);
        let until = self.now + 10.0;
        while self.outcome(0, id).is_none() && self.now < until {
            self.play(self.now + 0.01);
        }
        match self.outcome(0, id) {
            Some(Outcome::Committed(number)) => number,
            other => panic!("{other:?} of {id}"),
        }
    }

    /// Commits so many changes, each under a key of its own beginning with that.
    pub fn commit_many(&mut self, machine: usize, keys: &str, count: u64) {
        for id in 0..count {
            let id = self.log.state.head() * 1_000 + id + 1;
            let change = change(id, &format!("{keys} {id}"), "lanes = 2", 0);
            self.commit(machine, change);
        }
    }

    fn put(&mut self, at: f64, what: What) {
        self.count += 1;
        self.queue.push(Due(at, self.count, what));
    }

    /// A message goes into the network.
    pub fn post(&mut self, from: Place, to: SocketAddr, mut message: Message) {
        if let Some(lies) = &mut self.lies {
            lies(from, &mut message);
        }
        let began = self.timed.then(Instant::now);
        let datagram = message::seal(&self.key, &message).expect("no message is too large");
        let busy = began.map_or(0.0, |began| began.elapsed().as_secs_f64());
        let bytes = datagram.len() as u64;
        let to = Place::of(to);
        match from {
            Machine(n) => {
                self.machines[n].bytes_out += bytes;
                self.machines[n].busy += busy;
            }
            Gateway(n) => {
                self.gateways[n].bytes_out += bytes;
                self.gateways[n].busy += busy;
            }
            Author(_) => {}
        }
        if self.gone.contains(&from.zone()) || self.gone.contains(&to.zone()) {
            return;
        }
        for delay in (self.rule)(self.now, from, to, &mut self.chance) {
            let began = self.timed.then(Instant::now);
            let message = message::open(&self.key, &datagram).expect("it is as it was sealed");
            let busy = began.map_or(0.0, |began| began.elapsed().as_secs_f64());
            match to {
                Machine(n) => {
                    self.machines[n].bytes_in += bytes;
                    self.machines[n].busy += busy;
                }
                Gateway(n) => {
                    self.gateways[n].bytes_in += bytes;
                    self.gateways[n].busy += busy;
                }
                Author(_) => {}
            }
            self.put(self.now + delay, What::Come(to, from.at(), Box::new(message)));
        }
    }

    /// Does what a core says, looks at what it has committed or in force, and sets its clock.
    fn after(&mut self, place: Place) {
        match place {
            Machine(n) => self.after_machine(n),
            Gateway(n) => self.after_gateway(n),
            Author(_) => {}
        }
    }

    fn after_machine(&mut self, n: usize) {
        while let Some(act) = self.machines[n].core.as_mut().and_then(Replica::act) {
            match act {
                Act::Store(record) => {
                    if let Record::Chosen(entry) = &record {
                        self.log.committed(self.now, entry);
                    }
                    if let Record::Head(head, digest) = &record {
                        assert_eq!(self.log.digest(*head), Some(*digest), "a state that never was at {head}");
                    }
                    let dies =
                        matches!(self.dies, Some((who, Dies::Stored(such))) if who == n && such(&record));
                    self.disks[n].push(record);
                    if dies {
                        self.dies = None;
                        self.kill(n);
                    }
                }
                Act::Send { to, message } => {
                    let last =
                        matches!(self.dies, Some((who, Dies::Sent(such))) if who == n && such(&message));
                    self.post(Machine(n), to, message);
                    if last {
                        self.dies = None;
                        self.kill(n);
                    }
                }
            }
        }
        let node = &self.machines[n];
        let Some(core) = node.core.as_ref() else { return };
        let (next, life) = (node.when(core.next()).max(self.now + 1e-6), node.life);
        if next < node.armed {
            self.machines[n].armed = next;
            self.put(next, What::Turn(Machine(n), life));
        }
    }

    fn after_gateway(&mut self, n: usize) {
        let began = self.timed.then(Instant::now);
        let Some(core) = self.gateways[n].core.as_mut() else { return };
        let out: Vec<_> = std::iter::from_fn(|| core.out()).collect();
        let news = core.news();
        let (head, next) = (core.state().head(), core.next());
        if let Some(began) = began {
            self.gateways[n].busy += began.elapsed().as_secs_f64();
        }
        if let Some(news) = news {
            let anew = self.follower(n).view(0.0).anew;
            for entry in news {
                let before = self.shown[n].get(&entry.change.key).map(|(number, _)| *number);
                let later = before.is_none_or(|before| before < entry.number);
                assert!(later || anew > 0, "gateway {n} was told {} twice", entry.number);
                self.shown[n].insert(entry.change.key, (entry.number, entry.change.text));
            }
        }
        if self.in_force[n].last().is_none_or(|(number, _)| *number != head) {
            self.in_force[n].push((head, self.now));
        }
        out.into_iter().for_each(|(to, message)| self.post(Gateway(n), to, message));
        let node = &self.gateways[n];
        let (next, life) = (node.when(next).max(self.now + 1e-6), node.life);
        if next < node.armed {
            self.gateways[n].armed = next;
            self.put(next, What::Turn(Gateway(n), life));
        }
    }

    /// Whether what is in force at a gateway was in force at that number of the one log, and it was told just that.
    pub fn check(&self, n: usize) {
        let state = self.follower(n).state();
        let (head, digest) = (state.head(), state.digest());
        assert_eq!(self.log.digest(head), Some(digest), "gateway {n}: a state that never was at {head}");
        let standing = |(key, (number, text)): (&String, &(u64, Option<String>))| {
            let own = state.get(key).map(|(number, change)| (number, change.text.clone()));
            // What was never in force anywhere it was told to remove.
            own == Some((*number, text.clone())) || (own.is_none() && text.is_none())
        };
        assert!(self.shown[n].iter().all(standing), "gateway {n} was told other than what is in force");
        assert!(
            state.iter().all(|(_, c)| self.shown[n].contains_key(&c.key)),
            "gateway {n} was told too little"
        );
    }

    pub fn check_all(&self) {
        (0..self.gateways.len()).filter(|n| self.gateways[*n].core.is_some()).for_each(|n| self.check(n));
    }

    /// Plays on until then; after each event of a gateway what is in force there is looked at.
    pub fn play(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|due| due.0 <= until) {
            let Some(Due(at, _, what)) = self.queue.pop() else { break };
            self.now = at;
            match what {
                What::Come(Author(n), _, message) => self.mail.push((at, n, *message)),
                What::Turn(Machine(n), life) => {
                    let node = &mut self.machines[n];
                    if node.life == life && node.armed == at {
                        node.armed = f64::INFINITY;
                        self.machine(n, |core, clock| core.turn(clock));
                    }
                }
                What::Come(Machine(n), from, message) => {
                    self.machine(n, |core, clock| core.heard(clock, from, *message));
                }
                What::Turn(Gateway(n), life) => {
                    let node = &mut self.gateways[n];
                    if node.life != life || node.armed != at {
                        continue;
                    }
                    if node.still > at {
                        node.armed = node.still;
                        let still = node.still;
                        self.put(still, What::Turn(Gateway(n), life));
                        continue;
                    }
                    node.armed = f64::INFINITY;
                    self.gateway(n, |core, clock| core.turn(clock));
                }
                What::Come(Gateway(n), from, message) => {
                    if self.gateways[n].still > at {
                        self.gateways[n].inbox.push((from, *message));
                        continue;
                    }
                    self.gateway(n, |core, clock| core.heard(clock, from, *message));
                }
                What::Turn(Author(_), _) => {}
            }
        }
        self.now = until;
    }

    fn machine(&mut self, n: usize, event: impl FnOnce(&mut Replica, f64)) {
        let node = &mut self.machines[n];
        let clock = node.clock(self.now);
        let Some(core) = node.core.as_mut() else { return };
        let began = self.timed.then(Instant::now);
        event(core, clock);
        if let Some(began) = began {
            node.busy += began.elapsed().as_secs_f64();
        }
        self.after_machine(n);
    }

    fn gateway(&mut self, n: usize, event: impl FnOnce(&mut Follower, f64)) {
        let node = &mut self.gateways[n];
        let clock = node.clock(self.now);
        let Some(core) = node.core.as_mut() else { return };
        let before = core.state().head();
        let began = self.timed.then(Instant::now);
        for (from, message) in node.inbox.drain(..) {
            core.heard(clock, from, message);
        }
        event(core, clock);
        if let Some(began) = began {
            node.busy += began.elapsed().as_secs_f64();
        }
        let after = core.state().head();
        self.after_gateway(n);
        if after != before && !self.timed {
            self.check(n);
        }
    }

    /// Seconds after a number was proposed until it, or a later one, was in force at a gateway.
    pub fn delay(&self, n: usize, number: u64, since: f64) -> Option<f64> {
        self.in_force[n].iter().find(|(head, _)| *head >= number).map(|(_, at)| at - since)
    }
}
