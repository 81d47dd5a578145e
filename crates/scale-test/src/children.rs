//! The processes of gateways: hosts of hollow ones, and real ones. What they report arrives on one channel as
//! messages (`ChildMessage`). A process ends when its handle is dropped, however the run went.

mod gateway_log;
mod gateway_process;
mod host_process;

pub use gateway_log::{LoggedObservation, applied_number, membership_observation};
pub use gateway_process::{GatewayProcess, GatewayProcessError};
pub use host_process::HostProcess;
