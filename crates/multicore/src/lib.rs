//! Coordination between the cores (threads) of one gateway, without sockets or clocks.
//!
//! Shared structures, correct under any interleaving: a [`mailbox::Mailbox`] per core, a [`budget::Budget`] per
//! resource that the cores share, a [`response_claim::ResponseClaim`] per client connection, and a
//! [`heartbeat::Heartbeat`] per core, by which other threads detect whether it runs. `tests/interleavings.rs` checks
//! them under all interleavings with loom, `tests/models.rs` against sequential models.
//!
//! Decisions about cores, which share no state between threads: [`connection_balancer`] chooses the core for a client
//! connection; [`watchdog`] detects a stalled core and decides what to do about it. The gateway's supervisor carries
//! out these decisions.

pub mod budget;
pub mod connection_balancer;
pub mod heartbeat;
pub mod mailbox;
pub mod response_claim;
pub mod watchdog;

/// Loom's types if the `loom` feature is enabled, the standard library's otherwise.
mod sync {
    #[cfg(feature = "loom")]
    pub use loom::sync::{Mutex, MutexGuard, atomic};
    #[cfg(not(feature = "loom"))]
    pub use std::sync::{Mutex, MutexGuard, atomic};
}
