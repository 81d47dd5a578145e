//! The gateway: HTTP sockets, threads and timers around the dispatcher of `milletpath-dispatcher`, which chooses the
//! worker for each request. `server.rs` accepts client connections and assigns them to cores, which share one
//! dispatcher behind a lock (`shared_runtime.rs`). `supervisor.rs` runs the dispatcher's timers and monitors the cores.
//!
//! A request passes through these files in order: `server.rs` (accept), `core_thread.rs` and `message_handler.rs` (its
//! core), `client_connection.rs` (HTTP/1.1), `http_service.rs` with `request_reader.rs` (head and body),
//! `shared_runtime.rs` with `action_router.rs` (dispatch), `attempt.rs` with `worker_exchange.rs` and
//! `connection_pool.rs` (worker), and back through `open_requests.rs`, `http_service.rs` and `response_channel.rs`
//! (response).

pub mod budget_sharing;
pub mod control_client;
pub mod hollow_gateway;

mod action_router;
mod attempt;
mod body_buffer;
mod client_connection;
mod config_follower;
mod connection_limit;
mod connection_pool;
mod control_thread;
mod core_context;
mod core_message;
mod core_slot;
mod core_thread;
mod datagram_receiver;
mod endpoint_watch;
mod header_timer;
mod http_service;
mod io_fault;
mod key_file;
mod membership_link;
mod message_handler;
mod open_requests;
mod process_clocks;
mod request_error;
mod request_reader;
mod response;
mod response_channel;
mod response_guard;
mod server;
mod shared_runtime;
mod stalled_core;
mod status_pages;
mod supervisor;
mod worker_commands;
mod worker_exchange;
mod worker_response;
mod write_permit;
mod write_timeout;

pub use config_follower::{ConfigFeed, ConfigStatus};
pub use control_thread::ControlThreadError;
pub use core_message::{FaultInjection, RequestKind};
pub use datagram_receiver::is_power_of_ten;
pub use key_file::{KeyFileError, read_control_key, read_fleet_key};
pub use membership_link::{
    InjectedFault, MembershipLink, MembershipQueryError, MembershipStatus, query_membership,
};
pub use process_clocks::thread_cpu_seconds;
pub use server::{Links, serve, serve_with_faults};
pub use status_pages::StatusPages;
