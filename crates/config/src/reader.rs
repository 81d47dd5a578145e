//! Reads a configuration file, one module a part of it. Each setting has its bounds and its default beside where it is
//! read; the defaults are chosen for one gateway beside a handful of workers.

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
