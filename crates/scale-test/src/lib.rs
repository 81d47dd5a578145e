//! Scale test: hollow gateways, which run the real control code in many threads of a few processes, together with some
//! real `milletpath serve` processes that can't distinguish them. Regions and zones have latency between them. The run
//! executes a plan of plays in order and reports what was measured at the sockets and from the clocks of the threads.
//!
//! [`plan`] parses the plan, [`run`] executes it, and [`report`] holds the result. [`host`] is the process that hollow
//! gateways share, and [`relay`] forwards the datagrams between all participants.

pub mod applied_state;
pub mod budgets;
pub mod change_propagation;
pub mod children;
pub mod client_calls;
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
pub mod stop_reason;

mod child_message;
mod child_process;
mod control;
mod descriptor_limit;
mod emulated_workers;
mod fleet;
mod gateway_config;
mod hollow_workers;
mod reachable_gateways;
mod run_files;
