//! Plays scenarios in simulated time: the dispatchers of gateways as they are, the emulator's models of workers and of the
//! store, and clients, under one clock and from one seed. There are no sockets: what takes a minute with processes takes a
//! second here, and the same seed gives the same history.
//!
//! [`play`] is the entry point. `simulation.rs` takes the next event from the queue and gives it to the module that
//! handles it: `clients.rs`, `gateways.rs` with `budget_links.rs`, `workers.rs`, `endpoint_list.rs` or `faults.rs`. Each module
//! owns its state; what all of them need (clock, queue, history, random numbers) is in `context.rs`.

mod budget_links;
mod clients;
mod clocks;
mod context;
mod endpoint_list;
mod event;
mod event_queue;
mod faults;
mod gateways;
mod registry_stall;
mod report;
mod simulation;
mod slow_start;
mod worker;
mod workers;

pub use clocks::{ClockStep, Machines, SimulationOptions};
pub use report::SimulationReport;
pub use simulation::{play, play_with_options};
pub use slow_start::{SlowStartReport, slow_start_report};
