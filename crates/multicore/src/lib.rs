//! What the cores of one gateway share, free of sockets and clocks.
//!
//! The hand-over structures: a [`mailbox::Mailbox`] for each core, [`budget::Budget`]s for all together, a
//! [`response_claim::ResponseClaim`] on each answer, a [`heartbeat::Pulse`] by which others see that a core runs. They are checked in all
//! interleavings by loom (`tests/interleavings.rs`) and against sequential models (`tests/models.rs`).
//!
//! The decisions that are not the module's, as they are about cores and not about workers: [`connection_balancer`], which core gets
//! a connection; [`watchdog`], which core stands still, and what is done about it.

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
