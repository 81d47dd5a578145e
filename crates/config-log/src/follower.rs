//! The side of a gateway as a state machine: it polls some replicas, and applies what enough of them report alike.
//!
//! `state` holds the data; `protocol` dispatches messages and timers, `applying` applies and checks entries,
//! `snapshot_fetch` obtains what is far behind, and `saved_state` keeps the state across restarts. `sources` holds what
//! each replica reported, `agreement` decides what enough of them report alike.

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
