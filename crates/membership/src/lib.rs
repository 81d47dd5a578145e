//! Cluster membership of gateways: which processes exist, the state of each, and how recent that information is. The
//! crate is a state machine without I/O, threads or access to a clock. It implements SWIM (Das, Gupta and Motivala,
//! "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with the suspicion
//! extension.
//!
//! The caller passes each received datagram and the current time to [`Membership`], and takes from it the datagrams to
//! send. Gateways discover each other through seeds, probe each other directly and indirectly, and suspect an
//! unresponsive gateway before they declare it dead. A random instance id distinguishes a process from an earlier
//! process of the same name.
//!
//! Two numbers are derived from the membership. [`Membership::likely_gateways`] is the number of gateways believed to
//! be present. The upper bound on the number of gateways that may use more than the floor of the shared budgets is
//! lowered only by a quorum proof (`quorum/proof.rs`); [`Membership::quota_fraction`] is computed from that bound.

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
