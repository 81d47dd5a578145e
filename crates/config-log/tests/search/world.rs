//! What the search looks at: three control machines with their disks, a gateway, and the messages between them.

use milletpath_config_log::{
    Action, Change, Entry, Follower, Message, Outcome, Record, Replica, State, Terms,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

pub const SIZE: usize = 3;

/// The gateway's place among them.
pub const GATEWAY: usize = 3;

const TERMS: Terms = Terms { poll: 0.5, silent: 1.2, ask: 0.6, again: 0.4, patience: 5.0 };

/// Messages under way; those that would be more are lost.
const UNDER_WAY: usize = 12;

/// A promise that is left out, for tests that show that this is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Nothing,
    /// What is sent goes out before what was stored is durable.
    Unawaited,
    /// One of three is enough.
    Quorum,
    /// One without a disk votes as if it had never promised anything.
    Forgetful,
    /// What could not be stored is taken for stored.
    Unheeded,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A message comes, and may come again.
    Come(usize, bool),
    /// A message comes, and its receiver dies after so many acts.
    Die(usize, usize),
    Lose(usize),
    Kill(usize),
    /// It dies, and its disk is lost.
    Wipe(usize),
    Begin(usize),
    /// Its storage fails from now on; the first record that fails is on the disk all the same, or is not.
    Fail(usize, bool),
    /// Its storage takes a fresh file again.
    Recover(usize),
    /// Time goes on until something is due at this one; the others may be late for theirs.
    Due(usize),
    /// The gateway begins anew from what it saved some time ago.
    Restart,
    /// An author proposes a change there.
    Propose(usize),
}

#[derive(Clone)]
pub struct World {
    pub now: f64,
    broken: Broken,
    pub nodes: [Option<Replica>; SIZE],
    disks: [Vec<Record>; SIZE],
    /// Whose storage fails, and whether what fails is on the disk all the same.
    pub failing: [Option<bool>; SIZE],
    /// Records of each that a crash would lose, where durability is not awaited.
    volatile: [Vec<Record>; SIZE],
    follower: Follower,
    saved: Vec<u8>,
    seeds: u64,
    letters: Vec<(usize, usize, Message)>,
    /// What was said to be chosen by anybody, and what authors were told.
    pub chosen: BTreeMap<u64, Change>,
    told: BTreeMap<u64, Outcome>,
    ids: u64,
    pub fault: Option<String>,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7500))
}

fn follower(seed: u64, now: f64, saved: Option<Vec<u8>>) -> Follower {
    Follower::new("gateway".into(), (0..SIZE).map(at).collect(), TERMS, seed, now, saved)
}

fn author() -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], 9000))
}

impl World {
    pub fn new(broken: Broken) -> Self {
        let mut world = Self {
            now: 0.0,
            broken,
            nodes: [None, None, None],
            disks: std::array::from_fn(|_| vec![Record::Initialized]),
            failing: [None; SIZE],
            volatile: Default::default(),
            follower: follower(0, 0.0, None),
            saved: Vec::new(),
            seeds: 0,
            letters: Vec::new(),
            chosen: BTreeMap::new(),
            told: BTreeMap::new(),
            ids: 0,
            fault: None,
        };
        (0..SIZE).for_each(|n| world.begin(n));
        world
    }

    fn begin(&mut self, n: usize) {
        self.seeds += 1;
        if self.disks[n].is_empty() && self.broken == Broken::Forgetful {
            self.disks[n].push(Record::Initialized);
        }
        self.failing[n] = None;
        let stored = self.disks[n].clone();
        let mut replica = Replica::new(n, (0..SIZE).map(at).collect(), TERMS, self.seeds, self.now, stored);
        if self.broken == Broken::Quorum {
            replica.break_quorum(1);
        }
        self.nodes[n] = Some(replica);
        self.act(n, usize::MAX);
    }

    fn faulty(&mut self, told: String) {
        self.fault.get_or_insert(told);
    }

    /// Whoever says that an entry is chosen says so for all.
    fn says(&mut self, n: usize, entry: &Entry) {
        let before = self.chosen.entry(entry.number).or_insert_with(|| entry.change.clone());
        if *before != entry.change {
            let told = format!("{n} has {:?} at {}, which was {before:?}", entry.change, entry.number);
            self.faulty(told);
        }
    }

    /// What a machine does next; where nothing is left, all before it is stored.
    fn next_action(&mut self, n: usize) -> Option<Action> {
        let replica = self.nodes[n].as_mut()?;
        replica.next_action().or_else(|| {
            replica.stored();
            replica.next_action()
        })
    }

    fn store(&mut self, n: usize, record: Record) {
        match (self.broken, self.failing[n]) {
            (Broken::Unawaited, _) => self.volatile[n].push(record),
            (Broken::Unheeded, Some(_)) => {}
            (_, Some(lands)) => {
                let replica = self.nodes[n].as_mut().expect("it stores");
                if !replica.is_suspended() {
                    self.disks[n].extend(lands.then_some(record));
                    replica.storage_failed();
                }
            }
            (_, None) => self.disks[n].push(record),
        }
    }

    /// A fresh file holds all that a machine knows.
    fn recover(&mut self, n: usize) {
        self.failing[n] = None;
        if let Some(replica) = self.nodes[n].as_mut() {
            self.disks[n] = replica.compact();
            replica.storage_recovered();
        }
        self.act(n, usize::MAX);
    }

    /// Carries out so many acts, and dies where more are left.
    fn act(&mut self, n: usize, most: usize) {
        let mut left = most;
        while let Some(action) = self.next_action(n) {
            if left == 0 {
                self.kill(n);
                return;
            }
            left -= 1;
            match action {
                Action::Store(record) => {
                    if let Record::Chosen(entry) = &record {
                        self.says(n, entry);
                    }
                    self.store(n, record);
                }
                Action::Send { to, message } => self.send(n, to, message),
            }
        }
    }

    fn send(&mut self, n: usize, to: SocketAddr, message: Message) {
        match &message {
            Message::Log { entries } => {
                entries.iter().for_each(|logged| self.says(n, &logged.entry));
            }
            Message::Push { logged } => self.says(n, &logged.entry),
            Message::Reply { entries, .. } => {
                entries.iter().for_each(|logged| self.says(n, &logged.entry));
            }
            Message::Page { entries, .. } => entries.iter().for_each(|entry| self.says(n, entry)),
            Message::Proposed { id, outcome } if to == author() => {
                if let Outcome::Committed(number) = outcome
                    && self.chosen.get(number).is_none_or(|c| c.id != *id)
                {
                    self.faulty(format!("{id} is said to be at {number}"));
                }
                if let (Some(Outcome::Superseded(_)), Outcome::Committed(_))
                | (Some(Outcome::Committed(_)), Outcome::Superseded(_)) = (self.told.get(id), outcome)
                {
                    self.faulty(format!("{id} was committed and not"));
                }
                self.told.insert(*id, *outcome);
            }
            _ => {}
        }
        let to = (0..=GATEWAY).find(|n| at(*n) == to);
        if let Some(to) = to.filter(|_| self.letters.len() < UNDER_WAY) {
            self.letters.push((n, to, message));
        }
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.volatile[n].clear();
    }

    /// Fewer than a quorum may have forgotten at a time.
    pub fn may_wipe(&self, n: usize) -> bool {
        let votes =
            |o: usize| self.disks[o].iter().any(|r| matches!(r, Record::Initialized | Record::Readmitted));
        (0..SIZE).filter(|o| *o != n).all(votes)
    }

    pub fn events(&self) -> Vec<Event> {
        let letters = (0..self.letters.len())
            .flat_map(|l| [Event::Come(l, false), Event::Come(l, true), Event::Die(l, 0), Event::Die(l, 1)]);
        let lost = (0..self.letters.len()).map(Event::Lose);
        let processes = (0..SIZE).flat_map(|n| match self.nodes[n] {
            Some(_) => {
                let mut all = vec![Event::Kill(n), Event::Due(n), Event::Propose(n)];
                all.extend(self.may_wipe(n).then_some(Event::Wipe(n)));
                match self.failing[n] {
                    Some(_) => all.push(Event::Recover(n)),
                    None => all.extend([Event::Fail(n, false), Event::Fail(n, true)]),
                }
                all
            }
            None => vec![Event::Begin(n)],
        });
        let gateway = [Event::Due(GATEWAY), Event::Restart];
        letters.chain(lost).chain(processes).chain(gateway).collect()
    }

    fn come(&mut self, letter: usize, again: bool, most: usize) {
        let (from, to, message) = self.letters[letter].clone();
        if !again {
            self.letters.remove(letter);
        }
        if to == GATEWAY {
            self.follower.heard(self.now, at(from), message);
            self.followed();
            return;
        }
        if let Some(replica) = self.nodes[to].as_mut() {
            replica.heard(self.now, at(from), message);
        }
        self.act(to, most);
    }

    /// Sends what the gateway has to send, and looks whether what is in force there was in force in the log.
    fn followed(&mut self) {
        while let Some((to, message)) = self.follower.out() {
            self.send(GATEWAY, to, message);
        }
        let head = self.follower.state().head();
        let mut state = State::default();
        for (number, change) in self.chosen.range(..=head) {
            state.apply(Entry { number: *number, change: change.clone() });
        }
        if state != *self.follower.state() {
            self.faulty(format!("at the gateway {head} is in force, which was not committed so"));
        }
    }

    pub fn befall(&mut self, event: Event) {
        match event {
            Event::Come(letter, again) => self.come(letter, again, usize::MAX),
            Event::Die(letter, acts) => self.come(letter, false, acts),
            Event::Lose(letter) => {
                self.letters.remove(letter);
            }
            Event::Kill(n) => self.kill(n),
            Event::Wipe(n) => {
                self.kill(n);
                self.disks[n].clear();
            }
            Event::Begin(n) => self.begin(n),
            Event::Fail(n, lands) => self.failing[n] = Some(lands),
            Event::Recover(n) => self.recover(n),
            Event::Restart => {
                self.seeds += 1;
                let saved = Some(self.saved.clone());
                self.follower = follower(self.seeds, self.now, saved);
                self.followed();
            }
            Event::Due(GATEWAY) => {
                self.saved = self.follower.save();
                self.now = self.now.max(self.follower.next());
                self.follower.turn(self.now);
                self.followed();
            }
            Event::Due(n) => {
                // What nobody waited for is durable at last.
                let mut stored = std::mem::take(&mut self.volatile[n]);
                self.disks[n].append(&mut stored);
                if let Some(replica) = self.nodes[n].as_mut() {
                    self.now = self.now.max(replica.next());
                    replica.turn(self.now);
                    if replica.next() <= self.now {
                        self.faulty(format!("{n} has something due and does not do it"));
                    }
                }
                self.act(n, usize::MAX);
            }
            Event::Propose(n) => self.propose(n),
        }
    }

    /// Two keys, so that authors meet; each has seen what that machine has.
    fn propose(&mut self, n: usize) {
        let Some(replica) = self.nodes[n].as_mut() else { return };
        self.ids += 1;
        let key = ["a", "b"][self.ids as usize % 2];
        let replaces = replica.state().get(key).map_or(0, |(number, _)| number);
        let change = Change { id: self.ids, key: key.into(), text: Some(self.ids.to_string()), replaces };
        replica.heard(self.now, author(), Message::Propose { change });
        self.act(n, usize::MAX);
    }

    /// All goes well from here on: messages come at once, nobody dies, whoever is not there begins. Then all have the same
    /// log, what authors were told holds, and one more change passes.
    pub fn heal(&mut self) -> Result<(), String> {
        self.letters.clear();
        for n in 0..SIZE {
            match (&self.nodes[n], self.failing[n]) {
                (None, _) => self.begin(n),
                (_, Some(_)) => self.recover(n),
                _ => {}
            }
        }
        self.calm(20.0);
        self.propose(0);
        let id = self.ids;
        self.calm(10.0);
        if let Some(fault) = self.fault.clone() {
            return Err(fault);
        }
        let states: Vec<_> = self.nodes.iter().flatten().map(Replica::state).collect();
        if states.iter().any(|s| *s != states[0]) {
            return Err("they do not agree after all went well".into());
        }
        if self.chosen.last_key_value().is_some_and(|(number, _)| *number > states[0].head()) {
            return Err("what was committed is lost".into());
        }
        if self.follower.state() != states[0] {
            return Err("the gateway is behind after all went well".into());
        }
        let votes = self.nodes.iter_mut().flatten().all(|r| r.view(self.now).votes);
        if !votes {
            return Err("one is never taken in".into());
        }
        match self.told.get(&id) {
            Some(Outcome::Committed(_) | Outcome::Superseded(_)) => Ok(()),
            told => Err(format!("the last change: {told:?}")),
        }
    }

    fn calm(&mut self, seconds: f64) {
        pass(self, &[[true; SIZE + 1]; SIZE + 1], seconds);
    }

    pub fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // What a replica is, is all that it tells of itself.
        format!("{:?}{:?}{:?}", self.nodes, self.follower, self.letters).hash(&mut hasher);
        self.disks.hash(&mut hasher);
        self.failing.hash(&mut hasher);
        self.now.to_bits().hash(&mut hasher);
        hasher.finish()
    }
}

/// A while in which messages come at once on the links that are up, and each does in time what is due.
pub fn pass(world: &mut World, up: &[[bool; SIZE + 1]; SIZE + 1], seconds: f64) {
    let until = world.now + seconds;
    loop {
        if let Some((from, to, _)) = world.letters.first() {
            let event = if up[*from][*to] { Event::Come(0, false) } else { Event::Lose(0) };
            world.befall(event);
            continue;
        }
        let next = |n: &usize| match *n {
            GATEWAY => world.follower.next(),
            n => world.nodes[n].as_ref().map_or(f64::INFINITY, Replica::next),
        };
        let first = (0..=GATEWAY).min_by(|a, b| next(a).total_cmp(&next(b))).expect("four");
        if next(&first) > until {
            world.now = until;
            return;
        }
        world.befall(Event::Due(first));
    }
}
