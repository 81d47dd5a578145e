//! Parses and validates the parameters of a function call.

use crate::hex_id::parse_hex_id;
use base64::{Engine, engine::general_purpose::STANDARD};
use milletpath_protocol::InputError;
use serde_json::Value;
use std::ops::RangeInclusive;

/// Maximum length of a request body in bytes, as specified by the platform.
pub const MAX_REQUEST_BODY: usize = 16 << 10;
/// Maximum timeout that a client may set, in milliseconds: one hour. No client waits longer, and the bound keeps sums
/// of times finite.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Largest plausible value of a function setting, in MB, calls or ms.
const MAX_FUNCTION_SETTING: f64 = 1e7;
/// Largest value of the anticipated work of a call, which the platform counts in 32 bits of microseconds.
const MAX_WORK_HINT: f64 = u32::MAX as f64;
/// Maximum length of an idempotency key in bytes, twice the length of the keys that clients send.
const MAX_IDEMPOTENCY_KEY: usize = 64;

/// A validated call from a client.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// The line's number on its connection (the JSON-RPC `id`), which the response repeats.
    pub number: u64,
    /// The request id, unique among all clients.
    pub id: u64,
    /// The name of the request's profile.
    pub profile: String,
    /// The name of the client group; empty if there is none.
    pub client: String,
    /// The name of the function: 16 hexadecimal digits.
    pub function: String,
    /// How long the client waits for a response, in seconds.
    pub timeout: f64,
    /// Whether the client marks the call as a retry.
    pub is_retry: bool,
    /// The key by which workers recognize a retry, forwarded unchanged; empty if there is none.
    pub idempotency_key: String,
    /// Memory of one instance of the function, in MB.
    pub memory: f64,
    /// Number of calls that one instance runs concurrently.
    pub lanes: f64,
    /// Typical time to load the function, in seconds, if the client sent it.
    pub load: Option<f64>,
    /// The request body.
    pub body: Vec<u8>,
}

/// Settings of the called function, as sent by the client.
struct FunctionSettings {
    memory: f64,
    lanes: f64,
    load: Option<f64>,
}

/// Reads a call from the parameters of its line. `method` is the name of the profile.
pub fn read(number: u64, id: Option<u64>, method: &str, params: &Value) -> Result<Call, InputError> {
    let id = id.ok_or_else(|| InputError::new("i", "is not 16 hex digits"))?;
    let function = function(params)?;
    let is_retry = is_retry(params)?;
    let body = body(params)?;
    let idempotency_key = idempotency_key(params)?;
    let client = optional_text(params, "t", "is no name")?;
    let timeout = timeout(params)?;
    let FunctionSettings { memory, lanes, load } =
        function_settings(optional_text(params, "info", "is no text")?)?;
    Ok(Call {
        number,
        id,
        profile: method.to_owned(),
        client: client.to_owned(),
        function: function.to_owned(),
        timeout,
        is_retry,
        idempotency_key: idempotency_key.to_owned(),
        memory,
        lanes,
        load,
        body,
    })
}

fn function(params: &Value) -> Result<&str, InputError> {
    let function = params["o"].as_str().ok_or_else(|| InputError::new("o", "is missing or no text"))?;
    parse_hex_id(function).ok_or_else(|| InputError::new("o", "is not 16 hex digits"))?;
    Ok(function)
}

fn is_retry(params: &Value) -> Result<bool, InputError> {
    match &params["r"] {
        Value::Null => Ok(false),
        Value::Number(n) if n.as_u64().is_some_and(|n| n <= 1) => Ok(n.as_u64() == Some(1)),
        Value::String(text) if text == "1" => Ok(true),
        _ => Err(InputError::new("r", "is no mark")),
    }
}

fn body(params: &Value) -> Result<Vec<u8>, InputError> {
    let encoded = optional_text(params, "content", "is no text")?;
    let body = STANDARD.decode(encoded).map_err(|_| InputError::new("content", "is no base64"))?;
    if body.len() > MAX_REQUEST_BODY {
        return Err(InputError::new("content", "is too long"));
    }
    Ok(body)
}

fn idempotency_key(params: &Value) -> Result<&str, InputError> {
    // The key becomes a value in the comma-separated fields of a frame, so a comma in it could start another field.
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b",=".contains(&byte);
    match &params["k"] {
        Value::Null => Ok(""),
        Value::String(key) if key.len() <= MAX_IDEMPOTENCY_KEY && key.bytes().all(is_allowed) => Ok(key),
        _ => Err(InputError::new("k", "is no mark of up to 64 visible characters")),
    }
}

/// Reads the client's timeout, in seconds.
fn timeout(params: &Value) -> Result<f64, InputError> {
    let milliseconds = params["d"].as_f64().filter(|ms| (1.0..=MAX_TIMEOUT_MS).contains(ms));
    milliseconds.map(|ms| ms / 1e3).ok_or_else(|| InputError::new("d", "is no time to wait"))
}

/// Parses a list such as `memory_mb:512;lanes:2;load_ms:640;hint:12000`. Unknown names are ignored.
fn function_settings(info: &str) -> Result<FunctionSettings, InputError> {
    let mut settings = FunctionSettings { memory: 0.0, lanes: 1.0, load: None };
    for setting in info.split(';').filter(|setting| !setting.is_empty()) {
        let (name, value) = setting
            .split_once(':')
            .ok_or_else(|| InputError::new("info", "has a part that is not name:value"))?;
        match name {
            "memory_mb" => settings.memory = setting_value(name, value, 0.0..=MAX_FUNCTION_SETTING)?,
            "lanes" => settings.lanes = setting_value(name, value, 1.0..=MAX_FUNCTION_SETTING)?,
            "load_ms" => {
                settings.load = Some(setting_value(name, value, 0.0..=MAX_FUNCTION_SETTING)? / 1e3)
                    .filter(|seconds| *seconds > 0.0);
            }
            // Validated although no decision uses the anticipated work.
            "hint" => _ = setting_value(name, value, 0.0..=MAX_WORK_HINT)?,
            _ => {}
        }
    }
    Ok(settings)
}

/// Parses the value of a function setting, which must be in a range.
fn setting_value(name: &str, value: &str, range: RangeInclusive<f64>) -> Result<f64, InputError> {
    let number = value.parse::<f64>().ok().filter(|number| range.contains(number));
    number.ok_or_else(|| InputError::new(format!("info.{name}"), "is out of range or no number"))
}

/// Reads an optional string, which is empty if the key is absent.
fn optional_text<'v>(params: &'v Value, key: &str, problem: &str) -> Result<&'v str, InputError> {
    match &params[key] {
        Value::Null => Ok(""),
        Value::String(text) => Ok(text),
        _ => Err(InputError::new(key, problem)),
    }
}
