//! Reads a configuration file, with one module for each part of it. The range and the default of a setting are specified
//! where it is read. The defaults suit one gateway with a handful of workers.

mod address;
mod bounds;
mod clients;
mod config_log;
mod control_machines;
pub(crate) mod functions;
mod gateway;
mod host;
mod identity;
mod limits;
mod membership;
mod optional_section;
mod policy;
mod profiles;
pub(crate) mod syntax;
mod workers;

pub use gateway::read;
