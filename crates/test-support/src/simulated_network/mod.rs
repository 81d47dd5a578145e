//! A cluster in simulated time, reproducible from a seed: the real membership state machines, clocks that drift, and a
//! network that loses, delays, duplicates and cuts by a delivery rule.

pub mod delivery;
pub mod scenario;
mod schedule;

use delivery::{DeliveryRule, Transmission, reliable};
use milletpath_membership::datagram::{self, Datagram, Identity, Key};
use milletpath_membership::{
    MemberState, Membership, MembershipConfig, MembershipEvent, OutgoingDatagram, QuotaFraction,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::{Schedule, Work};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds between two readings of the quota where it is not read after every event.
const QUOTA_INTERVAL: f64 = 0.1;

/// Start value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// One step of the 64-bit FNV-1a hash.
fn fnv1a(hash: u64, byte: &u8) -> u64 {
    (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
}

/// A gateway, running or not.
pub struct Node {
    /// The process; `None` where it is not running.
    pub membership: Option<Membership>,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Random id of the last process.
    pub instance_id: u64,
    /// The node's clock shows `clock_offset + clock_rate * now`.
    clock_rate: f64,
    clock_offset: f64,
    /// Until when the process is paused.
    paused_until: f64,
    /// Datagrams that arrived during the pause.
    delayed_inbox: Vec<Datagram>,
    next_tick_at: f64,
    /// The quota that the process last read.
    pub quota: Option<QuotaFraction>,
    quota_read_at: f64,
    /// Bytes that it has sent.
    pub bytes_sent: u64,
    /// Datagrams that it has sent.
    pub datagrams_sent: u64,
    /// Events and when they happened.
    pub events: Vec<(f64, MembershipEvent)>,
}

impl Node {
    fn new(address: SocketAddr, rng: &mut ChaCha8Rng) -> Self {
        Self {
            membership: None,
            address,
            instance_id: 0,
            clock_rate: rng.random_range(0.99..1.01),
            clock_offset: rng.random_range(0.0..1e5),
            paused_until: 0.0,
            delayed_inbox: Vec::new(),
            next_tick_at: f64::INFINITY,
            quota: None,
            quota_read_at: -1.0,
            bytes_sent: 0,
            datagrams_sent: 0,
            events: Vec::new(),
        }
    }

    fn clock(&self, now: f64) -> f64 {
        self.clock_offset + now * self.clock_rate
    }

    /// The process of a node that is known to run.
    pub fn running_membership(&self) -> &Membership {
        self.membership.as_ref().expect("the node runs")
    }

    /// Fraction of the budgets that it may use by its own clock, as a multiple of the even quota.
    fn used_fraction(&self, now: f64) -> Option<f64> {
        let quota = self.quota?;
        Some(if self.clock(now) < quota.valid_until { quota.fraction } else { quota.floor_fraction })
    }

    /// Whether the work was meant for a former process, or replaced by an earlier tick.
    fn is_outdated(&self, at: f64, work: &Work) -> bool {
        match work {
            Work::Tick { instance_id, .. } => *instance_id != self.instance_id || at != self.next_tick_at,
            Work::Deliver { .. } => false,
        }
    }

    /// Number of events of one kind since a time.
    pub fn count_events(&self, since: f64, matches: impl Fn(&MembershipEvent) -> bool) -> usize {
        self.events.iter().filter(|(at, event)| *at >= since && matches(event)).count()
    }
}

/// The most by which all gateways together exceeded the budgets.
#[derive(Clone, Copy, Debug)]
pub struct Excess {
    /// Fraction of all budgets.
    pub amount: f64,
    /// When it was, in seconds of simulated time.
    pub at: f64,
}

/// The gateways of a cluster, and the network between them.
pub struct SimulatedNetwork {
    /// Seconds of simulated time.
    pub now: f64,
    /// The gateways, by index.
    pub nodes: Vec<Node>,
    /// The configuration of all.
    pub config: MembershipConfig,
    schedule: Schedule,
    /// The generator of all random numbers, seeded.
    pub rng: ChaCha8Rng,
    /// What becomes of each datagram.
    pub delivery_rule: DeliveryRule,
    key: Key,
    /// The most by which the budgets were exceeded, where it is checked.
    pub worst_excess: Excess,
    /// Whether the sum of all quota fractions is checked after every event.
    pub check_quota_sum: bool,
    /// Number of nodes that are seeds.
    seeds: usize,
    /// Bytes that were sent, by the kind of datagram.
    pub bytes_sent_by_kind: BTreeMap<u8, u64>,
    /// A hash over all datagrams that were sent, in their order.
    pub transcript_hash: u64,
}

impl SimulatedNetwork {
    /// A cluster in which nothing runs yet; the first `seeds` nodes are the seeds of all.
    pub fn new(size: usize, seeds: usize, config: MembershipConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000));
        let nodes = (0..size).map(|n| Node::new(address(n), &mut rng)).collect();
        Self {
            now: 0.0,
            nodes,
            config,
            schedule: Schedule::default(),
            rng,
            delivery_rule: reliable(),
            key: Key::new(b"a fleet"),
            worst_excess: Excess { amount: 0.0, at: 0.0 },
            check_quota_sum: false,
            seeds,
            bytes_sent_by_kind: BTreeMap::new(),
            transcript_hash: FNV_OFFSET_BASIS,
        }
    }

    /// Starts or restarts a gateway, without memory of a former process.
    pub fn start(&mut self, n: usize) {
        let max_gateways = self.nodes.len() as u32;
        self.start_as(n, &format!("gateway-{n}"), max_gateways);
    }

    /// Starts or restarts a gateway under this name, with a limit on how many gateways it knows.
    pub fn start_as(&mut self, n: usize, name: &str, max_gateways: u32) {
        let instance_id = self.rng.random();
        let seeds = self.nodes[..self.seeds].iter().map(|node| node.address).collect();
        let node = &mut self.nodes[n];
        let identity =
            Identity { instance_id, name: name.into(), address: node.address, incarnation: 0, max_gateways };
        let clock = node.clock(self.now);
        node.membership = Some(Membership::new(identity, self.config, seeds, instance_id, clock));
        node.instance_id = instance_id;
        node.paused_until = 0.0;
        node.delayed_inbox.clear();
        node.next_tick_at = f64::INFINITY;
        node.quota = None;
        node.quota_read_at = -1.0;
        self.flush(n);
    }

    /// Starts all gateways.
    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    /// Starts the gateways that are not running.
    pub fn start_missing(&mut self) {
        let missing: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].membership.is_none()).collect();
        missing.into_iter().for_each(|n| self.start(n));
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].membership = None;
        self.nodes[n].quota = None;
    }

    /// Shuts a gateway down in order.
    pub fn depart(&mut self, n: usize) {
        let clock = self.nodes[n].clock(self.now);
        if let Some(membership) = self.nodes[n].membership.as_mut() {
            membership.announce_departure(clock);
        }
        self.flush(n);
        self.kill(n);
    }

    /// Pauses a process for some seconds.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.nodes[n].paused_until = self.now + seconds;
    }

    /// Random id of a gateway's last process.
    pub fn instance_id(&self, n: usize) -> u64 {
        self.nodes[n].instance_id
    }

    /// The state that `other`'s last process has in the eyes of `observer`.
    pub fn state_of(&self, observer: usize, other: usize) -> Option<MemberState> {
        self.nodes[observer].membership.as_ref()?.state(self.nodes[other].instance_id)
    }

    /// Indices of the gateways that run.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].membership.is_some()).collect()
    }

    /// Whether all running gateways take each other for alive, and nobody else for present.
    pub fn all_agree(&self) -> bool {
        let running = self.running_nodes();
        running.iter().all(|n| {
            let others = running.iter().filter(|other| *other != n);
            let sees_all = others.into_iter().all(|o| self.state_of(*n, *o) == Some(MemberState::Alive));
            sees_all && self.nodes[*n].running_membership().likely_gateways() == running.len() as f64
        })
    }

    /// Runs until a time, in seconds.
    pub fn run_until(&mut self, until: f64) {
        while let Some((at, work)) = self.schedule.next_until(until) {
            self.now = at;
            if self.nodes[work.node()].paused_until > at {
                self.postpone(work);
            } else {
                self.perform(work);
            }
        }
        self.now = until;
    }

    /// Keeps work for the end of a node's pause.
    fn postpone(&mut self, work: Work) {
        let node = &mut self.nodes[work.node()];
        match work {
            Work::Deliver { datagram, .. } => node.delayed_inbox.push(*datagram),
            Work::Tick { .. } => {
                node.next_tick_at = node.paused_until;
                self.schedule.add(node.paused_until, work);
            }
        }
    }

    fn perform(&mut self, work: Work) {
        let n = work.node();
        let node = &mut self.nodes[n];
        let clock = node.clock(self.now);
        if node.is_outdated(self.now, &work) {
            return;
        }
        let Some(membership) = node.membership.as_mut() else { return };
        let delayed = std::mem::take(&mut node.delayed_inbox);
        delayed.into_iter().for_each(|datagram| membership.receive(clock, datagram));
        match work {
            Work::Tick { .. } => {
                node.next_tick_at = f64::INFINITY;
                membership.tick(clock);
            }
            Work::Deliver { datagram, .. } => membership.receive(clock, *datagram),
        }
        self.flush(n);
        if self.check_quota_sum {
            self.record_excess();
        }
    }

    /// Takes all that a process has to give: its quota, events and datagrams, and the time of its next tick.
    fn flush(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let clock = node.clock(now);
        let Some(membership) = node.membership.as_mut() else { return };
        if self.check_quota_sum || now >= node.quota_read_at + QUOTA_INTERVAL {
            node.quota_read_at = now;
            node.quota = Some(membership.quota_fraction(clock));
        }
        node.events.extend(membership.take_events().into_iter().map(|event| (now, event)));
        let outgoing: Vec<_> = std::iter::from_fn(|| membership.next_outgoing()).collect();
        let deadline = (membership.next_deadline() - node.clock_offset) / node.clock_rate;
        outgoing.into_iter().for_each(|sent| self.transmit(n, sent));
        self.schedule_tick(n, deadline.max(now + 1e-6));
    }

    fn schedule_tick(&mut self, n: usize, at: f64) {
        let node = &mut self.nodes[n];
        if at < node.next_tick_at {
            node.next_tick_at = at;
            self.schedule.add(at, Work::Tick { node: n, instance_id: node.instance_id });
        }
    }

    fn transmit(&mut self, from: usize, sent: OutgoingDatagram) {
        let sealed = datagram::seal(&self.key, &sent.datagram).expect("no datagram is too large");
        self.transcript_hash = sealed.iter().fold(self.transcript_hash, fnv1a);
        self.nodes[from].bytes_sent += sealed.len() as u64;
        self.nodes[from].datagrams_sent += 1;
        *self.bytes_sent_by_kind.entry(sent.datagram.kind).or_default() += sealed.len() as u64;
        let Some(to) = self.nodes.iter().position(|node| node.address == sent.to) else { return };
        let transmission = Transmission { sent_at: self.now, from, to };
        for delay in (self.delivery_rule)(transmission, &mut self.rng) {
            let datagram = Box::new(sent.datagram.clone());
            self.schedule.add(self.now + delay, Work::Deliver { node: to, datagram });
        }
    }

    /// Fraction of the shared budgets that all gateways together may use, each by its own clock.
    pub fn used_fraction(&self) -> f64 {
        let fractions = self.nodes.iter().filter_map(|node| node.used_fraction(self.now));
        fractions.map(|fraction| fraction / self.nodes.len() as f64).sum()
    }

    fn record_excess(&mut self) {
        let amount = self.used_fraction() - 1.0;
        if amount > self.worst_excess.amount {
            self.worst_excess = Excess { amount, at: self.now };
        }
    }

    /// Seconds from `since` to the first matching event of each running gateway that has one.
    pub fn first_event_times(
        &self,
        since: f64,
        matches: impl Fn(&MembershipEvent) -> bool,
    ) -> BTreeMap<usize, f64> {
        let first = |n: usize| {
            let mut events = self.nodes[n].events.iter();
            let (at, _) = events.find(|(at, event)| *at >= since && matches(event))?;
            Some((n, at - since))
        };
        self.running_nodes().into_iter().filter_map(first).collect()
    }
}
