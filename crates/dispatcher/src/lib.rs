//! The dispatcher: all that a router knows of requests, attempts, workers and timers around the routing decisions of
//! `milletpath-policy`. It is a state machine without sockets and without a clock: events and the time come in as
//! method calls, actions go out as values. The HTTP gateway, the platform router and the simulator each put their own
//! I/O around it.

pub mod dispatcher;
pub mod interner;
pub mod start_times;
pub mod timer_wheel;
pub mod worker_table;

mod load_rate_limit;
