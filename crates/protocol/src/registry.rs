//! The worker list as the registry tells it: a stream of lines, each one edition in JSON, whole or changes only:
//! `{"edition": 7, "whole": true, "workers": [{"name": "w1", "address": "127.0.0.1:9001", "state": "ready"}]}`.
//! A line is read whole or not at all.

use crate::{InputError, is_name};
use serde_json::Value;
use std::net::SocketAddr;

/// Bytes that one line may have: 10,000 workers fit in several times.
pub const MAX_LINE_BYTES: usize = 8 << 20;
/// The path at which the registry streams its editions.
pub const PATH: &str = "/v1/workers";

/// One worker as a list tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub name: String,
    pub address: SocketAddr,
    /// When the process started, in seconds of the Unix clock; none means long ago.
    pub started: Option<f64>,
    pub size: f64,
    pub kind: String,
    pub zone: String,
    pub cell: String,
    pub state: EndpointStatus,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Ready,
    Draining,
    Gone,
}

const STATUS_WORDS: [(&str, EndpointStatus); 3] = [
    ("ready", EndpointStatus::Ready),
    ("draining", EndpointStatus::Draining),
    ("gone", EndpointStatus::Gone),
];

/// Reads one line: the edition's number, whether it is the complete list, and its entries.
pub fn read(line: &[u8]) -> Result<(u64, bool, Vec<EndpointEntry>), InputError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(InputError::new("list", format!("a line of over {MAX_LINE_BYTES} bytes")));
    }
    let value: Value =
        serde_json::from_slice(line).map_err(|e| InputError::new("list", format!("no JSON: {e}")))?;
    let edition =
        value["edition"].as_u64().ok_or_else(|| InputError::new("edition", "is no whole number"))?;
    let whole =
        value["whole"].as_bool().ok_or_else(|| InputError::new("whole", "is neither true nor false"))?;
    let lines = value["workers"].as_array().ok_or_else(|| InputError::new("workers", "is no list"))?;
    let entries = lines.iter().enumerate().map(entry).collect::<Result<Vec<_>, _>>()?;
    let mut names: Vec<_> = entries.iter().map(|e| &e.name).collect();
    names.sort_unstable();
    if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(InputError::new("workers", format!("{} is listed twice", twice[0])));
    }
    Ok((edition, whole, entries))
}

fn entry((n, value): (usize, &Value)) -> Result<EndpointEntry, InputError> {
    let fault = |key: &str, wrong: &str| InputError::new(format!("workers[{n}].{key}"), wrong);
    let named = |key: &str| match &value[key] {
        Value::Null => Ok(String::new()),
        Value::String(text) if is_name(text) => Ok(text.clone()),
        _ => Err(fault(key, "is no name")),
    };
    let name = named("name")?;
    if name.is_empty() {
        return Err(fault("name", "is missing"));
    }
    let address = value["address"].as_str().and_then(|a| a.parse().ok());
    let state = match &value["state"] {
        Value::Null => Some(EndpointStatus::Ready),
        word => STATUS_WORDS.iter().find(|(w, _)| word.as_str() == Some(w)).map(|(_, s)| *s),
    };
    let figure = |key: &str| match &value[key] {
        Value::Null => Ok(None),
        other => other
            .as_f64()
            .filter(|x| *x >= 0.0)
            .map(Some)
            .ok_or_else(|| fault(key, "is no figure of 0 or more")),
    };
    Ok(EndpointEntry {
        address: address.ok_or_else(|| fault("address", "is no address with a port"))?,
        started: figure("started")?,
        size: figure("size")?.filter(|x| *x > 0.0).unwrap_or(1.0),
        kind: named("kind")?,
        zone: named("zone")?,
        cell: named("cell")?,
        state: state.ok_or_else(|| fault("state", "is none of ready, draining, gone"))?,
        name,
    })
}

/// Writes one edition, with its line end.
pub fn write(edition: u64, whole: bool, entries: &[EndpointEntry]) -> Vec<u8> {
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
    let workers: Vec<_> = entries.iter().map(worker).collect();
    let mut line = serde_json::json!({"edition": edition, "whole": whole, "workers": workers}).to_string();
    line.push('\n');
    line.into_bytes()
}
