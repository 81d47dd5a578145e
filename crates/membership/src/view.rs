//! What a gateway knows of the others, in plain figures: for its own decisions, for the cores that share things with
//! others, and for operators.

use crate::datagram::OpenError;
use crate::member::MemberState;
use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Of how many gateways there are words that are fresh by proof, one's own among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// More than half of the most that there may be.
    Majority,
    #[serde(rename = "some")]
    Minority,
    #[serde(rename = "nothing")]
    Nobody,
}

/// What the decisions go by. Parts are multiples of what a gateway has that shares nothing: one in the most that there
/// may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Gateways that are likely to be there.
    pub likely_gateways: f64,
    /// One's part of what is shared, until that time; and from then on, unless told anew.
    pub fraction: f64,
    pub floor: f64,
    /// Seconds on the caller's clock.
    pub valid_until: f64,
}

/// One other gateway as it is seen from here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    pub name: String,
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Tells a process from its former self.
    #[serde(rename = "life")]
    pub instance_id: String,
    pub state: String,
    /// Seconds that it is in that state.
    #[serde(rename = "since")]
    pub seconds_in_state: f64,
    pub incarnation: u32,
    /// Seconds since its last word was said, at most; none where there is none.
    #[serde(rename = "age")]
    pub assertion_age: Option<f64>,
    /// Two processes go by this name.
    #[serde(rename = "twice")]
    pub duplicate_name: bool,
    /// The most gateways that its charter allows for; 0 where that is not known.
    #[serde(rename = "most")]
    pub max_gateways: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    pub name: String,
    #[serde(rename = "life")]
    pub instance_id: String,
    pub incarnation: u32,
    #[serde(rename = "hears")]
    pub reachability: Reachability,
    /// The most gateways that there may be, those likely to be there, and the most that may have standing.
    #[serde(rename = "most")]
    pub max_gateways: usize,
    #[serde(rename = "likely")]
    pub likely_gateways: f64,
    #[serde(rename = "highest")]
    pub max_with_quorum: usize,
    /// Seconds for which a majority backs this gateway; 0 for none.
    #[serde(rename = "stands")]
    pub quorum_seconds: f64,
    /// Its part of what is shared, as a multiple of one in the most.
    #[serde(rename = "part")]
    pub fraction: f64,
    pub members: Vec<MemberView>,
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub sent: u64,
    pub bytes: u64,
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Not taken, by reason.
    #[serde(rename = "sizes")]
    pub rejected_size: u64,
    #[serde(rename = "versions")]
    pub rejected_version: u64,
    #[serde(rename = "seals")]
    pub rejected_seal: u64,
    #[serde(rename = "bodies")]
    pub rejected_body: u64,
    #[serde(rename = "repeated")]
    pub replayed: u64,
    /// Meant for another life.
    #[serde(rename = "misled")]
    pub misaddressed: u64,
    /// One's own, come back.
    pub echoes: u64,
    /// Members that there was no room for.
    #[serde(rename = "crowded")]
    pub no_capacity: u64,
    /// Letters that would have been too large.
    pub unsent: u64,
    /// Probes, and those that nobody answered in time.
    pub probes: u64,
    #[serde(rename = "missed")]
    pub probes_unanswered: u64,
    /// Words against what was wrongly said of this gateway.
    #[serde(rename = "objections")]
    pub refutations: u64,
    /// Times at which this process found that it had stood still.
    #[serde(rename = "stood")]
    pub pauses: u64,
}

impl Counters {
    pub fn record_rejected(&mut self, why: OpenError) {
        *match why {
            OpenError::Size => &mut self.rejected_size,
            OpenError::Version(_) => &mut self.rejected_version,
            OpenError::Seal => &mut self.rejected_seal,
            OpenError::Body => &mut self.rejected_body,
        } += 1;
    }
}

/// What is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    Joined {
        name: String,
        address: SocketAddr,
    },
    Suspected {
        name: String,
    },
    Died {
        name: String,
    },
    Left {
        name: String,
    },
    /// It came back after it counted as dead.
    Returned {
        name: String,
    },
    /// Two processes go by one name.
    DuplicateName {
        name: String,
    },
    /// Another's charter allows for another number of gateways.
    MaxGatewaysMismatch {
        name: String,
        max_gateways: u32,
    },
    ProcessPaused {
        seconds: f64,
    },
}

/// Lines kept for whoever writes the log; older ones go.
const MAX_PENDING_EVENTS: usize = 256;

impl Membership {
    pub(crate) fn record_event(&mut self, event: MembershipEvent) {
        if self.events.len() == MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// What happened that is worth a line in the log.
    pub fn take_events(&mut self) -> VecDeque<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Names of which a word is fresh by proof; one's own among them.
    fn reachable_names(&self) -> usize {
        let reachable =
            self.members.values().filter(|m| self.now - m.last_assertion_at() < self.config.lease);
        let mut names: BTreeSet<&str> = reachable.map(|m| m.name.as_str()).collect();
        names.insert(&self.identity.name);
        names.len()
    }

    pub fn reachability(&self) -> Reachability {
        match self.reachable_names() {
            n if n > self.max_gateways() / 2 => Reachability::Majority,
            1 => Reachability::Nobody,
            _ => Reachability::Minority,
        }
    }

    /// Gateways likely to be there. Who hears nothing knows nothing: it goes by the most, as one that shares nothing.
    pub fn likely_gateways(&self) -> f64 {
        match self.reachability() {
            Reachability::Nobody => self.max_gateways() as f64,
            _ => self.present_names() as f64,
        }
    }

    /// What the decisions go by now. To be asked whenever time passed: a part rises only once it was that high for
    /// the length of the longest window that budgets are counted in.
    pub fn quota_fraction(&mut self, now: f64) -> QuotaFraction {
        self.advance_clock(now);
        let (now, proof) = (self.now, self.quorum_proof());
        let (max_gateways, own) = (self.max_gateways() as f64, f64::from(self.identity.max_gateways.max(1)));
        let floor = self.config.floor / max_gateways;
        let has_quorum = now < proof.quorum_until && !self.departing;
        let until = match has_quorum {
            true if now < proof.bound_until => proof.quorum_until.min(proof.bound_until),
            true => proof.quorum_until,
            false => f64::INFINITY,
        };
        let fraction =
            if has_quorum { floor + (1.0 - self.config.floor) / proof.max_with_quorum as f64 } else { floor };
        let fraction = self.trailing_minimum.update(now, fraction, floor, until);
        QuotaFraction {
            likely_gateways: self.likely_gateways(),
            fraction: fraction * own,
            floor: floor * own,
            valid_until: until - self.clock_offset,
        }
    }

    pub fn view(&mut self, now: f64) -> MembershipView {
        let quota = self.quota_fraction(now);
        let (proof, duplicates) = (self.quorum_proof(), self.duplicate_names());
        let now = self.now;
        let member_view = |(instance_id, m): (&u64, &crate::member::Member)| MemberView {
            name: m.name.clone(),
            address: m.address,
            instance_id: format!("{instance_id:016x}"),
            state: m.state.as_str().into(),
            seconds_in_state: now - m.state_since,
            incarnation: m.incarnation,
            assertion_age: m.assertion.map(|s| now - s.issued_at),
            duplicate_name: m.state.is_present() && duplicates.contains(&m.name),
            max_gateways: m.max_gateways,
        };
        let mut members: Vec<_> = self.members.iter().map(member_view).collect();
        members.sort_by(|a, b| (&a.name, &a.instance_id).cmp(&(&b.name, &b.instance_id)));
        MembershipView {
            name: self.identity.name.clone(),
            instance_id: format!("{:016x}", self.identity.instance_id),
            incarnation: self.identity.incarnation,
            reachability: self.reachability(),
            max_gateways: self.max_gateways(),
            likely_gateways: quota.likely_gateways,
            max_with_quorum: proof.max_with_quorum,
            quorum_seconds: (proof.quorum_until - now).clamp(0.0, self.config.lease),
            fraction: quota.fraction,
            members,
            counters: self.counters,
        }
    }

    /// This process's own number of chance.
    pub fn instance_id(&self) -> u64 {
        self.identity.instance_id
    }

    /// How a member of that life stands, for tests and for cores that build on this.
    pub fn state(&self, instance_id: u64) -> Option<MemberState> {
        self.members.get(&instance_id).map(|m| m.state)
    }

    /// Seconds since a member's last word was said, at most.
    pub fn assertion_age(&self, instance_id: u64) -> Option<f64> {
        self.members.get(&instance_id)?.assertion.map(|s| self.now - s.issued_at)
    }
}

/// The lowest that a value was within a window. Before the first it was at its floor.
#[derive(Clone, Debug)]
pub(crate) struct TrailingMinimum {
    window: f64,
    /// Figures from when on they held, growing from one to the next.
    minima: VecDeque<(f64, f64)>,
    /// Until when the last that came holds.
    until: f64,
}

impl TrailingMinimum {
    pub fn new(window: f64, began: f64) -> Self {
        // The floor stands at the beginning until the window has passed it.
        Self { window, minima: VecDeque::from([(began, 0.0)]), until: f64::INFINITY }
    }

    /// A value holds from now on until then; gives the lowest within the window. Whatever held before ran out when
    /// its time was over, whether anybody looked or not.
    pub fn update(&mut self, now: f64, value: f64, floor: f64, until: f64) -> f64 {
        if self.until < now {
            self.push(self.until, floor);
        }
        self.until = until;
        self.push(now, value);
        // The one before the window still held at its beginning.
        while self.minima.get(1).is_some_and(|(from, _)| *from <= now - self.window) {
            self.minima.pop_front();
        }
        self.minima.front().map_or(floor, |(_, lowest)| lowest.max(floor))
    }

    fn push(&mut self, from: f64, value: f64) {
        let mut from = from;
        // Those that are higher than what comes after them never count retry_at: it may stand in their place.
        while let Some(&(since, before)) = self.minima.back()
            && before > value
        {
            from = since;
            self.minima.pop_back();
        }
        if self.minima.back().is_none_or(|(_, before)| *before < value) {
            self.minima.push_back((from, value));
        }
    }
}
