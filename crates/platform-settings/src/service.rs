//! What a router on sockets needs beside the configuration of the decisions: names and limits.

use crate::error::SettingsError;
use crate::lookup::{seconds, value_at};
use serde_json::Value;

/// A profile as clients name it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileSettings {
    /// The name that clients send.
    pub name: String,
    /// Seconds that a client waits at most.
    pub deadline: f64,
    /// The worth of one request, relative to those of other profiles.
    pub importance: f64,
}

/// The profiles as clients name them, in the order of the policy's; the error names a setting that is missing or out of
/// bounds.
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

/// The client groups, in the order of the policy's quotas.
#[must_use]
pub fn client_groups(settings: &Value) -> Vec<String> {
    let tenants: Vec<Value> = value_at(settings, "/Tenants").unwrap_or_default();
    tenants.iter().map(|tenant| value_at(tenant, "/Name").unwrap_or_default()).collect()
}

/// The kinds of workers, in the order of the policy's memory.
#[must_use]
pub fn worker_kinds(settings: &Value) -> Vec<String> {
    value_at(settings, "/Kinds").unwrap_or_default()
}

/// A time among the limits by its name, in seconds; the error names it where it is missing or negative.
pub fn time_limit(settings: &Value, name: &str) -> Result<f64, SettingsError> {
    seconds(settings, &format!("/Limits/{name}"))
}

/// A count among the limits by its name; the default where it is not stated or below 1.
#[must_use]
pub fn count_limit(settings: &Value, name: &str, default: usize) -> usize {
    let count = value_at::<f64>(settings, &format!("/Limits/{name}")).filter(|count| *count >= 1.0);
    count.map_or(default, |count| count as usize)
}

/// Seconds for which a draining worker may still be sent requests; the error names the setting where it is missing.
pub fn drain_grace(settings: &Value) -> Result<f64, SettingsError> {
    seconds(settings, "/Rules/DrainGrace")
}
