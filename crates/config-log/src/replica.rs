//! A control machine as a state machine: a Multi-Paxos replica that is proposer, acceptor and learner at once.
//!
//! `state` holds the data; the other modules with `impl Replica` hold one task each: `protocol` dispatches messages and
//! timers, `heartbeats` exchanges progress, `election` and `proposing` are the proposer, `voting` is the acceptor,
//! `learning` and `catching_up` are the learner, `proposals` answers authors, `serving` answers followers, `status`
//! answers operators, and `durability` handles what must be stored.

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
