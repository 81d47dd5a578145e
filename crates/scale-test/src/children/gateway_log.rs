//! Extracts membership observations and applied configuration changes from the JSON log of a real gateway.

use crate::gateway_config;
use crate::membership_tracker::ReportedState;
use serde_json::Value;

/// Returns the number up to which all configuration changes are applied, if the line reports one.
pub fn applied_number(line: &str) -> Option<u64> {
    // Most lines are unrelated; this check avoids parsing them.
    if !line.contains("\"configuration changes are applied\"") {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    line["fields"]["number"].as_u64()
}

/// A change in a gateway's view of another gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggedObservation {
    /// Number of the observed gateway.
    pub subject: usize,
    /// New state of the observed gateway.
    pub state: ReportedState,
}

/// Returns the membership observation of a log line; `None` for other lines and for gateways outside the fleet.
pub fn membership_observation(line: &str) -> Option<LoggedObservation> {
    if !line.contains("\"a gateway ") {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    let state = match fields["message"].as_str()? {
        "a gateway joined" | "a gateway that was declared dead returned" => ReportedState::Alive,
        "a gateway does not answer" => ReportedState::Suspected,
        "a gateway is declared dead" | "a gateway left" => ReportedState::Dead,
        _ => return None,
    };
    let subject = gateway_config::gateway_number(fields["name"].as_str()?)?;
    Some(LoggedObservation { subject, state })
}
