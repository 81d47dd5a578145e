//! The dispatcher of a router: a state machine that tracks requests, attempts, workers and timers, and applies the
//! routing decisions of `milletpath-policy`. It does no I/O and reads no clock: events and the current time come in
//! as method calls, and actions are returned as values. The HTTP gateway, the platform router and the simulator each
//! run it with their own I/O.
//!
//! [`dispatcher::Dispatcher`] is the whole interface; [`timer_wheel::TimerWheel`] is public only for its benchmark.

pub mod dispatcher;
pub mod timer_wheel;

mod interner;
mod load_rate_limit;
mod start_times;
mod worker_table;
