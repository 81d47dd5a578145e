//! Which gateways there are, what was heard of each, and how old that is: a core without sockets and clocks.
//!
//! [`Peers`] is told what came and at which time, and says what to send. Members are found by seeds, watched by probes
//! straight and through others, suspected before they count as dead, and told apart from their former selves by a
//! number of chance. What passes is a [`letter::Letter`], sealed with the fleet's key.
//!
//! Beside who is there it gives two counts. The likeliest is who is believed to be there. The highest that may be true
//! comes down only by proof (`backing.rs`): what bounds harm goes by that one.

pub mod letter;

mod backing;
mod gossip;
mod member;
mod peers;
mod probing;
mod view;

pub use backing::DRIFT;
pub use member::State;
pub use peers::{Peers, Terms};
pub use view::{Event, Hears, Parts, Seen, Tally, View};
