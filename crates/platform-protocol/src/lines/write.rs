//! Answers to clients. Each adds one line to a buffer; `number` is that of the line that is answered.

use base64::{Engine, engine::general_purpose::STANDARD};
use milletpath_protocol::InputError;
use serde_json::Value;

/// JSON-RPC's code of an invalid request.
const INVALID_REQUEST: i64 = -32600;
/// The platform's code of a request that was not accepted.
const REJECTED: i64 = -32066;
/// The platform's code of a request that failed.
const FAILED: i64 = -32069;

/// The request succeeded: the worker's body, unchanged.
pub fn write_success(out: &mut Vec<u8>, number: u64, body: &[u8]) {
    let head = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"content\":\"");
    out.extend_from_slice(head.as_bytes());
    let start = out.len();
    out.resize(start + body.len().div_ceil(3) * 4, 0);
    // The room is what the encoding of so many bytes takes, so that it can't be too small.
    let _ = STANDARD.encode_slice(body, &mut out[start..]);
    out.extend_from_slice(b"\"}}\n");
}

/// The request was rejected, and did not run: it may be sent again, after so many seconds where advised.
pub fn write_rejected(out: &mut Vec<u8>, number: u64, retry_after: Option<f64>) {
    let milliseconds = retry_after.map(|seconds| (seconds * 1e3).ceil());
    let data = milliseconds.map_or(String::new(), |ms| format!(",\"data\":{{\"w\":{ms}}}"));
    write_error(out, &number.to_string(), REJECTED, "bounced: try again", &data);
}

/// The request failed, with no promise about its effects.
pub fn write_failed(out: &mut Vec<u8>, number: u64) {
    write_error(out, &number.to_string(), FAILED, "terminated", "");
}

/// The line was not understood.
pub fn write_invalid(out: &mut Vec<u8>, number: Option<u64>, fault: &InputError) {
    let number = number.map_or("null".into(), |number| number.to_string());
    // Escaped as JSON; the quotes around it are in the frame already.
    let message = Value::from(fault.to_string()).to_string();
    write_error(out, &number, INVALID_REQUEST, message.trim_matches('"'), "");
}

/// The answer to a health check (`probe`): whether the router accepts requests.
pub fn write_health(out: &mut Vec<u8>, number: u64, is_healthy: bool) {
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"fit\":{is_healthy}}}}}\n");
    out.extend_from_slice(line.as_bytes());
}

fn write_error(out: &mut Vec<u8>, number: &str, code: i64, message: &str, data: &str) {
    let error = format!("{{\"code\":{code},\"message\":\"{message}\"{data}}}");
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"error\":{error}}}\n");
    out.extend_from_slice(line.as_bytes());
}
