//! Which gateways there are, what was heard of each, and how old that is: a core without sockets and clocks.
//!
//! [`Peers`] is told what came and at which time, and says what to send. Members are found by seeds, watched by probes
//! straight and through others, suspected before they count as dead, and told apart from their former selves by a
//! number of chance. What passes is a [`letter::Letter`], sealed with the fleet's key.
//!
//! Beside who is there it gives two counts. The likeliest is who is believed to be there. The highest that may be true
//! comes down only by proof (`backing.rs`): what bounds harm goes by that one.

pub mod datagram;

mod gossip;
mod member;
mod membership;
mod probing;
mod quorum_proof;
mod view;

pub use member::MemberState;
pub use membership::{Membership, MembershipConfig};
pub use quorum_proof::MAX_CLOCK_DRIFT;
pub use view::{Counters, MemberView, MembershipEvent, MembershipView, QuotaFraction, Reachability};
