//! Child processes: hosts of hollow gateways, and real gateways. All of them report over one channel of `ChildMessage`.
//! A process ends when its handle is dropped, whatever the result of the run.

mod gateway_log;
mod gateway_process;
mod host_process;

pub use gateway_log::{LoggedObservation, applied_number, membership_observation};
pub use gateway_process::{GatewayProcess, GatewayProcessError};
pub use host_process::HostProcess;
