//! The state of the membership protocol and the operations shared by all of its modules: the queue of outgoing
//! datagrams, random selection of members, and gateway counts. The protocol itself is implemented in `gossip`,
//! `failure_detection` and `quorum`.

pub(crate) mod counters;
pub(crate) mod event;
pub(crate) mod member;
pub(crate) mod own_sets;
pub(crate) mod probe;
pub(crate) mod replay_window;
pub(crate) mod trailing_minimum;

use crate::config::MembershipConfig;
use crate::datagram::{Datagram, Identity};
use crate::state::counters::Counters;
use crate::state::event::{MAX_PENDING_EVENTS, MembershipEvent};
use crate::state::member::{Member, MemberState};
use crate::state::own_sets::OwnSets;
use crate::state::probe::{IndirectProbe, PendingRequest, Probe, SlowestRoundTrip};
use crate::state::trailing_minimum::TrailingMinimum;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Capacity of the queue of outgoing datagrams. Further datagrams are counted and dropped, as if lost in transit.
const MAX_OUTGOING: usize = 1024;

/// A datagram to seal and send.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The datagram to send.
    pub datagram: Datagram,
}

/// A received payload for the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Instance id of the process that sent it.
    pub sender: u64,
    /// The payload bytes.
    pub payload: Vec<u8>,
}

/// A destination for datagrams: a member or a seed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contact {
    /// The instance id; 0 for a seed, whose id is unknown.
    pub instance_id: u64,
    pub address: SocketAddr,
}

/// The state machine of the membership protocol in one gateway process.
///
/// Times in the public interface are seconds on the caller's clock, which may be set back. Internal times are seconds
/// on a monotonic clock.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) started_at: f64,
    pub(crate) now: f64,
    /// Seconds by which the internal clock is ahead of the caller's clock, which may have been set back.
    pub(crate) clock_offset: f64,
    pub(crate) rng: Rand64,
    /// All other known processes, by instance id. Bounded by `member_capacity`.
    pub(crate) members: BTreeMap<u64, Member>,
    last_sequence: u64,
    pub(crate) last_request_id: u64,
    /// Bounded by [`MAX_OUTGOING`].
    pub(crate) outgoing: VecDeque<OutgoingDatagram>,
    /// Bounded by `MAX_PENDING_PAYLOADS`.
    pub(crate) payloads: VecDeque<ReceivedPayload>,
    /// Bounded by `MAX_PENDING_REQUESTS`.
    pub(crate) pending_requests: VecDeque<PendingRequest>,
    pub(crate) probe: Option<Probe>,
    /// Members that have not been probed yet in the current round.
    pub(crate) probe_round: Vec<u64>,
    /// Bounded by `MAX_INDIRECT_PROBES`.
    pub(crate) indirect_probes: VecDeque<IndirectProbe>,
    pub(crate) period_ends_at: f64,
    pub(crate) next_sync_at: f64,
    pub(crate) slowest_round_trip: SlowestRoundTrip,
    /// When a datagram from any other process was last accepted.
    pub(crate) last_received_at: f64,
    pub(crate) departing: bool,
    /// When another active process with this gateway's name was last detected.
    pub(crate) name_conflict_at: f64,
    /// Names used by two processes, and when each was last reported.
    pub(crate) reported_name_conflicts: BTreeMap<String, f64>,
    pub(crate) own_sets: OwnSets,
    /// When the endorsements must be refreshed next, even if nothing else changes.
    pub(crate) next_refresh_at: f64,
    /// Whether something that the endorsements depend on has changed since the last refresh.
    pub(crate) endorsements_outdated: bool,
    /// Fault injection for tests; see `ignore_listing_period`.
    pub(crate) ignores_listing_period: bool,
    pub(crate) trailing_minimum: TrailingMinimum,
    /// Bounded by `MAX_PENDING_EVENTS`.
    pub(crate) events: VecDeque<MembershipEvent>,
    pub(crate) counters: Counters,
}

impl Membership {
    /// Creates the state of a newly started process. The `instance_id` of `identity` must be random. `seeds` are the
    /// addresses of gateways to contact for discovery, and `seed` initializes the random number generator.
    #[must_use]
    pub fn new(
        identity: Identity,
        config: MembershipConfig,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: f64,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|address| *address != identity.address).collect();
        Self {
            config,
            identity,
            seeds,
            started_at: now,
            now,
            clock_offset: 0.0,
            rng: Rand64::new(u128::from(seed)),
            members: BTreeMap::new(),
            last_sequence: 0,
            last_request_id: 0,
            outgoing: VecDeque::new(),
            payloads: VecDeque::new(),
            pending_requests: VecDeque::new(),
            probe: None,
            probe_round: Vec::new(),
            indirect_probes: VecDeque::new(),
            period_ends_at: now + config.period,
            next_sync_at: now,
            slowest_round_trip: SlowestRoundTrip { round_trip: 0.0, received_at: now },
            last_received_at: f64::NEG_INFINITY,
            departing: false,
            name_conflict_at: f64::NEG_INFINITY,
            reported_name_conflicts: BTreeMap::new(),
            own_sets: OwnSets::default(),
            next_refresh_at: now,
            endorsements_outdated: true,
            ignores_listing_period: false,
            trailing_minimum: TrailingMinimum::new(config.budget_window, now),
            events: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Creates a datagram from this process with empty optional fields.
    pub(crate) fn new_datagram(&self, recipient: u64, kind: u8, request_id: u64) -> Datagram {
        Datagram::new(self.identity.clone(), recipient, kind, request_id)
    }

    /// Assigns the next sequence number to a datagram and queues it for sending.
    pub(crate) fn enqueue(&mut self, to: SocketAddr, mut datagram: Datagram) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.counters.unsent += 1;
            return;
        }
        self.last_sequence += 1;
        datagram.sequence = self.last_sequence;
        self.outgoing.push_back(OutgoingDatagram { to, datagram });
    }

    /// Selects up to `limit` random members among those that satisfy `accepts`, by a partial Fisher-Yates shuffle.
    pub(crate) fn sample_members(
        &mut self,
        limit: usize,
        accepts: impl Fn(u64, &Member) -> bool,
    ) -> Vec<Contact> {
        let accepted = self.members.iter().filter(|(id, member)| accepts(**id, member));
        let mut contacts: Vec<_> =
            accepted.map(|(id, member)| Contact { instance_id: *id, address: member.address }).collect();
        let limit = limit.min(contacts.len());
        for index in 0..limit {
            let other = index + self.rng.rand_range(0..(contacts.len() - index) as u64) as usize;
            contacts.swap(index, other);
        }
        contacts.truncate(limit);
        contacts
    }

    /// Address of a member; `None` if it is unknown or has announced its departure.
    pub(crate) fn address_of(&self, instance_id: u64) -> Option<SocketAddr> {
        let member = self.members.get(&instance_id)?;
        (member.state != MemberState::Left).then_some(member.address)
    }

    /// Queues an event for the caller, dropping the oldest one if the queue is full.
    pub(crate) fn record_event(&mut self, event: MembershipEvent) {
        if self.events.len() == MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The largest possible number of gateways: the highest `max_gateways` setting of any present gateway, or the
    /// number of present gateways if that is higher.
    pub(crate) fn max_gateways(&self) -> usize {
        let present = self.members.values().filter(|member| member.state.is_present());
        let stated = present.map(|member| member.max_gateways).fold(self.identity.max_gateways, u32::max);
        (stated as usize).max(self.present_name_count())
    }

    /// Number of distinct names of gateways believed present, including this one.
    pub(crate) fn present_name_count(&self) -> usize {
        self.count_names(|member| member.state.is_present())
    }

    /// Number of distinct names among this gateway and the members that satisfy `selects`.
    pub(crate) fn count_names(&self, selects: impl Fn(&Member) -> bool) -> usize {
        let selected = self.members.values().filter(|member| selects(member));
        let mut names: BTreeSet<&str> = selected.map(|member| member.name.as_str()).collect();
        names.insert(&self.identity.name);
        names.len()
    }
}
