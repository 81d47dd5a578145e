//! Replicated log of configuration changes: a state machine without sockets, files, threads or clocks.
//!
//! One to seven control machines agree on the order of changes by Multi-Paxos (Lamport, "The Part-Time Parliament", ACM
//! TOCS 1998; "Paxos Made Simple", ACM SIGACT News 2001), and every gateway follows some of them.
//!
//! - A [`Replica`] is a control machine. It is given each received message and the current time, and yields the records
//!   to store and the messages to send. [`DurableReplica`] combines it with a log file that may fail.
//! - A [`Follower`] is the side of a gateway. It applies what at least two replicas report alike, in order, and knows how
//!   old its knowledge is; one faulty replica can neither mislead nor delay it.
//! - A [`message::Message`] is sealed with a key that all machines of the cluster share.
//! - A [`State`] holds the configuration in force: the latest entry under each key.
//!
//! All times are seconds of the caller's clock, as `f64`; it may start anywhere and may be stepped back.

pub mod entry;
pub mod message;

mod clock;
mod durable;
mod follower;
mod replica;
mod snapshot;
mod state;
mod timing;
mod view;

pub use durable::{
    DurableReplica, FlushOutput, LoadError, RewritePolicy, StorageError, StorageEvent, StoredLog,
};
pub use entry::{Change, Entry, LoggedEntry, MAX_KEY_BYTES, MAX_KEYS, MAX_TEXT_BYTES, MAX_TOTAL_BYTES};
pub use follower::{Follower, FollowerConfig};
pub use message::{Ballot, Message, Outcome, OutgoingMessage};
pub use replica::{Action, MAX_REPLICAS, Record, Replica, ReplicaConfig};
pub use state::State;
pub use timing::Timing;
pub use view::{Counters, FollowerStatus, FollowerView, ReplicaStatus, ReplicaView};
