//! The router on the platform. One thread of sockets tells one [`Dispatcher`](milletpath_dispatcher::dispatcher::Desk) what happens
//! and carries out its acts; every routing decision is the desk's. Clients come in at `door.rs`, workers are reached
//! through `link.rs`, the list is followed in `bulletin.rs`. What else must be decided is free of I/O: `numbers.rs`,
//! `room.rs` (bytes in all buffers), `keeping.rs` (which connections to open and close), `shutdown.rs` (the times of
//! a graceful shutdown).

mod bulletin;
mod door;
mod keeping;
mod link;
mod numbers;
mod outbox;
mod room;
mod shutdown;
mod station;

pub use station::run;
