//! The configuration of a gateway, read from HCL and checked, with the values that the gateway derives from it at start.
//!
//! [`read`] gives a [`GatewayConfig`], or every [`ConfigError`] of the text with line, column and remedy. What a setting
//! means, its unit and bounds are in `docs/operators/configuration.md`. [`change`] holds changes made while gateways run.

pub mod change;
pub mod document;
mod model;
mod reader;

pub use change::{ConfigChange, Subject};
pub use document::ConfigError;
pub use model::{
    ConfigLogConfig, FunctionConfig, FunctionConfigs, FunctionOverrides, GatewayConfig, Limits,
    MembershipConfig, ProfileConfig, WorkerSource,
};
pub use reader::read;
