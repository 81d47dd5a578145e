//! Operating system facilities that both routers use: signals as futures, the wall clock, and listening sockets with a
//! long accept queue. This crate does not depend on requests or workers.

pub mod listener;
pub mod signals;
pub mod wall_clock;
