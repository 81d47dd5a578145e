//! The configuration of a gateway: read from HCL and validated, with the values that are derived from it at start.
//!
//! [`read`] returns a [`GatewayConfig`], or every [`ConfigError`] in the text with line, column and remedy. The meaning,
//! unit and bounds of each setting are documented in `docs/operators/configuration.md`. [`change`] handles configuration
//! changes at run time.

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
