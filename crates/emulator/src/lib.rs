//! Emulates, on the loopback interface, everything that a gateway talks to: workers, the store from which they load
//! functions, the registry, clients, and the links to other gateways. Faults can be injected into each of them.
//!
//! - [`worker_model`], [`store`] and [`traffic`] are models without I/O; the simulator uses them too.
//! - [`worker`], [`registry`], [`clients`], [`relay`] and [`gateway_process`] run on real sockets and processes; what
//!   passes through them is recorded for the history checker.
//! - [`scenario_file`] reads scenario files, and [`scenario`] runs them.
//!
//! All times are in seconds, as `f64`, on the clock of a [`context::EmulatorContext`] or of the simulation.

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
