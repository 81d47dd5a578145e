//! A deterministic simulation of a cluster, reproducible from a seed. It runs the real membership state machines with
//! drifting clocks, on a network that loses, delays and duplicates datagrams according to a delivery rule.

pub mod delivery;
mod event_queue;
pub mod scenario;

use delivery::{DeliveryRule, Transmission, reliable};
use event_queue::{EventQueue, SimulationEvent};
use milletpath_membership::datagram::{self, Datagram, Identity, Key};
use milletpath_membership::{
    MemberState, Membership, MembershipConfig, MembershipEvent, OutgoingDatagram, QuotaFraction,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum interval in seconds at which a node's quota is read, unless it is read after every event.
const QUOTA_INTERVAL: f64 = 0.1;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Adds one byte to a 64-bit FNV-1a hash.
fn fnv1a(hash: u64, byte: &u8) -> u64 {
    (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
}

/// A gateway of the cluster, running or not.
pub struct Node {
    /// State machine of the running process; `None` if the gateway is not running.
    pub membership: Option<Membership>,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Random id of the most recent process.
    pub instance_id: u64,
    /// At the simulated time `now` the node's clock shows `clock_offset + clock_rate * now`.
    clock_rate: f64,
    clock_offset: f64,
    /// End of the pause of the process in simulated time.
    paused_until: f64,
    /// Datagrams that arrived during the pause.
    paused_inbox: Vec<Datagram>,
    /// Time of the next scheduled tick, infinite if there is none.
    next_tick_at: f64,
    /// The most recently read quota of the process.
    pub quota: Option<QuotaFraction>,
    /// When the quota was last read.
    quota_read_at: f64,
    /// Number of bytes that it has sent.
    pub bytes_sent: u64,
    /// Number of datagrams that it has sent.
    pub datagrams_sent: u64,
    /// Membership events and the times at which they occurred.
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
            paused_inbox: Vec::new(),
            next_tick_at: f64::INFINITY,
            quota: None,
            quota_read_at: -1.0,
            bytes_sent: 0,
            datagrams_sent: 0,
            events: Vec::new(),
        }
    }

    /// Converts simulated time to the time on the node's clock.
    fn clock(&self, now: f64) -> f64 {
        self.clock_offset + now * self.clock_rate
    }

    /// Returns the state machine of a running node; panics if the node is not running.
    pub fn running_membership(&self) -> &Membership {
        self.membership.as_ref().expect("the node is running")
    }

    /// Returns the quota that the node may use now by its own clock, as a multiple of an even share of the budgets.
    fn used_fraction(&self, now: f64) -> Option<f64> {
        let quota = self.quota?;
        Some(if self.clock(now) < quota.valid_until { quota.fraction } else { quota.floor_fraction })
    }

    /// Whether the event is a tick of a previous process, or one that was replaced by an earlier tick.
    fn is_stale(&self, at: f64, event: &SimulationEvent) -> bool {
        match event {
            SimulationEvent::Tick { instance_id, .. } => {
                *instance_id != self.instance_id || at != self.next_tick_at
            }
            SimulationEvent::Deliver { .. } => false,
        }
    }

    /// Counts the matching events since the given time.
    pub fn count_events(&self, since: f64, matches: impl Fn(&MembershipEvent) -> bool) -> usize {
        self.events.iter().filter(|(at, event)| *at >= since && matches(event)).count()
    }
}

/// The largest amount by which the gateways together exceeded the budgets.
#[derive(Clone, Copy, Debug)]
pub struct Excess {
    /// Excess as a fraction of the budgets.
    pub amount: f64,
    /// Simulated time at which it occurred, in seconds.
    pub at: f64,
}

/// The gateways of a cluster and the network between them.
pub struct SimulatedNetwork {
    /// Current simulated time in seconds.
    pub now: f64,
    /// The gateways, by index.
    pub nodes: Vec<Node>,
    /// The configuration of all gateways.
    pub config: MembershipConfig,
    event_queue: EventQueue,
    /// Seeded generator of all random numbers.
    pub rng: ChaCha8Rng,
    /// Decides whether and when each datagram arrives.
    pub delivery_rule: DeliveryRule,
    key: Key,
    /// The largest excess over the budgets, recorded while `check_quota_sum` is set.
    pub worst_excess: Excess,
    /// Whether the sum of all quota fractions is checked after every event.
    pub check_quota_sum: bool,
    /// Number of nodes that are seeds; they come first.
    seeds: usize,
    /// Number of bytes sent, by kind of datagram.
    pub bytes_sent_by_kind: BTreeMap<u8, u64>,
    /// FNV-1a hash of all sent datagrams in their order.
    pub transcript_hash: u64,
}

impl SimulatedNetwork {
    /// Creates a cluster without a running gateway. The first `seeds` nodes are the seeds of all gateways.
    pub fn new(size: usize, seeds: usize, config: MembershipConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000));
        let nodes = (0..size).map(|n| Node::new(address(n), &mut rng)).collect();
        Self {
            now: 0.0,
            nodes,
            config,
            event_queue: EventQueue::default(),
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

    /// Starts or restarts a gateway without state from a previous process.
    pub fn start(&mut self, n: usize) {
        let max_gateways = self.nodes.len() as u32;
        self.start_as(n, &format!("gateway-{n}"), max_gateways);
    }

    /// Starts or restarts a gateway with the given name and maximum number of gateways.
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
        node.paused_inbox.clear();
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

    /// Stops a process without notifying the other gateways.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].membership = None;
        self.nodes[n].quota = None;
    }

    /// Shuts a gateway down gracefully: it announces its departure first.
    pub fn depart(&mut self, n: usize) {
        let clock = self.nodes[n].clock(self.now);
        if let Some(membership) = self.nodes[n].membership.as_mut() {
            membership.announce_departure(clock);
        }
        self.flush(n);
        self.kill(n);
    }

    /// Pauses a process for the given number of seconds.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.nodes[n].paused_until = self.now + seconds;
    }

    /// Returns the instance id of a gateway's most recent process.
    pub fn instance_id(&self, n: usize) -> u64 {
        self.nodes[n].instance_id
    }

    /// Returns the state of `other`'s most recent process as seen by `observer`.
    pub fn state_of(&self, observer: usize, other: usize) -> Option<MemberState> {
        self.nodes[observer].membership.as_ref()?.state(self.nodes[other].instance_id)
    }

    /// Returns the indices of the running gateways.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].membership.is_some()).collect()
    }

    /// Whether all running gateways see each other as alive and count no other gateway as present.
    pub fn all_agree(&self) -> bool {
        let running = self.running_nodes();
        running.iter().all(|n| {
            let others = running.iter().filter(|other| *other != n);
            let sees_all = others.into_iter().all(|o| self.state_of(*n, *o) == Some(MemberState::Alive));
            sees_all && self.nodes[*n].running_membership().likely_gateways() == running.len() as f64
        })
    }

    /// Runs the simulation until the given time in seconds.
    pub fn run_until(&mut self, until: f64) {
        while let Some((at, event)) = self.event_queue.pop_until(until) {
            self.now = at;
            if self.nodes[event.node()].paused_until > at {
                self.postpone_event(event);
            } else {
                self.process_event(event);
            }
        }
        self.now = until;
    }

    /// Defers an event until the end of a node's pause.
    fn postpone_event(&mut self, event: SimulationEvent) {
        let node = &mut self.nodes[event.node()];
        match event {
            SimulationEvent::Deliver { datagram, .. } => node.paused_inbox.push(*datagram),
            SimulationEvent::Tick { .. } => {
                node.next_tick_at = node.paused_until;
                self.event_queue.push(node.paused_until, event);
            }
        }
    }

    /// Processes an event, after the datagrams that arrived during a pause, unless the event is stale.
    fn process_event(&mut self, event: SimulationEvent) {
        let n = event.node();
        let node = &mut self.nodes[n];
        let clock = node.clock(self.now);
        if node.is_stale(self.now, &event) {
            return;
        }
        let Some(membership) = node.membership.as_mut() else { return };
        let delayed = std::mem::take(&mut node.paused_inbox);
        delayed.into_iter().for_each(|datagram| membership.receive(clock, datagram));
        match event {
            SimulationEvent::Tick { .. } => {
                node.next_tick_at = f64::INFINITY;
                membership.tick(clock);
            }
            SimulationEvent::Deliver { datagram, .. } => membership.receive(clock, *datagram),
        }
        self.flush(n);
        if self.check_quota_sum {
            self.record_excess();
        }
    }

    /// Collects the output of a process: its quota if due, its events and datagrams, and the time of its next tick.
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

    /// Schedules a tick unless one is already scheduled for that time or earlier.
    fn schedule_tick(&mut self, n: usize, at: f64) {
        let node = &mut self.nodes[n];
        if at < node.next_tick_at {
            node.next_tick_at = at;
            self.event_queue.push(at, SimulationEvent::Tick { node: n, instance_id: node.instance_id });
        }
    }

    /// Counts a datagram and schedules its delivery according to the delivery rule.
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
            self.event_queue.push(self.now + delay, SimulationEvent::Deliver { node: to, datagram });
        }
    }

    /// Returns the fraction of the shared budgets that the gateways together may use, each by its own clock.
    pub fn used_fraction(&self) -> f64 {
        let fractions = self.nodes.iter().filter_map(|node| node.used_fraction(self.now));
        fractions.map(|fraction| fraction / self.nodes.len() as f64).sum()
    }

    /// Updates the largest excess over the budgets.
    fn record_excess(&mut self) {
        let amount = self.used_fraction() - 1.0;
        if amount > self.worst_excess.amount {
            self.worst_excess = Excess { amount, at: self.now };
        }
    }

    /// Returns, for each running gateway with a matching event since `since`, the seconds from then to the first one.
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
