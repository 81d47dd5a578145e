//! The dispatcher: all that a router knows of requests, attempts, workers and timers around the routing decisions of
//! `milletpath-policy`. It is a state machine without sockets and without a clock: events and the time come in as
//! method calls, actions go out as values. The HTTP gateway, the platform router and the simulator each put their own
//! I/O around it.
//!
//! [`dispatcher::Dispatcher`] is the whole interface; [`timer_wheel::TimerWheel`] is public for its benchmark.

pub mod dispatcher;
pub mod timer_wheel;

mod interner;
mod load_rate_limit;
mod start_times;
mod worker_table;
