//! Parses a line from a client into a message: a call, a cancellation or a health check (`probe`).

use super::call::{self, Call, MAX_REQUEST_BODY};
use crate::hex_id::parse_hex_id;
use milletpath_protocol::InputError;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use std::ops::RangeInclusive;

/// Maximum length of a line in bytes: the largest body in base64 plus 2 KiB for the other fields.
pub const MAX_LINE: usize = MAX_REQUEST_BODY.div_ceil(3) * 4 + (2 << 10);
/// Valid line numbers: positive integers that every JSON parser represents exactly.
const LINE_NUMBERS: RangeInclusive<u64> = 1..=1 << 53;

/// The method by which a client cancels a call.
const CANCEL: &str = "giveUp";
/// The method of a health check.
const PROBE: &str = "probe";

/// A message from a client.
#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    /// A function call.
    Call(Box<Call>),
    /// A function call whose parameters were not read, because it is rejected whatever they are.
    UnreadCall {
        /// The line's number, which the response repeats.
        number: u64,
    },
    /// The client no longer waits for the response to a request, which it identifies by request id or line number.
    Cancel {
        /// The request id.
        id: Option<u64>,
        /// The number of the request's line.
        number: Option<u64>,
    },
    /// A health check of the router.
    Probe {
        /// The line's number, which the response repeats.
        number: u64,
    },
}

/// A line that is not a valid message.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{fault}")]
pub struct InvalidLine {
    /// The line's number, if it could be read; the error response repeats it.
    pub number: Option<u64>,
    /// Why the line is invalid.
    #[source]
    pub fault: InputError,
}

/// The part of a call that its rejection needs.
#[derive(Deserialize)]
struct CallHead<'line> {
    jsonrpc: &'line str,
    id: u64,
    method: &'line str,
    #[serde(rename = "params")]
    _params: IgnoredAny,
}

/// Parses a line that is rejected if it is a call, at a fraction of the cost of [`read`]. The call's parameters are not
/// checked.
pub fn read_for_rejection(line: &[u8]) -> Result<ClientMessage, InvalidLine> {
    let is_call = |head: &CallHead<'_>| {
        head.jsonrpc == "2.0" && LINE_NUMBERS.contains(&head.id) && !matches!(head.method, CANCEL | PROBE)
    };
    match serde_json::from_slice(line) {
        Ok(head) if line.len() <= MAX_LINE && is_call(&head) => {
            Ok(ClientMessage::UnreadCall { number: head.id })
        }
        _ => read(line),
    }
}

/// Parses one line without its line terminator.
pub fn read(line: &[u8]) -> Result<ClientMessage, InvalidLine> {
    if line.len() > MAX_LINE {
        return Err(InvalidLine { number: None, fault: InputError::new("line", "is too long") });
    }
    let value: Value = serde_json::from_slice(line)
        .map_err(|error| InvalidLine { number: None, fault: InputError::new("line", error.to_string()) })?;
    let number = value["id"].as_u64().filter(|number| LINE_NUMBERS.contains(number));
    message(&value, number).map_err(|fault| InvalidLine { number, fault })
}

fn message(value: &Value, number: Option<u64>) -> Result<ClientMessage, InputError> {
    if value["jsonrpc"] != "2.0" {
        return Err(InputError::new("jsonrpc", "is not 2.0"));
    }
    let method = value["method"].as_str().ok_or_else(|| InputError::new("method", "is no name"))?;
    let params = &value["params"];
    let id = params["i"].as_str().and_then(parse_hex_id);
    if method == CANCEL {
        return Ok(ClientMessage::Cancel { id, number: params["id"].as_u64().or(number) });
    }
    let number = number.ok_or_else(|| InputError::new("id", "is no whole number from 1"))?;
    if method == PROBE {
        return Ok(ClientMessage::Probe { number });
    }
    call::read(number, id, method, params).map(|call| ClientMessage::Call(Box::new(call)))
}
