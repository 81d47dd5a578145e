//! What a whole fleet of gateways shares: budgets, in allotments whose sum never exceeds them. A core without sockets and
//! clocks.
//!
//! Each gateway owns a part, by the count that `milletpath-membership` proves. It lends what it does not need to who asks
//! ([`account`]), and asks where it lacks something ([`Shares`]). Nothing that is lost, late, repeated or silent lets all
//! together use more than there is.

pub mod account;

mod counts;
mod need;
mod note;
mod shares;
mod stairs;

pub use account::{Form, Right};
pub use shares::{Faults, Meter, More, Seen, Shares, Tally};
