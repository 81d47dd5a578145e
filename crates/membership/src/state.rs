//! The state of the membership protocol and the operations that all of its parts share: the queue of outgoing
//! datagrams, random choice among members, and the population counts. The rules of the protocol are in `gossip`,
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

/// Datagrams waiting to be sent; those beyond are dropped and counted, as if lost in transit.
const MAX_OUTGOING: usize = 1024;

/// A datagram to be sealed and sent.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// What to send.
    pub datagram: Datagram,
}

/// A payload for the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Instance id of the process that sent it.
    pub sender: u64,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// A member to send to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contact {
    /// Its instance id; 0 for a seed whose id is unknown.
    pub instance_id: u64,
    pub address: SocketAddr,
}

/// The membership protocol as one gateway process runs it.
///
/// Times are seconds on the caller's clock, which may be set back; internally they are seconds on a clock that never
/// goes back.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) started_at: f64,
    pub(crate) now: f64,
    /// Seconds by which the internal clock is ahead of the caller's, which may have been set back.
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
    /// Members that are still to be probed in this round.
    pub(crate) probe_round: Vec<u64>,
    /// Bounded by `MAX_INDIRECT_PROBES`.
    pub(crate) indirect_probes: VecDeque<IndirectProbe>,
    pub(crate) period_ends_at: f64,
    pub(crate) next_sync_at: f64,
    pub(crate) slowest_round_trip: SlowestRoundTrip,
    /// When any datagram of another process was last accepted.
    pub(crate) last_received_at: f64,
    pub(crate) departing: bool,
    /// When another process was last active under this name.
    pub(crate) name_conflict_at: f64,
    /// Names that two processes use, and when that was last reported.
    pub(crate) reported_name_conflicts: BTreeMap<String, f64>,
    pub(crate) own_sets: OwnSets,
    /// When the endorsements are to be reviewed next.
    pub(crate) next_refresh_at: f64,
    /// Whether something changed that the endorsements depend on.
    pub(crate) endorsements_outdated: bool,
    /// Fault injection for tests.
    pub(crate) ignores_listing_period: bool,
    pub(crate) trailing_minimum: TrailingMinimum,
    /// Bounded by `MAX_PENDING_EVENTS`.
    pub(crate) events: VecDeque<MembershipEvent>,
    pub(crate) counters: Counters,
}

impl Membership {
    /// A process that has just started. The `instance_id` of `identity` must be random; `seeds` are addresses at which
    /// other gateways may be found; `seed` is that of the protocol's random choices.
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

    /// A datagram from this process without optional fields.
    pub(crate) fn new_datagram(&self, recipient: u64, kind: u8, request_id: u64) -> Datagram {
        Datagram::new(self.identity.clone(), recipient, kind, request_id)
    }

    /// Numbers a datagram and queues it for sending.
    pub(crate) fn enqueue(&mut self, to: SocketAddr, mut datagram: Datagram) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.counters.unsent += 1;
            return;
        }
        self.last_sequence += 1;
        datagram.sequence = self.last_sequence;
        self.outgoing.push_back(OutgoingDatagram { to, datagram });
    }

    /// Up to `limit` random members of those that `accepts` selects, by a partial Fisher-Yates shuffle.
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

    /// Address of a member that has not announced its departure.
    pub(crate) fn address_of(&self, instance_id: u64) -> Option<SocketAddr> {
        let member = self.members.get(&instance_id)?;
        (member.state != MemberState::Left).then_some(member.address)
    }

    /// Keeps an event for the caller; the oldest one is dropped where there are too many.
    pub(crate) fn record_event(&mut self, event: MembershipEvent) {
        if self.events.len() == MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The largest number of gateways that there may be: the largest that any present gateway's configuration states,
    /// or the number of present gateways where that is larger.
    pub(crate) fn max_gateways(&self) -> usize {
        let present = self.members.values().filter(|member| member.state.is_present());
        let stated = present.map(|member| member.max_gateways).fold(self.identity.max_gateways, u32::max);
        (stated as usize).max(self.present_name_count())
    }

    /// Number of names under which a gateway is believed present, this one among them.
    pub(crate) fn present_name_count(&self) -> usize {
        self.count_names(|member| member.state.is_present())
    }

    /// Number of distinct names of the selected members and of this gateway.
    pub(crate) fn count_names(&self, selects: impl Fn(&Member) -> bool) -> usize {
        let selected = self.members.values().filter(|member| selects(member));
        let mut names: BTreeSet<&str> = selected.map(|member| member.name.as_str()).collect();
        names.insert(&self.identity.name);
        names.len()
    }
}
