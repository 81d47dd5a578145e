//! Scripted days in simulated time: the gateway's desks as they are, the stand-ins' models of workers and store, and
//! clients, under one clock and from one seed. No sockets: what takes a minute in processes takes a second here.

mod clients;
mod clocks;
mod links;
pub mod simulation;
mod slow_start;
mod workers;

pub use clocks::{ClockStep, Machines, Variation};
pub use simulation::{Look, Simulation, SimulationReport, play, play_varied};
pub use slow_start::{SlowStartReport, slow_start_report};
