//! The scale run: hollow gateways, which are the real cores in many threads of a few processes, beside some
//! real `milletpath serve` processes that cannot tell them apart; regions and zones with latencies between
//! them; plays in order; a report by what passed on the sockets and by the threads' own clocks.
//!
//! [`plan`] reads what is asked for, [`run`] plays it, [`report`] says what it came to. [`host`] is the
//! process that hollow gateways share, [`relay`] the links between all.

pub mod applied_state;
pub mod budgets;
pub mod change_propagation;
pub mod children;
pub mod distribution;
pub mod host;
pub mod host_protocol;
pub mod machine_load;
pub mod membership_tracker;
pub mod plan;
pub mod proposal;
pub mod relay;
pub mod report;
pub mod run;

mod control;
mod emulated_workers;
mod fleet;
mod gateway_config;
