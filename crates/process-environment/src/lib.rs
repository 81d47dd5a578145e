//! Operating system facilities that both routers use: signals as futures, the wall clock, listening sockets with a long
//! accept queue, and whether the peer of a connection is still there. This crate does not depend on requests or workers.

pub mod listener;
pub mod peer_presence;
pub mod signals;
pub mod wall_clock;
