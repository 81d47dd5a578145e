//! What is known of one other gateway process.

use crate::datagram::GossipUpdate;
use crate::state::replay_window::ReplayWindow;
use std::net::SocketAddr;

/// State of a member. The order decides between updates of one incarnation: the later state prevails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or nothing to the contrary was reported.
    Alive,
    /// It did not answer; it has some time to refute the suspicion.
    Suspect,
    /// The suspicion ran out.
    Dead,
    /// It announced its departure.
    Left,
}

impl MemberState {
    /// The state of a number on the wire; `None` for a number of a later version.
    pub(crate) fn from_wire(number: u8) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left].get(usize::from(number)).copied()
    }

    /// The state's number on the wire.
    pub(crate) fn to_wire(self) -> u8 {
        self as u8
    }

    /// Whether a member in this state counts as present.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Name of the state in operators' views.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// A member's own statement of whom it endorses and lists, as sums of hashes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedAssertion {
    /// Earliest time at which it can have been made, in seconds on the local clock.
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
    /// When it entered its state.
    pub state_since: f64,
    /// When a suspicion turns into death; infinite where it is not suspect.
    pub suspicion_ends_at: f64,
    /// How many more times the update about it is sent along with datagrams (gossip).
    pub transmissions_left: u32,
    /// When the last datagram came from itself.
    pub last_received_at: f64,
    pub replay_window: ReplayWindow,
    /// Its most recent assertion, received directly or through others.
    pub assertion: Option<TimedAssertion>,
    /// Largest number of gateways that its configuration allows for; 0 while unknown.
    pub max_gateways: u32,
    /// Since when it is on the local list without a break; infinite where it is not listed.
    pub listed_since: f64,
    /// Whether this gateway endorses it.
    pub endorsed: bool,
    /// When this gateway last endorsed it.
    pub last_endorsed_at: f64,
    /// When it was last informed of a false update about itself.
    pub last_notified_at: f64,
}

impl Member {
    /// A member that was just discovered, alive.
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

    /// Earliest time at which its last assertion can have been made; negative infinity where there is none.
    pub(crate) fn last_assertion_at(&self) -> f64 {
        self.assertion.map_or(f64::NEG_INFINITY, |assertion| assertion.issued_at)
    }

    /// Whether an update with this incarnation and state prevails over what is known.
    pub(crate) fn is_superseded_by(&self, incarnation: u32, state: MemberState) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// Enters a state in which it is not suspect; the change is passed on `transmissions` times.
    pub(crate) fn enter(&mut self, state: MemberState, now: f64, transmissions: u32) {
        (self.state, self.state_since) = (state, now);
        self.suspicion_ends_at = f64::INFINITY;
        self.transmissions_left = transmissions;
    }

    /// Becomes suspect until `ends_at`; the suspicion is passed on `transmissions` times.
    pub(crate) fn enter_suspicion(&mut self, now: f64, ends_at: f64, transmissions: u32) {
        self.enter(MemberState::Suspect, now, transmissions);
        self.suspicion_ends_at = ends_at;
    }

    /// What is known of it, to be passed on.
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
