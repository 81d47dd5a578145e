//! The configuration of a gateway as plain data. Its only logic resolves the settings of a function from those specific to
//! it and those of all functions.

mod functions;
mod gateway;
mod limits;
mod replication;

pub use functions::{FunctionConfig, FunctionConfigs, FunctionOverrides};
pub use gateway::{GatewayConfig, ProfileConfig, WorkerSource};
pub use limits::Limits;
pub use replication::{ConfigLogConfig, MembershipConfig};
