//! One other gateway process as it is seen from here, and the order among what is said of it.

use crate::datagram::GossipUpdate;
use std::net::SocketAddr;

/// How a member stands. The order is that in which words of one incarnation prevail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    /// It did not answer; it has some time to object.
    Suspect,
    Dead,
    /// It said itself that it goes.
    Left,
}

impl MemberState {
    pub fn from_wire(request_id: u8) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left].get(usize::from(request_id)).copied()
    }

    pub fn to_wire(self) -> u8 {
        self as u8
    }

    /// Whether it is counted as there.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Serial numbers that came from one life: none is taken twice, and none so old that this can't be told.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit n: `highest - n` came.
    received: u128,
}

impl ReplayWindow {
    /// Whether a letter of that number may be taken; from then on it may not.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let by = sequence - self.highest;
            self.received = if by < 128 { self.received << by | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let back = self.highest - sequence;
        let bit = 1u128.checked_shl(u32::try_from(back).unwrap_or(u32::MAX)).unwrap_or(0);
        let new = bit != 0 && self.received & bit == 0;
        self.received |= bit;
        new
    }
}

/// What it said of whom it backs and lists, as sums, and when it said so at the earliest.
#[derive(Clone, Copy, Debug)]
pub struct TimedAssertion {
    pub issued_at: f64,
    pub endorsed: u64,
    pub listed: u64,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    /// When it was first heard of.
    pub first_known_at: f64,
    /// Since when it is in that state.
    pub state_since: f64,
    /// When a suspicion becomes death.
    pub suspicion_ends_at: f64,
    /// How often what is known of it is still to be passed on.
    pub transmissions_left: u32,
    /// The last letter that came straight from it, and their numbers.
    pub last_received_at: f64,
    pub replay_window: ReplayWindow,
    pub assertion: Option<TimedAssertion>,
    /// The most gateways that its charter allows for; 0 where that is not known yet.
    pub max_gateways: u32,
    /// Since when it is listed here without a break; endless where it is not.
    pub listed_since: f64,
    /// It is backed here, or when it last was.
    pub endorsed: bool,
    pub last_endorsed_at: f64,
    /// When it was last told what is wrongly said of it.
    pub last_corrected_at: f64,
}

impl Member {
    pub fn new(name: String, address: SocketAddr, incarnation: u32, state: MemberState, now: f64) -> Self {
        Self {
            name,
            address,
            incarnation,
            state,
            first_known_at: now,
            state_since: now,
            suspicion_ends_at: f64::INFINITY,
            transmissions_left: 0,
            last_received_at: f64::NEG_INFINITY,
            replay_window: ReplayWindow::default(),
            assertion: None,
            max_gateways: 0,
            listed_since: f64::INFINITY,
            endorsed: false,
            last_endorsed_at: f64::NEG_INFINITY,
            last_corrected_at: f64::NEG_INFINITY,
        }
    }

    /// The last word of it, straight or passed on: when it was said at the earliest.
    pub fn last_assertion_at(&self) -> f64 {
        self.assertion.map_or(f64::NEG_INFINITY, |s| s.issued_at)
    }

    /// Whether a word of that kind prevails over what is known.
    pub fn is_superseded_by(&self, incarnation: u32, state: MemberState) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    pub fn gossip_update(&self, instance_id: u64) -> GossipUpdate {
        let present = self.state.is_present();
        GossipUpdate {
            instance_id,
            state: self.state.to_wire(),
            incarnation: self.incarnation,
            name: present.then(|| self.name.clone()),
            address: present.then_some(self.address),
        }
    }
}

#[cfg(test)]
mod tests;
