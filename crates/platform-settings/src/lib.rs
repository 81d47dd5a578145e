//! Reads the platform's settings object, which an instance in the simulator receives over the simulator's protocol and a
//! router on the platform reads from its bootstrap file. The result is the configuration of the routing policy, plus the
//! names and limits that a router with real sockets needs. The platform's names of the settings stay inside this crate.

mod error;
mod load_report;
mod lookup;
mod policy;
mod service;

pub use error::SettingsError;
pub use load_report::{load_report_names, set_report_value};
pub use policy::policy_config;
pub use service::{
    ProfileSettings, client_groups, count_limit, drain_grace, profile_settings, time_limit, worker_kinds,
};

use serde_json::Value;

/// Parses the JSON text of a settings object; the error gives the position of a syntax error.
pub fn parse(text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).map_err(SettingsError::NotJson)
}
