//! The discovery service: numbered events with changes of the worker list, one a line as JSON, and heartbeats that hold
//! only the last number.

use milletpath_protocol::InputError;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Bytes that one line may have: thousands of workers.
pub const MAX_LINE: usize = 2 << 20;

/// Seconds after a break of discovery by which all that it would have told counts as told; after a mere silence it
/// is later.
pub const NOTICE_AFTER_BREAK: f64 = 2.0;

/// One line of the discovery service.
#[derive(Debug, PartialEq)]
pub enum DiscoveryLine {
    /// A change of the worker list.
    Event {
        /// Its number: one more than that of the event before.
        number: u64,
        /// Whether the list is complete: a worker that it does not name is gone.
        complete: bool,
        /// Workers that changed, or all of them where the list is complete.
        entries: Vec<EndpointEntry>,
    },
    /// A heartbeat, with the number of the last event.
    Heartbeat(u64),
}

/// The line that asks for all events after one.
#[must_use]
pub fn subscribe_after(number: u64) -> String {
    format!("after {number}\n")
}

/// Reads one line, without the character that ends it.
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

/// Reads an event that is JSON already, as in the file that a router starts from.
pub fn event(value: &Value) -> Result<DiscoveryLine, InputError> {
    let number = value["no"].as_u64().ok_or_else(|| InputError::new("no", "is no whole number"))?;
    let roster = &value["roster"];
    // Taken for an event, a heartbeat ahead of the last event received would hide the one that is missing.
    if value.as_object().is_some_and(|object| object.len() == 1) {
        return Ok(DiscoveryLine::Heartbeat(number));
    }
    if roster.is_null() {
        // An event of another matter: nothing in it concerns the list.
        return Ok(DiscoveryLine::Event { number, complete: false, entries: Vec::new() });
    }
    let complete = roster["complete"].as_bool().unwrap_or(false);
    let members = roster["members"].as_array().ok_or_else(|| InputError::new("members", "is no list"))?;
    let entries = members.iter().enumerate().map(entry).collect::<Result<_, _>>()?;
    Ok(DiscoveryLine::Event { number, complete, entries })
}

/// One worker, by its index in the list.
fn entry((index, member): (usize, &Value)) -> Result<EndpointEntry, InputError> {
    let fault = |key: &str| InputError::new(format!("members[{index}].{key}"), "is missing or senseless");
    let text = |key: &str| member[key].as_str().unwrap_or_default().to_owned();
    let name = Some(text("id")).filter(|name| !name.is_empty()).ok_or_else(|| fault("id"))?;
    let state = worker_state(member).ok_or_else(|| fault("phase"))?;
    let address = address(member, state).ok_or_else(|| fault("host_port"))?;
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

/// The address of a worker; one that has gone needs none.
fn address(member: &Value, state: EndpointStatus) -> Option<SocketAddr> {
    let stated = member["host_port"].as_str().and_then(|address| address.parse().ok());
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    stated.or_else(|| (state == EndpointStatus::Gone).then_some(unspecified))
}
