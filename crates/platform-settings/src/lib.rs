//! Reads the platform's settings object, as the simulator's wire hands it to an instance and as the platform's file
//! holds it: one reader for both. It gives the configuration of the routing decisions, and what a router on sockets
//! needs beside it. The names of the settings are the platform's, and end here.

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

/// Parses the settings as they come over a wire; the error names where they are not JSON.
pub fn parse(text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).map_err(SettingsError::NotJson)
}
