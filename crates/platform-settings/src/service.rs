//! Settings that a router with real sockets needs in addition to the policy configuration: names and limits.

use crate::error::SettingsError;
use crate::lookup::{seconds, value_at};
use serde_json::Value;

/// The settings of a profile that are not part of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileSettings {
    /// The profile name that clients send.
    pub name: String,
    /// Longest time that a client waits for a response, in seconds.
    pub deadline: f64,
    /// Weight of a request relative to requests of other profiles.
    pub importance: f64,
}

/// Reads the profiles, in the order of the policy's profiles; the error names a setting that is missing or invalid.
pub fn profile_settings(settings: &Value) -> Result<Vec<ProfileSettings>, SettingsError> {
    let classes: Vec<Value> = value_at(settings, "/Classes").unwrap_or_default();
    let profile = |(index, class): (usize, &Value)| {
        let invalid_name = || SettingsError::invalid(format!("Classes[{index}].Name"));
        let name = value_at(class, "/Name").ok_or_else(invalid_name)?;
        let deadline = seconds(class, "/HardLimit")?;
        Ok(ProfileSettings { name, deadline, importance: value_at(class, "/Gain").unwrap_or(1.0) })
    };
    classes.iter().enumerate().map(profile).collect()
}

/// Returns the names of the client groups, in the order of the policy's quotas.
#[must_use]
pub fn client_groups(settings: &Value) -> Vec<String> {
    let tenants: Vec<Value> = value_at(settings, "/Tenants").unwrap_or_default();
    tenants.iter().map(|tenant| value_at(tenant, "/Name").unwrap_or_default()).collect()
}

/// Returns the names of the worker kinds, in the order of the policy's `memory`.
#[must_use]
pub fn worker_kinds(settings: &Value) -> Vec<String> {
    value_at(settings, "/Kinds").unwrap_or_default()
}

/// Reads the time limit called `name`, in seconds; the error names it if it is missing or negative.
pub fn time_limit(settings: &Value, name: &str) -> Result<f64, SettingsError> {
    seconds(settings, &format!("/Limits/{name}"))
}

/// Reads the count limit called `name`; returns `default` if it is absent or less than 1.
#[must_use]
pub fn count_limit(settings: &Value, name: &str, default: usize) -> usize {
    let count = value_at::<f64>(settings, &format!("/Limits/{name}")).filter(|count| *count >= 1.0);
    count.map_or(default, |count| count as usize)
}

/// Reads how long a draining worker may still be sent requests, in seconds; the error names the setting if it is
/// missing or negative.
pub fn drain_grace(settings: &Value) -> Result<f64, SettingsError> {
    seconds(settings, "/Rules/DrainGrace")
}
