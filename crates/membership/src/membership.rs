//! The core of what gateways know of each other: told what came and when, it says what to send. Probes are in
//! `probing.rs`, words about others in `gossip.rs`, the proof behind the count in `backing.rs`.

use crate::datagram::{Datagram, Identity, kind};
use crate::member::{Member, MemberState};
use crate::probing::{PendingRequest, Probe, ProbeTask};
use crate::quorum_proof::OwnSets;
use crate::view::{Counters, MembershipEvent, TrailingMinimum};
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The figures that a fleet goes by. All its gateways should have the same.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Seconds between two probes of a gateway.
    pub period: f64,
    /// Seconds for which a word counts as proof.
    pub lease: f64,
    /// Part of one in the most that a gateway keeps which hears no majority, 0 to 1.
    pub floor: f64,
    /// The longest window, in seconds, that budgets are counted in.
    pub budget_window: f64,
}

impl Default for MembershipConfig {
    /// Two and a half probes a second find a death within some seconds at some 2 kB/s; in three seconds words go round
    /// among dozens of gateways; who hears nobody keeps what it would have if it shared nothing.
    fn default() -> Self {
        Self { period: 0.4, lease: 3.0, floor: 1.0, budget_window: 10.0 }
    }
}

/// A letter on its way, to be sealed.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    pub to: SocketAddr,
    pub datagram: Datagram,
}

#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) started_at: f64,
    pub(crate) now: f64,
    /// What this clock is ahead of the caller's, which may have gone back.
    pub(crate) clock_offset: f64,
    pub(crate) rng: Rand64,
    /// All other processes that are known, by life.
    pub(crate) members: BTreeMap<u64, Member>,
    last_sequence: u64,
    pub(crate) last_request_id: u64,
    outgoing: VecDeque<OutgoingDatagram>,
    /// Notes that came, and from whom.
    payloads: VecDeque<(u64, Vec<u8>)>,
    /// Questions sent lately, by number.
    pub(crate) pending_requests: VecDeque<PendingRequest>,
    pub(crate) probe: Option<Probe>,
    /// Who is still to be probed in this round.
    pub(crate) probe_round: Vec<u64>,
    pub(crate) probe_tasks: VecDeque<ProbeTask>,
    pub(crate) period_ends_at: f64,
    pub(crate) next_sync_at: f64,
    /// The longest that an answer took lately, and when that was.
    pub(crate) slowest_answer: (f64, f64),
    /// When anything was last heard of anybody.
    pub(crate) last_received_at: f64,
    pub(crate) departing: bool,
    /// When another process was last heard under this name.
    pub(crate) name_conflict_at: f64,
    /// Names that two processes use, and when that was last told.
    pub(crate) reported_name_conflicts: BTreeMap<String, f64>,
    /// One's own sets, when they are to be looked at next, and whether something changed that they depend on.
    pub(crate) own_sets: OwnSets,
    pub(crate) next_review_at: f64,
    pub(crate) needs_review: bool,
    pub(crate) breaks_promises: bool,
    pub(crate) trailing_minimum: TrailingMinimum,
    pub(crate) events: VecDeque<MembershipEvent>,
    pub(crate) counters: Counters,
}

/// Letters that wait to be sent at most; what comes beyond is as if it were lost on the way.
const MAX_OUTGOING: usize = 1024;

/// Notes that wait to be read at most.
const MAX_PENDING_PAYLOADS: usize = 256;

impl Membership {
    /// `who` tells of this process: its `life` must be drawn by chance. `seeds` are places where others may be found.
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
            probe_tasks: VecDeque::new(),
            period_ends_at: now + config.period,
            next_sync_at: now,
            slowest_answer: (0.0, now),
            last_received_at: f64::NEG_INFINITY,
            departing: false,
            name_conflict_at: f64::NEG_INFINITY,
            reported_name_conflicts: BTreeMap::new(),
            own_sets: OwnSets::default(),
            next_review_at: now,
            needs_review: true,
            breaks_promises: false,
            trailing_minimum: TrailingMinimum::new(config.budget_window, now),
            events: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// What to send next.
    pub fn next_outgoing(&mut self) -> Option<OutgoingDatagram> {
        self.outgoing.pop_front()
    }

    /// The next note that came, and the life that it is from.
    pub fn next_payload(&mut self) -> Option<(u64, Vec<u8>)> {
        self.payloads.pop_front()
    }

    /// Sends a note to a process that is there; as if lost where it is not.
    pub fn send_payload(&mut self, instance_id: u64, note: Vec<u8>) {
        let Some(address) = self.address_of(instance_id) else { return };
        let mut datagram = self.new_datagram(instance_id, kind::PAYLOAD, 0);
        datagram.payload = Some(note);
        self.enqueue(address, datagram);
    }

    /// Processes of which there is a word that is fresh by proof: those to share things with.
    pub fn fresh_instances(&self) -> Vec<u64> {
        let heard_lately =
            |m: &Member| m.state.is_present() && self.now - m.last_assertion_at() < self.config.lease;
        self.members.iter().filter(|(_, m)| heard_lately(m)).map(|(instance_id, _)| *instance_id).collect()
    }

    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next_deadline(&self) -> f64 {
        let suspicion_ends_at =
            self.members.values().map(|m| m.suspicion_ends_at).fold(f64::INFINITY, f64::min);
        let again = self.probe.as_ref().map_or(f64::INFINITY, |p| p.retry_at);
        let next = [self.next_sync_at, self.next_review_at, again, suspicion_ends_at]
            .into_iter()
            .fold(self.period_ends_at, f64::min);
        if self.departing { f64::INFINITY } else { next - self.clock_offset }
    }

    /// Time has passed, as the caller's clock has it: back or far ahead too.
    pub(crate) fn advance_clock(&mut self, now: f64) {
        /// Periods without a turn after which this process stood still. It then gives others the time that it lacked
        /// itself.
        const PAUSE_PERIODS: f64 = 2.0;
        let ahead = now + self.clock_offset;
        if ahead < self.now {
            self.clock_offset = self.now - now;
        } else {
            let gap = ahead - self.now;
            self.now = ahead;
            if gap > PAUSE_PERIODS * self.config.period {
                self.record_pause(gap);
            }
        }
        self.review_endorsements();
    }

    fn record_pause(&mut self, gap: f64) {
        self.counters.pauses += 1;
        self.record_event(MembershipEvent::ProcessPaused { seconds: gap });
        self.members.values_mut().for_each(|m| m.suspicion_ends_at += gap);
        self.probe = None;
        self.period_ends_at = self.now + self.config.period;
        self.last_received_at += gap;
        self.next_sync_at = self.next_sync_at.max(self.now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.advance_clock(now);
        if !self.departing {
            self.run_probe();
            self.expire_suspicions();
            self.synchronize();
        }
        self.review_endorsements();
    }

    /// A letter came.
    pub fn receive(&mut self, now: f64, datagram: Datagram) {
        self.advance_clock(now);
        if datagram.sender.instance_id == self.identity.instance_id {
            self.counters.echoes += 1;
            return;
        }
        // Whatever is meant for a former process here was true of that one: its sender learns who is here now.
        if datagram.recipient != 0 && datagram.recipient != self.identity.instance_id {
            self.counters.misaddressed += 1;
            if datagram.kind != kind::ANNOUNCE {
                let announcement = self.new_datagram(datagram.sender.instance_id, kind::ANNOUNCE, 0);
                self.enqueue(datagram.sender.address, announcement);
            }
            return;
        }
        let known = self.members.get_mut(&datagram.sender.instance_id);
        if known.is_some_and(|m| !m.replay_window.accept(datagram.sequence)) {
            self.counters.replayed += 1;
            return;
        }
        self.counters.accepted += 1;
        self.last_received_at = self.now;
        if !self.record_sender(&datagram.sender, datagram.sequence) || self.departing {
            return;
        }
        let instance_id = datagram.sender.instance_id;
        let from_table = datagram.kind == kind::MEMBER_TABLE;
        datagram.updates.iter().for_each(|r| self.apply_update(r, from_table));
        let request_id = datagram.request_id;
        match datagram.kind {
            kind::PING => self.acknowledge(instance_id, request_id),
            kind::ACK => {
                self.handle_answer(instance_id, instance_id, &datagram);
                self.acknowledge_ack(instance_id, datagram.subject);
            }
            kind::FINAL_ACK => self.handle_answer(instance_id, instance_id, &datagram),
            kind::PING_REQUEST => self.probe_on_behalf(instance_id, request_id, datagram.subject),
            kind::INDIRECT_ACK => self.handle_answer(instance_id, datagram.subject, &datagram),
            kind::DIGEST => self.handle_digest(instance_id, request_id, datagram.digest),
            kind::DEPARTURE => self.record_departure(instance_id),
            kind::PAYLOAD if self.payloads.len() < MAX_PENDING_PAYLOADS => {
                self.payloads.extend(datagram.payload.map(|note| (instance_id, note)));
            }
            // Of a later version, or no more than who it is and rumours.
            _ => {}
        }
        self.correct_sender(instance_id);
        self.review_endorsements();
    }

    /// Goes: tells some of the others, and uses no more of what is shared from here on.
    pub fn announce_departure(&mut self, now: f64) {
        /// Told so many: the rest hears it from them.
        const NOTIFIED: usize = 8;
        self.advance_clock(now);
        (self.departing, self.needs_review) = (true, true);
        self.probe = None;
        for (instance_id, address) in self.sample_members(NOTIFIED, |_, m| m.state.is_present()) {
            let departure = self.new_datagram(instance_id, kind::DEPARTURE, 0);
            self.enqueue(address, departure);
        }
        self.review_endorsements();
    }

    pub(crate) fn new_datagram(&self, to: u64, kind: u8, request_id: u64) -> Datagram {
        Datagram::new(self.identity.clone(), to, kind, request_id)
    }

    /// Puts a letter into the post, with what rumours there are for its receiver.
    pub(crate) fn enqueue(&mut self, to: SocketAddr, mut datagram: Datagram) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.counters.unsent += 1;
            return;
        }
        self.last_sequence += 1;
        datagram.sequence = self.last_sequence;
        self.outgoing.push_back(OutgoingDatagram { to, datagram });
    }

    /// Some members by chance, at most so many.
    pub(crate) fn sample_members(
        &mut self,
        limit: usize,
        such: impl Fn(u64, &Member) -> bool,
    ) -> Vec<(u64, SocketAddr)> {
        let mut all: Vec<_> = self
            .members
            .iter()
            .filter(|(instance_id, m)| such(**instance_id, m))
            .map(|(instance_id, m)| (*instance_id, m.address))
            .collect();
        let limit = limit.min(all.len());
        for n in 0..limit {
            let other = n + self.rng.rand_range(0..(all.len() - n) as u64) as usize;
            all.swap(n, other);
        }
        all.truncate(limit);
        all
    }

    /// The member that stands for a life, where it is there.
    pub(crate) fn address_of(&self, instance_id: u64) -> Option<SocketAddr> {
        self.members.get(&instance_id).filter(|m| m.state != MemberState::Left).map(|m| m.address)
    }
}
