//! The bulletin: numbered events, one a line as JSON, and lines that hold only the last number.

use milletpath_protocol::Fault;
use milletpath_protocol::registry::{Entry, Standing};
use serde_json::Value;

/// Bytes that one line may have: thousands of workers.
pub const LONGEST: usize = 2 << 20;

/// Asks for all that comes after an event.
pub fn after(number: u64) -> String {
    format!("after {number}\n")
}

/// One event, or what a line that is none tells: a number alone.
#[derive(Debug, PartialEq)]
pub enum Line {
    Event { number: u64, whole: bool, entries: Vec<Entry> },
    Last(u64),
}

pub fn read(line: &[u8]) -> Result<Line, Fault> {
    if line.len() > LONGEST {
        return Err(Fault::new("line", "is too long"));
    }
    let value: Value = serde_json::from_slice(line).map_err(|e| Fault::new("line", e.to_string()))?;
    match value.as_u64() {
        Some(last) => Ok(Line::Last(last)),
        None => event(&value),
    }
}

/// Reads an event that is JSON already, as in the file that a router starts from.
pub fn event(value: &Value) -> Result<Line, Fault> {
    let number = value["no"].as_u64().ok_or_else(|| Fault::new("no", "is no whole number"))?;
    let roster = &value["roster"];
    // Taken for an event, a heartbeat ahead of ours would hide the one that is missing.
    if value.as_object().is_some_and(|o| o.len() == 1) {
        return Ok(Line::Last(number));
    }
    if roster.is_null() {
        // An event of another matter: nothing in it concerns the list.
        return Ok(Line::Event { number, whole: false, entries: Vec::new() });
    }
    let whole = roster["complete"].as_bool().unwrap_or(false);
    let members = roster["members"].as_array().ok_or_else(|| Fault::new("members", "is no list"))?;
    let entries = members.iter().enumerate().map(entry).collect::<Result<_, _>>()?;
    Ok(Line::Event { number, whole, entries })
}

fn entry((n, value): (usize, &Value)) -> Result<Entry, Fault> {
    let fault = |key: &str| Fault::new(format!("members[{n}].{key}"), "is missing or senseless");
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    let name = Some(text("id")).filter(|n| !n.is_empty()).ok_or_else(|| fault("id"))?;
    let state = match value["phase"].as_str() {
        Some("active") => Standing::Ready,
        Some("leaving") => Standing::Draining,
        Some("left") => Standing::Gone,
        _ => return Err(fault("phase")),
    };
    let address = match value["host_port"].as_str().and_then(|a| a.parse().ok()) {
        Some(address) => address,
        // One that has gone needs none.
        None if state == Standing::Gone => std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        None => return Err(fault("host_port")),
    };
    let started = value["up_since_ms"].as_f64().filter(|ms| *ms > 0.0).map(|ms| ms / 1e3);
    let cell = match &value["cell"] {
        Value::Null => String::new(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    };
    let size = value["size"].as_f64().filter(|s| s.is_finite() && *s > 0.0).unwrap_or(1.0);
    Ok(Entry { name, address, started, size, kind: text("flavor"), zone: text("locality"), cell, state })
}
