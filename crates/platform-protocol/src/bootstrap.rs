//! The bootstrap file, which a router reads at startup and again on a signal. It holds the listen address, the resource
//! limits, the address of the discovery service, the known workers and the settings. Most of it becomes a
//! [`GatewayConfig`](milletpath_config::GatewayConfig); [`Bootstrap`] holds that and the remaining values.

mod address;
mod differences;
mod read;
mod reload;

pub use read::{Bootstrap, WorkerList, read};
pub use reload::{ReloadedBootstrap, reload};
