//! Runs scenarios in simulated time: the unmodified dispatchers of the gateways, the emulator's models of workers and of the
//! store, and clients, under a single clock and with a single seed. There are no sockets: a minute with processes takes a
//! second here, and the same seed always produces the same history.
//!
//! [`play`] is the entry point. `simulation.rs` takes the next event from the queue and passes it to the module that
//! handles it: `clients.rs`, `gateways.rs` with `budget_links.rs`, `workers.rs`, `endpoint_list.rs` or `faults.rs`. Each
//! module owns its state; shared state (clock, event queue, history, random numbers) is in `context.rs`.

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
