//! The file that a router starts from, and reads again on a signal: its address and limits, the discovery service, the
//! worker list so far, and the settings. What is read becomes a [`GatewayConfig`](milletpath_config::GatewayConfig) and
//! the few values beside it.

mod address;
mod differences;
mod read;
mod reload;

pub use read::{Bootstrap, WorkerList, read};
pub use reload::{ReloadedBootstrap, reload};
