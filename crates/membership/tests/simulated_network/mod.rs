//! A fleet in simulated time from one seed: the cores as they are, clocks that run apart, and a network that loses,
//! delays, doubles and cuts as a rule says.

#![allow(dead_code)]

use milletpath_membership::datagram::{self, Datagram, Identity, Key};
use milletpath_membership::{MemberState, Membership, MembershipConfig, MembershipEvent, QuotaFraction};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// What befalls one letter: the delays after which it comes, none where it is lost.
pub type DeliveryRule = Box<dyn FnMut(f64, usize, usize, &mut ChaCha8Rng) -> Vec<f64>>;

pub struct Node {
    pub membership: Option<Membership>,
    pub address: SocketAddr,
    pub instance_id: u64,
    rate: f64,
    skew: f64,
    /// Until when it stands still, and what came meanwhile.
    paused_until: f64,
    /// The turn that is set.
    next_turn_at: f64,
    delayed_inbox: Vec<Datagram>,
    pub quota: Option<QuotaFraction>,
    /// When they were last asked for.
    quota_read_at: f64,
    pub bytes: u64,
    pub datagrams: u64,
    pub events: Vec<(f64, MembershipEvent)>,
}

impl Node {
    fn clock(&self, now: f64) -> f64 {
        self.skew + now * self.rate
    }
}

enum Work {
    Turn(usize, u64),
    Deliver(usize, Box<Datagram>),
}

struct Scheduled(f64, u64, Work);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

pub struct SimulatedNetwork {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub config: MembershipConfig,
    queue: BinaryHeap<Scheduled>,
    count: u64,
    pub rng: ChaCha8Rng,
    pub delivery_rule: DeliveryRule,
    key: Key,
    /// The most by which all gateways together used more than there is, and when.
    pub over: (f64, f64),
    /// The sum of what all use is looked at after each event.
    pub check_quota_sum: bool,
    seeds: usize,
    /// Bytes by what letters were about.
    pub bytes_by_kind: BTreeMap<u8, u64>,
    /// A hash over all datagrams that were sent, in their order.
    pub transcript: u64,
}

/// Letters take half a millisecond to two, and are never lost.
pub fn reliable() -> DeliveryRule {
    Box::new(|_, _, _, rng| vec![rng.random_range(0.0005..0.002)])
}

/// A part of the letters is lost.
pub fn lossy(part: f64) -> DeliveryRule {
    Box::new(
        move |_, _, _, rng| {
            if rng.random_bool(part) { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
        },
    )
}

/// One step of the 64-bit FNV-1a hash.
fn fnv1a(hash: u64, byte: &u8) -> u64 {
    (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
}

impl SimulatedNetwork {
    /// A fleet that has not begun; `seeds` gateways are named as places where others may be found.
    pub fn new(size: usize, seeds: usize, config: MembershipConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..size).map(|n| Node {
            membership: None,
            address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000)),
            instance_id: 0,
            rate: rng.random_range(0.99..1.01),
            skew: rng.random_range(0.0..1e5),
            paused_until: 0.0,
            next_turn_at: f64::INFINITY,
            delayed_inbox: Vec::new(),
            quota: None,
            quota_read_at: -1.0,
            bytes: 0,
            datagrams: 0,
            events: Vec::new(),
        });
        let nodes = nodes.collect();
        Self {
            now: 0.0,
            nodes,
            config,
            queue: BinaryHeap::new(),
            count: 0,
            rng,
            delivery_rule: reliable(),
            key: Key::new(b"a fleet"),
            over: (0.0, 0.0),
            check_quota_sum: false,
            seeds,
            bytes_by_kind: BTreeMap::new(),
            transcript: 0xcbf2_9ce4_8422_2325,
        }
    }

    /// Begins a gateway, or begins it anew from nothing.
    pub fn start(&mut self, n: usize) {
        let max_gateways = self.nodes.len() as u32;
        self.start_as(n, &format!("gateway-{n}"), max_gateways);
    }

    pub fn start_as(&mut self, n: usize, name: &str, max_gateways: u32) {
        let instance_id = self.rng.random();
        let seeds = self.nodes[..self.seeds].iter().map(|node| node.address).collect();
        let node = &mut self.nodes[n];
        let identity =
            Identity { instance_id, name: name.into(), address: node.address, incarnation: 0, max_gateways };
        node.membership =
            Some(Membership::new(identity, self.config, seeds, instance_id, node.clock(self.now)));
        (node.instance_id, node.quota, node.paused_until, node.next_turn_at) =
            (instance_id, None, 0.0, f64::INFINITY);
        node.quota_read_at = -1.0;
        node.delayed_inbox.clear();
        self.flush(n);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].membership = None;
        self.nodes[n].quota = None;
    }

    pub fn depart(&mut self, n: usize) {
        let now = self.nodes[n].clock(self.now);
        if let Some(membership) = self.nodes[n].membership.as_mut() {
            membership.announce_departure(now);
        }
        self.flush(n);
        self.kill(n);
    }

    /// A process stands still for so many seconds.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.nodes[n].paused_until = self.now + seconds;
    }

    pub fn instance_id(&self, n: usize) -> u64 {
        self.nodes[n].instance_id
    }

    /// How `n` sees `other`'s present process.
    pub fn state_of(&self, n: usize, other: usize) -> Option<MemberState> {
        self.nodes[n].membership.as_ref()?.state(self.nodes[other].instance_id)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].membership.is_some()).collect()
    }

    /// Whether all that are up see each other alive, and nobody else there.
    pub fn all_agree(&self) -> bool {
        let up = self.running();
        let all = |n: &usize| up.iter().all(|o| o == n || self.state_of(*n, *o) == Some(MemberState::Alive));
        let few = |n: &usize| {
            self.nodes[*n].membership.as_ref().is_some_and(|p| p.likely_gateways() == up.len() as f64)
        };
        up.iter().all(|n| all(n) && few(n))
    }

    fn schedule(&mut self, at: f64, what: Work) {
        self.count += 1;
        self.queue.push(Scheduled(at, self.count, what));
    }

    /// Sends what a gateway has to send, and sets its clock.
    fn flush(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let clock = node.clock(now);
        let Some(membership) = node.membership.as_mut() else { return };
        if self.check_quota_sum || now >= node.quota_read_at + 0.1 {
            node.quota_read_at = now;
            node.quota = Some(membership.quota_fraction(clock));
        }
        node.events.extend(membership.take_events().into_iter().map(|e| (now, e)));
        let outgoing: Vec<_> = std::iter::from_fn(|| membership.next_outgoing()).collect();
        let next = (membership.next_deadline() - node.skew) / node.rate;
        let instance_id = node.instance_id;
        for sent in outgoing {
            let sealed = datagram::seal(&self.key, &sent.datagram).expect("no letter is too large");
            self.transcript = sealed.iter().fold(self.transcript, fnv1a);
            self.nodes[n].bytes += sealed.len() as u64;
            self.nodes[n].datagrams += 1;
            *self.bytes_by_kind.entry(sent.datagram.kind).or_default() += sealed.len() as u64;
            let Some(to) = self.nodes.iter().position(|node| node.address == sent.to) else { continue };
            for delay in (self.delivery_rule)(now, n, to, &mut self.rng) {
                self.schedule(now + delay, Work::Deliver(to, Box::new(sent.datagram.clone())));
            }
        }
        let next = next.max(now + 1e-6);
        if next < self.nodes[n].next_turn_at {
            self.nodes[n].next_turn_at = next;
            self.schedule(next, Work::Turn(n, instance_id));
        }
    }

    /// Plays on until then.
    pub fn run_until(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|due| due.0 <= until) {
            let Some(Scheduled(at, _, what)) = self.queue.pop() else { break };
            self.now = at;
            let n = match &what {
                Work::Turn(n, _) | Work::Deliver(n, _) => *n,
            };
            if self.nodes[n].paused_until > at {
                let paused_until = self.nodes[n].paused_until;
                match what {
                    Work::Deliver(_, datagram) => self.nodes[n].delayed_inbox.push(*datagram),
                    Work::Turn(..) => {
                        self.nodes[n].next_turn_at = paused_until;
                        self.schedule(paused_until, what);
                    }
                }
                continue;
            }
            let clock = self.nodes[n].clock(at);
            let node = &mut self.nodes[n];
            let Some(membership) = node.membership.as_mut() else { continue };
            if matches!(&what, Work::Turn(_, instance_id) if *instance_id != node.instance_id || at != node.next_turn_at)
            {
                continue;
            }
            let delayed_inbox = std::mem::take(&mut node.delayed_inbox);
            delayed_inbox.into_iter().for_each(|datagram| membership.receive(clock, datagram));
            match what {
                Work::Turn(..) => {
                    node.next_turn_at = f64::INFINITY;
                    membership.tick(clock);
                }
                Work::Deliver(_, datagram) => membership.receive(clock, *datagram),
            }
            self.flush(n);
            if self.check_quota_sum {
                self.check_used_fraction();
            }
        }
        self.now = until;
    }

    /// What all use together of what there is, by their own clocks.
    pub fn used_fraction(&self) -> f64 {
        let using = |node: &Node| {
            let quota = node.quota?;
            let part = if node.clock(self.now) < quota.valid_until { quota.fraction } else { quota.floor };
            Some(part / self.nodes.len() as f64)
        };
        self.nodes.iter().filter_map(using).sum()
    }

    fn check_used_fraction(&mut self) {
        let over = self.used_fraction() - 1.0;
        if over > self.over.0 {
            self.over = (over, self.now);
        }
    }

    /// Seconds after `since` at which each gateway that is up first told of such an event.
    pub fn first_event_times(
        &self,
        since: f64,
        such: impl Fn(&MembershipEvent) -> bool,
    ) -> BTreeMap<usize, f64> {
        let first = |n: usize| {
            let found = self.nodes[n].events.iter().find(|(at, e)| *at >= since && such(e));
            found.map(|(at, _)| (n, at - since))
        };
        self.running().into_iter().filter_map(first).collect()
    }
}
