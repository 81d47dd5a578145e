//! Membership of the gateways of one cluster: which processes there are, the state of each, and how old that knowledge
//! is. The package is a state machine without sockets, threads or clocks; it follows SWIM (Das, Gupta and Motivala,
//! "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with the suspicion
//! extension.
//!
//! [`Membership`] is given each received datagram and the current time, and yields the datagrams to send. Gateways find
//! each other through seeds, probe each other directly and through helpers, and suspect a silent gateway before they
//! declare it dead. A random instance id distinguishes a process from its predecessor under the same name.
//!
//! Two counts follow from this. [`Membership::likely_gateways`] is the number that is believed to be present. The upper
//! bound on the gateways that may use more than the floor of the shared budgets falls only by proof (`quorum/proof.rs`);
//! [`Membership::quota_fraction`] follows that bound.

pub mod datagram;

mod clock;
mod config;
mod failure_detection;
mod gossip;
mod protocol;
mod quorum;
mod quota;
mod reachability;
mod state;
mod view;

pub use config::{MAX_CLOCK_DRIFT, MembershipConfig};
pub use quota::QuotaFraction;
pub use reachability::Reachability;
pub use state::counters::Counters;
pub use state::event::MembershipEvent;
pub use state::member::MemberState;
pub use state::{Membership, OutgoingDatagram, ReceivedPayload};
pub use view::{MemberView, MembershipView};
