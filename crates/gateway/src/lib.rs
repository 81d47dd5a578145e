//! The running router: it tells the decisions what happens and carries out what they decide.
//!
//! The dispatcher (`milletpath-dispatcher`) knows of requests, attempts, load requests and workers, free of sockets and
//! clocks; this package puts the HTTP connections around it, on each core. The cores share one dispatcher behind a lock
//! (`office.rs`); the supervisor hands out client connections, keeps time and watches the cores (`keeper.rs`). Reading
//! down `serve.rs` shows the whole way of a request on its core: accept, decode, dispatch, attempt, answer.

pub mod control_client;
pub mod hollow;

mod attempt;
mod body_buffer;
mod changing;
mod connection_pool;
mod core_context;
mod core_thread;
mod datagram_receiver;
mod endpoint_watch;
mod header_timer;
mod http_service;
mod io_fault;
mod message_handler;
mod peering;
mod response;
mod response_channel;
mod shared_runtime;
pub mod sharing;
mod supervisor;
mod telling;
mod write_timeout;

pub use changing::{Feed, Followed, control_key};
pub use datagram_receiver::is_power_of_ten;
pub use peering::{Link, Plant, Told, ask, key_of};
pub use shared_runtime::FaultInjection;
pub use supervisor::{Links, serve, serve_with_faults};
pub use telling::{Telling, cpu};
