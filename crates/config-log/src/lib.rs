//! Replicated log of configuration changes: a state machine without sockets, files, threads or clocks.
//!
//! One to seven replicas, each on a control machine, agree on the order of changes by Multi-Paxos (Lamport, "The Part-Time
//! Parliament", ACM TOCS 1998; "Paxos Made Simple", ACM SIGACT News 2001). Every gateway follows some of the replicas.
//!
//! - A [`Replica`] takes each received message and the current time, and yields the records to store and the messages to
//!   send. [`DurableReplica`] combines it with a log file and handles storage failures.
//! - A [`Follower`] runs in a gateway. It applies entries in order once two replicas report the same entry (one, if there
//!   is only one replica), and knows how old its state may be; a single faulty replica can neither mislead nor delay it.
//! - A [`message::Message`] is sent as a datagram that is authenticated with a key shared by the whole cluster.
//! - A [`State`] holds the current configuration: the latest entry for each key.
//!
//! All times are seconds of the caller's clock, as `f64`. That clock may have any origin and may be stepped back.

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
