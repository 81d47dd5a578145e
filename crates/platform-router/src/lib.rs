//! The router on the platform: one thread, which owns all sockets and one
//! [`Dispatcher`](milletpath_dispatcher::dispatcher::Dispatcher). Every routing decision is the dispatcher's; this
//! package notifies it of what happens on the sockets and carries out its actions.
//!
//! The modules, from what is decided without I/O to what waits for sockets:
//!
//! - `backoff`, `connection_limits`, `memory_budget`, `request_ids_seen`, `shutdown`, `socket_errors`: rules without
//!   I/O. They take times and sizes as arguments and are tested without sockets.
//! - `sockets`, `write_buffer`: the system calls on a connection, and the bytes on their way to it.
//! - `platform_router`: the state, `PlatformRouter`, with one type for a connection
//!   of a client, one for a connection to a worker, and one for what is kept of a request.
//! - `client_connections`, `worker_connections`: how the two kinds of connections are opened, read, written and closed.
//! - `actions`: carries out what the dispatcher decides.
//! - `discovery_watch`: follows the list of workers.
//! - `run`: starts all of it, and ends it upon SIGTERM.
//!
//! # The way of a request
//!
//! 1. `client_connections/read.rs` reads bytes and splits them into lines, `client_connections/validate.rs` checks each
//!    line, `client_connections/requests.rs` submits the call to the dispatcher.
//! 2. The dispatcher answers with `Action::SendAttempt`, which `actions.rs` passes to `worker_connections/send.rs`: it
//!    chooses a connection to the worker and queues the attempt there.
//! 3. `worker_connections/write.rs` writes queued frames. A frame is made in `worker_connections/frame.rs`, and only
//!    when the socket has taken the one before: until then the attempt can be cancelled without a trace.
//! 4. `worker_connections/read.rs` reads the worker's response and reports it to the dispatcher, which decides whether it
//!    is the final one.
//! 5. `client_connections/requests.rs` writes the final response to the client's connection.

mod actions;
mod backoff;
mod client_connections;
mod connection_limits;
mod discovery_feed;
mod discovery_watch;
mod list_report;
mod memory_budget;
mod platform_router;
mod request_ids_seen;
mod run;
mod shutdown;
mod socket_errors;
mod sockets;
mod worker_connections;
mod write_buffer;

pub use run::{StartError, run};
