//! Emulates on loopback what a gateway works with: workers, the store that they load from, the registry, clients, and the
//! links to other gateways; and injects faults into them.
//!
//! - [`worker_model`], [`store`] and [`traffic`] are models without I/O, which the simulator uses too.
//! - [`worker`], [`registry`], [`clients`], [`relay`] and [`gateway_process`] put them on sockets, and record what passes
//!   for the history checker.
//! - [`scenario_file`] reads a scenario's file, and [`scenario`] plays it.
//!
//! All times are seconds, as `f64`, by the clock of a [`context::EmulatorContext`] or of the simulation.

pub mod clients;
pub mod context;
pub mod corrupting_stream;
pub mod gateway_process;
pub mod registry;
pub mod relay;
pub mod scenario;
pub mod scenario_file;
pub mod small_fleet;
pub mod store;
pub mod traffic;
pub mod weighted_choice;
pub mod worker;
pub mod worker_model;
