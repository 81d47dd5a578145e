//! The stream of the discovery service: one JSON value per line, either a numbered event with changes to the worker
//! list or a heartbeat with the number of the last event.

use milletpath_protocol::InputError;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Maximum length of a line in bytes, enough for a list of thousands of workers.
pub const MAX_LINE: usize = 2 << 20;

/// Seconds after a break in the discovery stream by which the platform counts all missed updates as delivered. If the
/// stream is only silent, they count as delivered later.
pub const NOTICE_AFTER_BREAK: f64 = 2.0;

/// One line of the discovery stream.
#[derive(Debug, PartialEq)]
pub enum DiscoveryLine {
    /// A change to the worker list.
    Event {
        /// The event number; numbers are consecutive.
        number: u64,
        /// Whether the list is complete; a worker that a complete list omits is gone.
        complete: bool,
        /// All workers if the list is complete, otherwise those that changed.
        entries: Vec<EndpointEntry>,
    },
    /// A heartbeat with the number of the last event.
    Heartbeat(u64),
}

/// Returns the line that subscribes to all events after `number`.
#[must_use]
pub fn subscribe_after(number: u64) -> String {
    format!("after {number}\n")
}

/// Parses one line without its line terminator.
pub fn read(line: &[u8]) -> Result<DiscoveryLine, InputError> {
    if line.len() > MAX_LINE {
        return Err(InputError::new("line", "is too long"));
    }
    let value: Value =
        serde_json::from_slice(line).map_err(|error| InputError::new("line", error.to_string()))?;
    match value.as_u64() {
        Some(last) => Ok(DiscoveryLine::Heartbeat(last)),
        None => event(&value),
    }
}

/// Reads an event or a heartbeat from parsed JSON, such as an item of the bootstrap file.
pub fn event(value: &Value) -> Result<DiscoveryLine, InputError> {
    let number =
        value["no"].as_u64().ok_or_else(|| InputError::new("no", "is not a non-negative integer"))?;
    let roster = &value["roster"];
    // An object with only a number is a heartbeat. If it were treated as an event, a heartbeat whose number is ahead of
    // the last event received would hide that an event is missing.
    if value.as_object().is_some_and(|object| object.len() == 1) {
        return Ok(DiscoveryLine::Heartbeat(number));
    }
    if roster.is_null() {
        // The event does not concern the worker list, but its number counts.
        return Ok(DiscoveryLine::Event { number, complete: false, entries: Vec::new() });
    }
    let complete = roster["complete"].as_bool().unwrap_or(false);
    let members =
        roster["members"].as_array().ok_or_else(|| InputError::new("members", "is not an array"))?;
    let entries = members.iter().enumerate().map(entry).collect::<Result<_, _>>()?;
    Ok(DiscoveryLine::Event { number, complete, entries })
}

/// Reads one worker; `index` is its position in the list, for error messages.
fn entry((index, member): (usize, &Value)) -> Result<EndpointEntry, InputError> {
    let invalid = |key: &str| InputError::new(format!("members[{index}].{key}"), "is missing or invalid");
    let text = |key: &str| member[key].as_str().unwrap_or_default().to_owned();
    let name = Some(text("id")).filter(|name| !name.is_empty()).ok_or_else(|| invalid("id"))?;
    let state = worker_state(member).ok_or_else(|| invalid("phase"))?;
    let address = address(member, state).ok_or_else(|| invalid("host_port"))?;
    let started = member["up_since_ms"].as_f64().filter(|ms| *ms > 0.0).map(|ms| ms / 1e3);
    let cell = match &member["cell"] {
        Value::Null => String::new(),
        Value::String(cell) => cell.clone(),
        other => other.to_string(),
    };
    let size = member["size"].as_f64().filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
    Ok(EndpointEntry {
        name,
        address,
        started,
        size,
        kind: text("flavor"),
        zone: text("locality"),
        cell,
        state,
    })
}

fn worker_state(member: &Value) -> Option<EndpointStatus> {
    match member["phase"].as_str() {
        Some("active") => Some(EndpointStatus::Ready),
        Some("leaving") => Some(EndpointStatus::Draining),
        Some("left") => Some(EndpointStatus::Gone),
        _ => None,
    }
}

/// Reads the address of a worker, which may be absent only if the worker is gone.
fn address(member: &Value, state: EndpointStatus) -> Option<SocketAddr> {
    let parsed = member["host_port"].as_str().and_then(|address| address.parse().ok());
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    parsed.or_else(|| (state == EndpointStatus::Gone).then_some(unspecified))
}
