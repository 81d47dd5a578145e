//! What a process takes from the operating system and both routers need: signals as futures, the wall clock, and
//! listening sockets with a long accept queue. It knows nothing of requests or workers.

pub mod listener;
pub mod signals;
pub mod wall_clock;
