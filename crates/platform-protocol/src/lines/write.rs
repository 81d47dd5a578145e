//! Writes responses to clients. Each function appends one line to a buffer; `number` is that of the client's line.

use base64::{Engine, engine::general_purpose::STANDARD};
use milletpath_protocol::InputError;
use serde_json::Value;

/// JSON-RPC error code for an invalid request.
const INVALID_REQUEST: i64 = -32600;
/// The platform's error code for a request that was not accepted.
const REJECTED: i64 = -32066;
/// The platform's error code for a request that failed.
const FAILED: i64 = -32069;

/// Maximum length in bytes of a response without a body, but for the reason given with [`write_invalid`].
pub const MAX_SHORT_LENGTH: usize = 192;
/// Length of the line that [`write_success`] writes, beside the body in base64: at most this.
const MAX_SUCCESS_FRAME: usize = 80;

/// Maximum length in bytes of the response to a successful request with a body of `body` bytes.
#[must_use]
pub const fn max_success_length(body: usize) -> usize {
    MAX_SUCCESS_FRAME + body.div_ceil(3) * 4
}

/// Writes the response to a successful request, with the worker's response body unchanged.
pub fn write_success(out: &mut Vec<u8>, number: u64, body: &[u8]) {
    let head = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"content\":\"");
    out.extend_from_slice(head.as_bytes());
    let start = out.len();
    out.resize(start + body.len().div_ceil(3) * 4, 0);
    // Cannot fail: the slice has exactly the length of the encoded body.
    let _ = STANDARD.encode_slice(body, &mut out[start..]);
    out.extend_from_slice(b"\"}}\n");
}

/// Writes the rejection of a request that did not run. The client may retry it, after `retry_after` seconds if given.
pub fn write_rejected(out: &mut Vec<u8>, number: u64, retry_after: Option<f64>) {
    let milliseconds = retry_after.map(|seconds| (seconds * 1e3).ceil());
    let data = milliseconds.map_or(String::new(), |ms| format!(",\"data\":{{\"w\":{ms}}}"));
    write_error(out, &number.to_string(), REJECTED, "bounced: try again", &data);
}

/// Writes the failure of a request, which may or may not have taken effect.
pub fn write_failed(out: &mut Vec<u8>, number: u64) {
    write_error(out, &number.to_string(), FAILED, "terminated", "");
}

/// Writes the error response to an invalid line.
pub fn write_invalid(out: &mut Vec<u8>, number: Option<u64>, fault: &InputError) {
    let number = number.map_or("null".into(), |number| number.to_string());
    // Escaped as a JSON string; `write_error` adds the quotes.
    let message = Value::from(fault.to_string()).to_string();
    write_error(out, &number, INVALID_REQUEST, message.trim_matches('"'), "");
}

/// Writes the response to a health check (`probe`); `is_healthy` tells whether the router accepts requests.
pub fn write_health(out: &mut Vec<u8>, number: u64, is_healthy: bool) {
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"fit\":{is_healthy}}}}}\n");
    out.extend_from_slice(line.as_bytes());
}

fn write_error(out: &mut Vec<u8>, number: &str, code: i64, message: &str, data: &str) {
    let error = format!("{{\"code\":{code},\"message\":\"{message}\"{data}}}");
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"error\":{error}}}\n");
    out.extend_from_slice(line.as_bytes());
}
