//! Changes of configuration as a replicated log, free of I/O: some control machines agree on the order of changes, and
//! each gateway follows some of them.
//!
//! A [`Replica`] is a control machine: Multi-Paxos among one to seven, told what came and when, it says what to store
//! and what to send. A [`Follower`] is a gateway's side: it takes what enough replicas tell alike, in order, and knows
//! how old its knowledge is. What passes is a [`message::Message`], sealed with the fleet's key; what is in force is a
//! [`State`]. [`DurableReplica`] puts a replica on a storage that may fail.

pub mod entry;
pub mod message;

mod acceptor;
mod clock;
mod collect;
mod durable;
mod follower;
mod learner;
mod log;
mod pending;
mod proposer;
mod replica;
mod serving;
mod sources;
mod state;
mod view;

pub use durable::{DurableReplica, LoadError, RewritePolicy, StorageError, StorageEvent, StoredLog};
pub use entry::{Change, Entry, LoggedEntry, MAX_KEY_BYTES, MAX_KEYS, MAX_TEXT_BYTES, MAX_TOTAL_BYTES};
pub use follower::Follower;
pub use message::{Ballot, Message, Outcome};
pub use replica::{Action, MAX_REPLICAS, Record, Replica, Timing};
pub use state::State;
pub use view::{Counters, FollowerStatus, FollowerView, ReplicaStatus, ReplicaView};
