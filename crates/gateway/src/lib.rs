//! The running router: it tells the decisions what happens and carries out what they decide.
//!
//! The dispatcher (`milletpath-dispatcher`) knows of requests, attempts, load requests and workers, free of sockets and
//! clocks; this package puts the HTTP connections around it, on each core. The cores share one dispatcher behind a lock
//! (`office.rs`); the supervisor hands out client connections, keeps time and watches the cores (`keeper.rs`). Reading
//! down `serve.rs` shows the whole way of a request on its core: accept, decode, dispatch, attempt, answer.

pub mod control_client;
pub mod hollow;
pub mod wall_clock;

mod answer;
mod changing;
mod core;
mod errands;
mod follow;
mod gather;
mod header_timer;
mod inbox;
mod io_fault;
mod keeper;
mod line;
mod office;
mod paced;
mod peering;
mod pool;
mod serve;
pub mod sharing;
mod shell;
mod shot;
mod telling;

pub use changing::{Feed, Followed, control_key};
pub use inbox::tenfold;
pub use keeper::{Links, listen, serve, serve_stirred};
pub use office::Stir;
pub use peering::{Link, Plant, Told, ask, key_of};
pub use telling::{Telling, cpu};
