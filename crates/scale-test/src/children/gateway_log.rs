//! Reads what a real gateway knows of others, and which configuration changes it applied, from the lines of its log.

use crate::gateway_config;
use crate::membership_tracker::ReportedState;
use serde_json::Value;

/// The number up to which all configuration changes are applied, if a line of the log reports one.
pub fn applied_number(line: &str) -> Option<u64> {
    // Most lines are about something else, and are not worth parsing.
    if !line.contains("\"configuration changes are applied\"") {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    line["fields"]["number"].as_u64()
}

/// What a line of a gateway's log reports of another gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggedObservation {
    /// The number of the other gateway.
    pub subject: usize,
    /// What it is taken for from then on.
    pub state: ReportedState,
}

/// What a line of the log reports of another gateway of the fleet, if it does.
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
