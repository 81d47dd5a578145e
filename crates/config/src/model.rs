//! What a gateway is configured with: plain data without behaviour, except that the settings of one function are
//! resolved from those stated of it and of all.

mod functions;
mod gateway;
mod limits;
mod replication;

pub use functions::{FunctionConfig, FunctionConfigs, FunctionOverrides};
pub use gateway::{GatewayConfig, ProfileConfig, WorkerSource};
pub use limits::Limits;
pub use replication::{ConfigLogConfig, MembershipConfig};
