//! The invoke API, which clients use: `POST /v1/functions/{name}/activations` with a few header fields of its own. Paths and
//! fields are read here; the gateway decides what follows from them.

use crate::{InputError, field, is_name};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};

/// How long the client waits for a response, in seconds with fractions.
pub static TIMEOUT: HeaderName = HeaderName::from_static("milletpath-patience");
/// The profile of the request.
pub static PROFILE: HeaderName = HeaderName::from_static("milletpath-profile");
/// The client's group.
pub static CLIENT_GROUP: HeaderName = HeaderName::from_static("milletpath-client");
/// Marks a retry by the client itself.
pub static CLIENT_RETRY: HeaderName = HeaderName::from_static("milletpath-repeat");
/// The outcome, on every response: `handled` (succeeded), `bounced` (rejected; a retry does no harm) or `terminated` (failed;
/// it may have run).
pub static OUTCOME: HeaderName = HeaderName::from_static("milletpath-outcome");
/// The gateway's id of the request, on every response.
pub static REQUEST_ID: HeaderName = HeaderName::from_static("milletpath-activation");
/// The idempotency key, by which workers recognize a retry (draft-ietf-httpapi-idempotency-key-header).
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What the method and path of a request ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'p> {
    /// An invocation of the function with this name.
    Invoke(&'p str),
    /// The liveness check.
    Live,
    /// The readiness check.
    Ready,
}

/// Why a request can't be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// There is no such path: status 404.
    UnknownPath,
    /// The path has this method only: status 405.
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

/// The path to which a function's requests are posted.
pub fn request_path(function: &str) -> String {
    format!("/v1/functions/{function}/activations")
}

/// How long the client waits, in seconds above 0; none where the field is absent. More than a day counts as a day.
pub fn timeout(headers: &HeaderMap) -> Result<Option<f64>, InputError> {
    const DAY: f64 = 86_400.0;
    let Some(text) = field(headers, &TIMEOUT)? else { return Ok(None) };
    let plain = text.bytes().all(|c| c.is_ascii_digit() || c == b'.');
    let seconds = text.parse::<f64>().ok().filter(|s| plain && s.is_finite() && *s > 0.0);
    seconds.map(|s| Some(s.min(DAY))).ok_or_else(|| {
        InputError::new(
            TIMEOUT.as_str(),
            format!("`{}` is no time; say seconds above 0, as 1.5", truncated(text)),
        )
    })
}

/// A field whose value is a name; none where it is absent.
pub fn name_field<'h>(headers: &'h HeaderMap, which: &HeaderName) -> Result<Option<&'h str>, InputError> {
    match field(headers, which)? {
        Some(text) if !is_name(text) => Err(InputError::new(
            which.as_str(),
            format!("`{}` is no name; use letters, digits and -._~:", truncated(text)),
        )),
        other => Ok(other),
    }
}

/// Whether the client marks this request as a retry of its own: `1`, `true` or the number of the retry.
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

/// The idempotency key: a structured string or a bare token of at most 255 characters.
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

/// The value of `Retry-After` (RFC 9110, 10.2.3): seconds, rounded up, 1 at least.
pub fn retry_after(seconds: f64) -> u64 {
    seconds.clamp(0.0, 86_400.0).ceil().max(1.0) as u64
}

/// The start of an invalid text, as far as an error message may quote it.
fn truncated(text: &str) -> &str {
    const MAX_QUOTED_BYTES: usize = 40;
    let end = (0..=text.len().min(MAX_QUOTED_BYTES)).rev().find(|&n| text.is_char_boundary(n));
    &text[..end.unwrap_or(0)]
}
