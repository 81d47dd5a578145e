//! A Multi-Paxos replica, which is proposer, acceptor and learner at once, as a state machine.
//!
//! `state` holds the data of a replica. Each other module with an `impl Replica` has one task: `protocol` dispatches
//! messages and timers, `heartbeats` exchanges progress, `election` and `proposing` are the proposer, `voting` is the
//! acceptor, `learning` and `catching_up` are the learner, `proposals` answers authors, `serving` answers followers,
//! `status` answers operators, and `durability` handles records and storage failures. The remaining modules are the data
//! structures that these use.

mod acceptor;
mod catch_up;
mod catching_up;
mod durability;
mod election;
mod followers;
mod heartbeats;
mod learner;
mod learning;
mod log;
mod peers;
mod pending;
mod proposals;
mod proposer;
mod proposing;
mod protocol;
mod record;
mod serving;
mod state;
mod status;
mod status_reports;
mod voting;

pub use record::{Action, Record};
pub use state::{MAX_REPLICAS, Replica, ReplicaConfig};
