//! The running router: it tells the decisions what happens and carries out what they decide.
//!
//! The dispatcher (`milletpath-dispatcher`) knows of requests, attempts, load requests and workers, free of sockets and
//! clocks; this package puts the HTTP connections around it, on each core. The cores share one dispatcher behind a lock
//! (`office.rs`); the supervisor hands out client connections, keeps time and watches the cores (`keeper.rs`). Reading
//! down `serve.rs` shows the whole way of a request on its core: accept, decode, dispatch, attempt, answer.

pub mod control_client;
pub mod hollow_gateway;
pub mod wall_clock;

mod answer;
pub mod budget_sharing;
mod config_follower;
mod control_thread;
mod core;
mod datagram_receiver;
mod errands;
mod follow;
mod gather;
mod header_timer;
mod io_fault;
mod key_file;
mod line;
mod membership_link;
mod paced;
mod pool;
mod process_clocks;
mod serve;
mod shared_runtime;
mod shell;
mod shot;
mod status_pages;
mod supervisor;

pub use config_follower::{ConfigFeed, ConfigStatus};
pub use control_thread::ControlThreadError;
pub use datagram_receiver::is_power_of_ten;
pub use key_file::{KeyFileError, read_control_key, read_fleet_key};
pub use membership_link::{
    InjectedFault, MembershipLink, MembershipQueryError, MembershipStatus, query_membership,
};
pub use process_clocks::thread_cpu_seconds;
pub use shared_runtime::FaultInjection;
pub use status_pages::StatusPages;
pub use supervisor::{Links, listen, serve, serve_with_faults};
