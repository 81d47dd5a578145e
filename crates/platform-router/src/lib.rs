//! The router on the platform. One thread of sockets tells one [`Dispatcher`](milletpath_dispatcher::dispatcher::Desk) what happens
//! and carries out its acts; every routing decision is the desk's. Clients come in at `door.rs`, workers are reached
//! through `link.rs`, the list is followed in `bulletin.rs`. What else must be decided is free of I/O: `request_ids_seen.rs`,
//! `memory_budget.rs` (bytes in all buffers), `connection_limits.rs` (which connections to open and close), `shutdown.rs` (the times of
//! a graceful shutdown), `faults.rs` (what the error of a system call means), `backoff.rs` (pauses after it).
//! `sockets.rs` holds the system calls on connections to workers.

mod backoff;
mod client_connections;
mod connection_limits;
mod discovery_watch;
mod memory_budget;
mod platform_router;
mod request_ids_seen;
mod shutdown;
mod socket_errors;
mod sockets;
mod worker_connection;
mod write_buffer;

pub use platform_router::run;
