//! Scripted days in simulated time: the gateway's desks as they are, the stand-ins' models of workers and store, and
//! clients, under one clock and from one seed. No sockets: what takes a minute in processes takes a second here.

mod clients;
mod clocks;
mod cold;
mod links;
pub mod town;
mod workers;

pub use clocks::{ClockStep, Machines, Variation};
pub use cold::{Cold, cold};
pub use town::{Came, Look, Town, play, play_varied};
