//! The member table's record of another gateway process.

use crate::datagram::GossipUpdate;
use crate::state::replay_window::ReplayWindow;
use std::net::SocketAddr;

/// State of a member. Among updates of the same incarnation, the greater state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to probes, or has not been reported otherwise.
    Alive,
    /// Did not respond to a probe, and can still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced its departure.
    Left,
}

impl MemberState {
    /// Decodes a state number from the wire; `None` for a number defined by a later version.
    pub(crate) fn from_wire(number: u8) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left].get(usize::from(number)).copied()
    }

    /// The number that encodes the state on the wire.
    pub(crate) fn to_wire(self) -> u8 {
        self as u8
    }

    /// Whether a member in this state is considered present.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Name of the state in the operators' view.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// A member's assertion of which processes it endorses and lists, as sums of hashes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedAssertion {
    /// Earliest time at which the assertion can have been made, in seconds on the local clock.
    pub issued_at: f64,
    /// Sum of the hashes of the processes that it endorses.
    pub endorsed: u64,
    /// Sum of the hashes of the processes that it lists.
    pub listed: u64,
}

/// Another gateway process. All times are seconds on the local clock.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    pub first_known_at: f64,
    /// When it entered its current state.
    pub state_since: f64,
    /// When it is declared dead unless it refutes the suspicion; infinite if it is not suspect.
    pub suspicion_ends_at: f64,
    /// How many more times the update about it is piggybacked on datagrams.
    pub transmissions_left: u32,
    /// When the last datagram from it was received.
    pub last_received_at: f64,
    pub replay_window: ReplayWindow,
    /// Its most recent assertion, received directly or relayed.
    pub assertion: Option<TimedAssertion>,
    /// The `max_gateways` setting of its configuration; 0 while unknown.
    pub max_gateways: u32,
    /// Since when this gateway has listed it without interruption; infinite if it is not listed.
    pub listed_since: f64,
    /// Whether this gateway endorses it.
    pub endorsed: bool,
    /// When this gateway last stopped endorsing it.
    pub last_endorsed_at: f64,
    /// When it was last notified that it is not recorded as alive.
    pub last_notified_at: f64,
}

impl Member {
    /// Creates the record of a newly discovered member, in state alive.
    pub(crate) fn new(name: String, address: SocketAddr, incarnation: u32, now: f64) -> Self {
        Self {
            name,
            address,
            incarnation,
            state: MemberState::Alive,
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
            last_notified_at: f64::NEG_INFINITY,
        }
    }

    /// Earliest time at which its last assertion can have been made; negative infinity if there is none.
    pub(crate) fn last_assertion_at(&self) -> f64 {
        self.assertion.map_or(f64::NEG_INFINITY, |assertion| assertion.issued_at)
    }

    /// Whether an update with this incarnation and state supersedes the recorded one.
    pub(crate) fn is_superseded_by(&self, incarnation: u32, state: MemberState) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// Sets a state other than suspect; the change is gossiped `transmissions` times.
    pub(crate) fn enter(&mut self, state: MemberState, now: f64, transmissions: u32) {
        (self.state, self.state_since) = (state, now);
        self.suspicion_ends_at = f64::INFINITY;
        self.transmissions_left = transmissions;
    }

    /// Marks the member as suspect until `ends_at`; the suspicion is gossiped `transmissions` times.
    pub(crate) fn enter_suspicion(&mut self, now: f64, ends_at: f64, transmissions: u32) {
        self.enter(MemberState::Suspect, now, transmissions);
        self.suspicion_ends_at = ends_at;
    }

    /// Creates a gossip update with the recorded state.
    pub(crate) fn gossip_update(&self, instance_id: u64) -> GossipUpdate {
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
