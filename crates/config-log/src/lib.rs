//! Changes of configuration as a replicated log, free of I/O: some control machines agree on the order of changes, and
//! each gateway follows some of them.
//!
//! A [`Replica`] is a control machine: Multi-Paxos among one to seven, told what came and when, it says what to store
//! and what to send. A [`Follower`] is a gateway's side: it takes what enough replicas tell alike, in order, and knows
//! how old its knowledge is. What passes is a [`message::Message`], sealed with the fleet's key; what is in force is a
//! [`State`].

pub mod entry;
pub mod message;

mod acceptor;
mod clock;
mod collect;
mod follower;
mod learner;
mod log;
mod proposer;
mod replica;
mod serving;
mod sources;
mod state;
mod view;

pub use entry::{Change, Entry, KEY, KEYS, Logged, TEXT, TEXTS};
pub use follower::Follower;
pub use message::{Ballot, Message, Outcome};
pub use replica::{Act, REPLICAS, Record, Replica, Terms};
pub use state::State;
pub use view::{Followed, FollowerView, ReplicaView, Seen, Tally};
