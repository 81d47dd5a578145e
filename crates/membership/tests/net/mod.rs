//! A fleet in simulated time from one seed: the cores as they are, clocks that run apart, and a network that loses,
//! delays, doubles and cuts as a rule says.

#![allow(dead_code)]

use milletpath_membership::letter::{self, Key, Letter, Who};
use milletpath_membership::{Event, Parts, Peers, State, Terms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// What befalls one letter: the delays after which it comes, none where it is lost.
pub type Rule = Box<dyn FnMut(f64, usize, usize, &mut ChaCha8Rng) -> Vec<f64>>;

pub struct Node {
    pub peers: Option<Peers>,
    pub at: SocketAddr,
    pub life: u64,
    rate: f64,
    skew: f64,
    /// Until when it stands still, and what came meanwhile.
    still: f64,
    /// The turn that is set.
    armed: f64,
    inbox: Vec<Letter>,
    pub parts: Option<Parts>,
    /// When they were last asked for.
    parted: f64,
    pub bytes: u64,
    pub letters: u64,
    pub events: Vec<(f64, Event)>,
}

impl Node {
    fn clock(&self, now: f64) -> f64 {
        self.skew + now * self.rate
    }
}

enum What {
    Turn(usize, u64),
    Come(usize, Box<Letter>),
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

pub struct Net {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub terms: Terms,
    queue: BinaryHeap<Due>,
    count: u64,
    pub chance: ChaCha8Rng,
    pub rule: Rule,
    key: Key,
    /// The most by which all gateways together used more than there is, and when.
    pub over: (f64, f64),
    /// The sum of what all use is looked at after each event.
    pub watch: bool,
    seeds: usize,
    /// Bytes by what letters were about.
    pub matters: BTreeMap<u8, u64>,
    /// A hash over all datagrams that were sent, in their order.
    pub transcript: u64,
}

/// Letters take half a millisecond to two, and are never lost.
pub fn calm() -> Rule {
    Box::new(|_, _, _, chance| vec![chance.random_range(0.0005..0.002)])
}

/// A part of the letters is lost.
pub fn lossy(part: f64) -> Rule {
    Box::new(
        move |_, _, _, chance| {
            if chance.random_bool(part) { vec![] } else { vec![chance.random_range(0.0005..0.002)] }
        },
    )
}

/// One step of the 64-bit FNV-1a hash.
fn fnv1a(hash: u64, byte: &u8) -> u64 {
    (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
}

impl Net {
    /// A fleet that has not begun; `seeds` gateways are named as places where others may be found.
    pub fn new(size: usize, seeds: usize, terms: Terms, seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..size).map(|n| Node {
            peers: None,
            at: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000)),
            life: 0,
            rate: chance.random_range(0.99..1.01),
            skew: chance.random_range(0.0..1e5),
            still: 0.0,
            armed: f64::INFINITY,
            inbox: Vec::new(),
            parts: None,
            parted: -1.0,
            bytes: 0,
            letters: 0,
            events: Vec::new(),
        });
        let nodes = nodes.collect();
        Self {
            now: 0.0,
            nodes,
            terms,
            queue: BinaryHeap::new(),
            count: 0,
            chance,
            rule: calm(),
            key: Key::new(b"a fleet"),
            over: (0.0, 0.0),
            watch: false,
            seeds,
            matters: BTreeMap::new(),
            transcript: 0xcbf2_9ce4_8422_2325,
        }
    }

    /// Begins a gateway, or begins it anew from nothing.
    pub fn begin(&mut self, n: usize) {
        let most = self.nodes.len() as u32;
        self.begin_as(n, &format!("gateway-{n}"), most);
    }

    pub fn begin_as(&mut self, n: usize, name: &str, most: u32) {
        let life = self.chance.random();
        let seeds = self.nodes[..self.seeds].iter().map(|node| node.at).collect();
        let node = &mut self.nodes[n];
        let who = Who { life, name: name.into(), at: node.at, incarnation: 0, most };
        node.peers = Some(Peers::new(who, self.terms, seeds, life, node.clock(self.now)));
        (node.life, node.parts, node.still, node.armed) = (life, None, 0.0, f64::INFINITY);
        node.parted = -1.0;
        node.inbox.clear();
        self.after(n);
    }

    pub fn begin_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.begin(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peers = None;
        self.nodes[n].parts = None;
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.nodes[n].clock(self.now);
        if let Some(peers) = self.nodes[n].peers.as_mut() {
            peers.leave(now);
        }
        self.after(n);
        self.kill(n);
    }

    /// A process stands still for so many seconds.
    pub fn stall(&mut self, n: usize, seconds: f64) {
        self.nodes[n].still = self.now + seconds;
    }

    pub fn life(&self, n: usize) -> u64 {
        self.nodes[n].life
    }

    /// How `n` sees `other`'s present process.
    pub fn sees(&self, n: usize, other: usize) -> Option<State> {
        self.nodes[n].peers.as_ref()?.state(self.nodes[other].life)
    }

    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].peers.is_some()).collect()
    }

    /// Whether all that are up see each other alive, and nobody else there.
    pub fn agree(&self) -> bool {
        let up = self.up();
        let all = |n: &usize| up.iter().all(|o| o == n || self.sees(*n, *o) == Some(State::Alive));
        let few = |n: &usize| self.nodes[*n].peers.as_ref().is_some_and(|p| p.likely() == up.len() as f64);
        up.iter().all(|n| all(n) && few(n))
    }

    fn put(&mut self, at: f64, what: What) {
        self.count += 1;
        self.queue.push(Due(at, self.count, what));
    }

    /// Sends what a gateway has to send, and sets its clock.
    fn after(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let clock = node.clock(now);
        let Some(peers) = node.peers.as_mut() else { return };
        if self.watch || now >= node.parted + 0.1 {
            node.parted = now;
            node.parts = Some(peers.parts(clock));
        }
        node.events.extend(peers.events().into_iter().map(|e| (now, e)));
        let out: Vec<_> = std::iter::from_fn(|| peers.out()).collect();
        let next = (peers.next() - node.skew) / node.rate;
        let life = node.life;
        for sent in out {
            let datagram = letter::seal(&self.key, &sent.letter).expect("no letter is too large");
            self.transcript = datagram.iter().fold(self.transcript, fnv1a);
            self.nodes[n].bytes += datagram.len() as u64;
            self.nodes[n].letters += 1;
            *self.matters.entry(sent.letter.matter).or_default() += datagram.len() as u64;
            let Some(to) = self.nodes.iter().position(|node| node.at == sent.to) else { continue };
            for delay in (self.rule)(now, n, to, &mut self.chance) {
                self.put(now + delay, What::Come(to, Box::new(sent.letter.clone())));
            }
        }
        let next = next.max(now + 1e-6);
        if next < self.nodes[n].armed {
            self.nodes[n].armed = next;
            self.put(next, What::Turn(n, life));
        }
    }

    /// Plays on until then.
    pub fn play(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|due| due.0 <= until) {
            let Some(Due(at, _, what)) = self.queue.pop() else { break };
            self.now = at;
            let n = match &what {
                What::Turn(n, _) | What::Come(n, _) => *n,
            };
            if self.nodes[n].still > at {
                let still = self.nodes[n].still;
                match what {
                    What::Come(_, letter) => self.nodes[n].inbox.push(*letter),
                    What::Turn(..) => {
                        self.nodes[n].armed = still;
                        self.put(still, what);
                    }
                }
                continue;
            }
            let clock = self.nodes[n].clock(at);
            let node = &mut self.nodes[n];
            let Some(peers) = node.peers.as_mut() else { continue };
            if matches!(&what, What::Turn(_, life) if *life != node.life || at != node.armed) {
                continue;
            }
            let inbox = std::mem::take(&mut node.inbox);
            inbox.into_iter().for_each(|letter| peers.heard(clock, letter));
            match what {
                What::Turn(..) => {
                    node.armed = f64::INFINITY;
                    peers.turn(clock);
                }
                What::Come(_, letter) => peers.heard(clock, *letter),
            }
            self.after(n);
            if self.watch {
                self.look();
            }
        }
        self.now = until;
    }

    /// What all use together of what there is, by their own clocks.
    pub fn used(&self) -> f64 {
        let using = |node: &Node| {
            let parts = node.parts?;
            let part = if node.clock(self.now) < parts.until { parts.part } else { parts.floor };
            Some(part / self.nodes.len() as f64)
        };
        self.nodes.iter().filter_map(using).sum()
    }

    fn look(&mut self) {
        let over = self.used() - 1.0;
        if over > self.over.0 {
            self.over = (over, self.now);
        }
    }

    /// Seconds after `since` at which each gateway that is up first told of such an event.
    pub fn times(&self, since: f64, such: impl Fn(&Event) -> bool) -> BTreeMap<usize, f64> {
        let first = |n: usize| {
            let found = self.nodes[n].events.iter().find(|(at, e)| *at >= since && such(e));
            found.map(|(at, _)| (n, at - since))
        };
        self.up().into_iter().filter_map(first).collect()
    }
}
