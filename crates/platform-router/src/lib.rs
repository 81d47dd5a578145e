//! The platform router: a single thread that owns all sockets and one
//! [`Dispatcher`](milletpath_dispatcher::dispatcher::Dispatcher). The dispatcher makes every routing decision; this
//! package reports socket events to it and executes its actions.
//!
//! The modules, from those without I/O to those that wait for sockets:
//!
//! - `backoff`, `connection_limits`, `memory_budget`, `rejection_count`, `request_ids_seen`, `shutdown`,
//!   `socket_errors`, `turn`: rules without I/O. They take times and sizes as arguments and are tested without sockets.
//! - `sockets`, `write_buffer`: system calls on a connection, and buffered output.
//! - `pass_limit`: bounds the passes of a task before other tasks run.
//! - `platform_router`: the shared state, `PlatformRouter`, with types for a client connection, a worker connection
//!   and the data kept for a request.
//! - `client_connections`, `worker_connections`: opening, reading, writing and closing the two kinds of connections.
//! - `actions`: executes the dispatcher's actions.
//! - `discovery_feed`, `discovery_watch`: watch the list of workers.
//! - `event_loop_watch`: a thread that logs when the event loop does not get round.
//! - `list_report`: tracks what was logged about the state of that list.
//! - `run`: starts the router and shuts it down on SIGTERM.
//!
//! # Life of a request
//!
//! 1. `client_connections/read.rs` reads bytes and splits them into lines, `client_connections/validate.rs` validates
//!    each line, and `client_connections/requests.rs` submits the call to the dispatcher.
//! 2. The dispatcher returns `Action::SendAttempt`, which `actions.rs` passes to `worker_connections/send.rs`. That
//!    module chooses a connection to the worker and queues the attempt on it.
//! 3. `worker_connections/write.rs` writes queued frames. `worker_connections/frame.rs` encodes a frame only once the
//!    socket has accepted the previous one; until then the attempt can be cancelled without the worker noticing.
//! 4. `worker_connections/read.rs` reads the worker's response and reports it to the dispatcher, which decides
//!    whether it is the final one.
//! 5. `client_connections/requests.rs` writes the final response to the client connection.

mod abandoned_ids;
mod actions;
mod backoff;
mod client_connections;
mod connection_limits;
mod discovery_feed;
mod discovery_watch;
mod event_loop_watch;
mod list_report;
mod memory_budget;
mod pass_limit;
mod platform_router;
mod rejection_count;
mod request_ids_seen;
mod run;
mod shutdown;
mod socket_errors;
mod sockets;
mod turn;
mod worker_connections;
mod write_buffer;

pub use run::{StartError, run};
