//! What the cores (threads) of one gateway share, free of sockets and clocks.
//!
//! Shared structures, safe under any interleaving: a [`mailbox::Mailbox`] for each core, a [`budget::Budget`] for each
//! resource that all cores use, a [`response_claim::ResponseClaim`] for each client connection, and a
//! [`heartbeat::Heartbeat`] by which others see that a core runs. `tests/interleavings.rs` checks them in all
//! interleavings with loom, `tests/models.rs` against sequential models.
//!
//! Decisions about cores, which have no state in common: [`connection_balancer`] chooses the core for a client connection;
//! [`watchdog`] detects a stalled core and chooses what to do about it. The gateway's supervisor carries them out.

pub mod budget;
pub mod connection_balancer;
pub mod heartbeat;
pub mod mailbox;
pub mod response_claim;
pub mod watchdog;

/// Loom's types in its test, the standard library's everywhere else.
mod sync {
    #[cfg(feature = "loom")]
    pub use loom::sync::{Mutex, MutexGuard, atomic};
    #[cfg(not(feature = "loom"))]
    pub use std::sync::{Mutex, MutexGuard, atomic};
}
