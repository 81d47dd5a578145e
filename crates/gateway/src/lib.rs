//! The running router: it tells the decisions what happens and carries out what they decide.
//!
//! Two rooms. The [`desk`] knows of calls, shots, orders and workers, free of sockets and clocks; the shells around
//! it, one on each core, have connections. The cores enter the desk in turn (`office.rs`); the keeper deals out
//! connections, keeps time and watches the cores (`keeper.rs`). Reading down `serve.rs` shows the whole way of a
//! call on its core: door, desk, shot, answer.

pub mod control_client;
pub mod desk;
pub mod hollow;
pub mod indices;
pub mod roll;
pub mod signals;
pub mod wheel;

mod answer;
mod changing;
mod core;
mod errands;
mod follow;
mod gather;
mod inbox;
mod keeper;
mod line;
mod office;
mod paced;
mod peering;
mod pool;
mod ration;
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
