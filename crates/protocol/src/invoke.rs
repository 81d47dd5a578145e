//! The invoke API for clients: `POST /v1/functions/{name}/activations` with a few header fields of its own. This module
//! only parses paths and header fields; the gateway decides what to do with them.

use crate::{InputError, field, is_name};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};

/// How long the client waits for a response: seconds, as a decimal number.
pub static TIMEOUT: HeaderName = HeaderName::from_static("milletpath-patience");
/// The profile of the request.
pub static PROFILE: HeaderName = HeaderName::from_static("milletpath-profile");
/// The client group.
pub static CLIENT_GROUP: HeaderName = HeaderName::from_static("milletpath-client");
/// Marks a request as the client's own retry.
pub static CLIENT_RETRY: HeaderName = HeaderName::from_static("milletpath-repeat");
/// The outcome, on every response: `handled` (succeeded), `bounced` (rejected without running, so a retry is safe) or
/// `terminated` (failed; the request may have run).
pub static OUTCOME: HeaderName = HeaderName::from_static("milletpath-outcome");
/// The id that the gateway assigned to the request, on every response.
pub static REQUEST_ID: HeaderName = HeaderName::from_static("milletpath-activation");
/// The idempotency key, by which workers recognize a retry (draft-ietf-httpapi-idempotency-key-header).
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The target of a request, by its method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'p> {
    /// Invokes the function with this name.
    Invoke(&'p str),
    /// The liveness check.
    Live,
    /// The readiness check.
    Ready,
}

/// Why a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The path does not exist: status 404.
    UnknownPath,
    /// The path supports only this method: status 405.
    MethodNotAllowed(&'static str),
    /// The function's name is invalid: status 400.
    InvalidFunctionName,
}

/// Routes a request by its method and path.
pub fn route<'p>(method: &Method, path: &'p str) -> Result<Route<'p>, RouteError> {
    let get = |route| match *method {
        Method::GET | Method::HEAD => Ok(route),
        _ => Err(RouteError::MethodNotAllowed("GET")),
    };
    match path {
        "/health/live" => return get(Route::Live),
        "/health/ready" => return get(Route::Ready),
        _ => {}
    }
    let name = path.strip_prefix("/v1/functions/").and_then(|rest| rest.strip_suffix("/activations"));
    let name = name.ok_or(RouteError::UnknownPath)?;
    if !is_name(name) {
        return Err(RouteError::InvalidFunctionName);
    }
    if *method == Method::POST { Ok(Route::Invoke(name)) } else { Err(RouteError::MethodNotAllowed("POST")) }
}

/// Returns the path to which requests for a function are posted.
pub fn request_path(function: &str) -> String {
    format!("/v1/functions/{function}/activations")
}

/// Reads how long the client waits, in seconds greater than 0; `None` if the field is absent. Values above one day are
/// reduced to one day.
pub fn timeout(headers: &HeaderMap) -> Result<Option<f64>, InputError> {
    const DAY: f64 = 86_400.0;
    let Some(text) = field(headers, &TIMEOUT)? else { return Ok(None) };
    let is_decimal = text.bytes().all(|c| c.is_ascii_digit() || c == b'.');
    let seconds = text.parse::<f64>().ok().filter(|s| is_decimal && s.is_finite() && *s > 0.0);
    seconds.map(|s| Some(s.min(DAY))).ok_or_else(|| {
        InputError::new(
            TIMEOUT.as_str(),
            format!("`{}` is no time; say seconds above 0, as 1.5", truncated(text)),
        )
    })
}

/// Reads a header field whose value must be a valid name; `None` if the field is absent.
pub fn name_field<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Result<Option<&'h str>, InputError> {
    match field(headers, name)? {
        Some(text) if !is_name(text) => Err(InputError::new(
            name.as_str(),
            format!("`{}` is no name; use letters, digits and -._~:", truncated(text)),
        )),
        other => Ok(other),
    }
}

/// Returns whether the client marks this request as its own retry, with `true` or the number of the retry.
pub fn is_client_retry(headers: &HeaderMap) -> Result<bool, InputError> {
    match field(headers, &CLIENT_RETRY)? {
        None | Some("0" | "false") => Ok(false),
        Some("true") => Ok(true),
        Some(text) if text.len() <= 9 && text.parse::<u32>().is_ok() => Ok(true),
        Some(text) => Err(InputError::new(
            CLIENT_RETRY.as_str(),
            format!("`{}` is neither true nor a number", truncated(text)),
        )),
    }
}

/// Reads the idempotency key: a structured string or a bare token of at most 255 characters. `None` if it is absent.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&HeaderValue>, InputError> {
    const MAX_CHARACTERS: usize = 255;
    match field(headers, &IDEMPOTENCY_KEY)? {
        None => Ok(None),
        Some(text) if text.is_empty() || text.len() > MAX_CHARACTERS => Err(InputError::new(
            IDEMPOTENCY_KEY.as_str(),
            format!("must have 1 to {MAX_CHARACTERS} characters"),
        )),
        Some(_) => Ok(headers.get(&IDEMPOTENCY_KEY)),
    }
}

/// Returns the value of `Retry-After` (RFC 9110, section 10.2.3): seconds rounded up, from 1 to one day.
pub fn retry_after(seconds: f64) -> u64 {
    seconds.clamp(0.0, 86_400.0).ceil().max(1.0) as u64
}

/// Truncates an invalid value for quoting in an error message, at a character boundary.
fn truncated(text: &str) -> &str {
    const MAX_QUOTED_BYTES: usize = 40;
    let end = (0..=text.len().min(MAX_QUOTED_BYTES)).rev().find(|&n| text.is_char_boundary(n));
    &text[..end.unwrap_or(0)]
}
