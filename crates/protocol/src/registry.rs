//! The registry's stream of the endpoint list. Each line is a JSON object with one revision, which holds either the
//! complete list or the changed endpoints:
//! `{"edition": 7, "whole": true, "workers": [{"name": "w1", "address": "127.0.0.1:9001", "state": "ready"}]}`.
//! A line with an error is rejected as a whole.

use crate::{InputError, is_name};
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum length of a line in bytes, enough for several times 10,000 workers.
pub const MAX_LINE_BYTES: usize = 8 << 20;
/// Seconds after the end of the registry's stream by which all missed revisions count as delivered.
pub const NOTICE_AFTER_END: f64 = 2.0;
/// The path of the stream on the registry.
pub const PATH: &str = "/v1/workers";

/// A worker process in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The worker's name, unique in the list.
    pub name: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// When the process started, in seconds since the Unix epoch; `None` means long ago.
    pub started: Option<f64>,
    /// Capacity relative to a worker of size 1.
    pub size: f64,
    /// The kind of worker. Like the zone and the cell, it is empty if unknown.
    pub kind: String,
    /// The zone in which it runs.
    pub zone: String,
    /// The cell in which it runs.
    pub cell: String,
    /// Whether it accepts requests.
    pub state: EndpointStatus,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts requests.
    Ready,
    /// It completes its requests and accepts no new ones.
    Draining,
    /// It was removed from the list.
    Gone,
}

const STATUS_WORDS: [(&str, EndpointStatus); 3] = [
    ("ready", EndpointStatus::Ready),
    ("draining", EndpointStatus::Draining),
    ("gone", EndpointStatus::Gone),
];

/// A revision of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// The revision number.
    pub revision: u64,
    /// Whether `endpoints` is the complete list; otherwise it holds only those that changed.
    pub complete: bool,
    /// The endpoints; names are unique.
    pub endpoints: Vec<EndpointEntry>,
}

/// Parses one line without its line terminator.
pub fn read(line: &[u8]) -> Result<EndpointListUpdate, InputError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(InputError::new("list", format!("a line is longer than {MAX_LINE_BYTES} bytes")));
    }
    let value: Value =
        serde_json::from_slice(line).map_err(|e| InputError::new("list", format!("invalid JSON: {e}")))?;
    let revision = value["edition"]
        .as_u64()
        .ok_or_else(|| InputError::new("edition", "is not a non-negative integer"))?;
    let complete =
        value["whole"].as_bool().ok_or_else(|| InputError::new("whole", "is neither true nor false"))?;
    let workers = value["workers"].as_array().ok_or_else(|| InputError::new("workers", "is not an array"))?;
    let endpoints = workers.iter().enumerate().map(endpoint).collect::<Result<Vec<_>, _>>()?;
    let mut names: Vec<_> = endpoints.iter().map(|e| &e.name).collect();
    names.sort_unstable();
    if let Some(duplicate) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(InputError::new("workers", format!("{} is listed twice", duplicate[0])));
    }
    Ok(EndpointListUpdate { revision, complete, endpoints })
}

fn endpoint((n, value): (usize, &Value)) -> Result<EndpointEntry, InputError> {
    let error = |key: &str, problem: &str| InputError::new(format!("workers[{n}].{key}"), problem);
    let optional_name = |key: &str| match &value[key] {
        Value::Null => Ok(String::new()),
        Value::String(text) if is_name(text) => Ok(text.clone()),
        _ => Err(error(key, "is not a valid name")),
    };
    let name = optional_name("name")?;
    if name.is_empty() {
        return Err(error("name", "is missing"));
    }
    let address = value["address"].as_str().and_then(|a| a.parse().ok());
    let state = match &value["state"] {
        Value::Null => Some(EndpointStatus::Ready),
        word => STATUS_WORDS.iter().find(|(w, _)| word.as_str() == Some(w)).map(|(_, s)| *s),
    };
    let non_negative_number = |key: &str| match &value[key] {
        Value::Null => Ok(None),
        other => other
            .as_f64()
            .filter(|x| *x >= 0.0)
            .map(Some)
            .ok_or_else(|| error(key, "is not a number of at least 0")),
    };
    Ok(EndpointEntry {
        address: address.ok_or_else(|| error("address", "is not an address with a port"))?,
        started: non_negative_number("started")?,
        size: non_negative_number("size")?.filter(|x| *x > 0.0).unwrap_or(1.0),
        kind: optional_name("kind")?,
        zone: optional_name("zone")?,
        cell: optional_name("cell")?,
        state: state.ok_or_else(|| error("state", "is not one of ready, draining, gone"))?,
        name,
    })
}

/// Writes one revision as a line, with its line terminator.
pub fn write(revision: u64, complete: bool, endpoints: &[EndpointEntry]) -> Vec<u8> {
    let worker = |e: &EndpointEntry| {
        let state = STATUS_WORDS.iter().find(|(_, s)| *s == e.state).map_or("gone", |(word, _)| word);
        let mut line = serde_json::json!({
            "name": e.name, "address": e.address.to_string(), "size": e.size, "state": state,
        });
        for (key, text) in [("kind", &e.kind), ("zone", &e.zone), ("cell", &e.cell)] {
            if !text.is_empty() {
                line[key] = text.as_str().into();
            }
        }
        if let Some(started) = e.started {
            line["started"] = started.into();
        }
        line
    };
    let workers: Vec<_> = endpoints.iter().map(worker).collect();
    let mut line =
        serde_json::json!({"edition": revision, "whole": complete, "workers": workers}).to_string();
    line.push('\n');
    line.into_bytes()
}
