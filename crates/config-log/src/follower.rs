//! The follower in a gateway as a state machine: it polls some replicas and applies the entries that enough of them report
//! identically.
//!
//! `state` holds the data; `protocol` dispatches messages and timers, `applying` applies and checks entries,
//! `snapshot_fetch` catches up from a snapshot, and `saved_state` encodes the state that is kept across restarts.
//! `sources` holds what each replica (`source`) reported, and `agreement` finds the reports that enough replicas share.

mod agreement;
mod applying;
mod protocol;
mod saved_state;
mod snapshot_fetch;
mod source;
mod sources;
mod state;
mod status;

pub use state::{Follower, FollowerConfig};
