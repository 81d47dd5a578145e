//! The running router: it tells the decisions what happens and carries out what they decide.
//!
//! Two rooms. The [`desk`] knows of calls, shots, orders and workers, free of sockets and clocks; the shell around
//! it ([`serve`], [`shot`], [`pool`], [`follow`]) has connections. Reading down `serve.rs` shows the whole way of a
//! call: accept, door, desk, shot, answer.

pub mod desk;
pub mod indices;
pub mod roll;
pub mod wheel;

mod follow;
mod gather;
mod paced;
mod pool;
mod serve;
mod shell;
mod shot;

pub use serve::{listen, serve};
