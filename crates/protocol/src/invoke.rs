//! The invoke API as clients speak it: `POST /v1/functions/{name}/activations` with a few header fields of ours.
//! Paths and fields are read here; what they mean is for the gateway.

use crate::{Fault, field, is_name};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};

/// Seconds, with fractions, until the client gives up.
pub static PATIENCE: HeaderName = HeaderName::from_static("milletpath-patience");
pub static PROFILE: HeaderName = HeaderName::from_static("milletpath-profile");
/// The client's group.
pub static CLIENT: HeaderName = HeaderName::from_static("milletpath-client");
/// A client's own further try.
pub static REPEAT: HeaderName = HeaderName::from_static("milletpath-repeat");
/// `handled`, `bounced` or `terminated`; on every answer.
pub static OUTCOME: HeaderName = HeaderName::from_static("milletpath-outcome");
pub static ACTIVATION: HeaderName = HeaderName::from_static("milletpath-activation");
/// The mark by which workers know a repeat (draft-ietf-httpapi-idempotency-key-header).
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What a request line asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted<'p> {
    /// One activation of the function.
    Activation(&'p str),
    /// Whether the process lives.
    Live,
    /// Whether it takes work.
    Ready,
}

/// Why a request line asks for nothing that there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// Answered with 404.
    Path,
    /// Answered with 405; the method that the path has.
    Method(&'static str),
    /// Answered with 400: the function's name is none.
    Name,
}

/// Reads a request line's method and path.
pub fn wanted<'p>(method: &Method, path: &'p str) -> Result<Wanted<'p>, Unknown> {
    let get = |wanted| match *method {
        Method::GET | Method::HEAD => Ok(wanted),
        _ => Err(Unknown::Method("GET")),
    };
    match path {
        "/health/live" => return get(Wanted::Live),
        "/health/ready" => return get(Wanted::Ready),
        _ => {}
    }
    let name = path.strip_prefix("/v1/functions/").and_then(|rest| rest.strip_suffix("/activations"));
    let name = name.ok_or(Unknown::Path)?;
    if !is_name(name) {
        return Err(Unknown::Name);
    }
    if *method == Method::POST { Ok(Wanted::Activation(name)) } else { Err(Unknown::Method("POST")) }
}

/// The path of a function's activations.
pub fn path(function: &str) -> String {
    format!("/v1/functions/{function}/activations")
}

/// Seconds until the client gives up, above 0; none where it does not say. More than a day counts as a day.
pub fn patience(headers: &HeaderMap) -> Result<Option<f64>, Fault> {
    const DAY: f64 = 86_400.0;
    let Some(text) = field(headers, &PATIENCE)? else { return Ok(None) };
    let plain = text.bytes().all(|c| c.is_ascii_digit() || c == b'.');
    let seconds = text.parse::<f64>().ok().filter(|s| plain && s.is_finite() && *s > 0.0);
    seconds.map(|s| Some(s.min(DAY))).ok_or_else(|| {
        Fault::new(PATIENCE.as_str(), format!("`{}` is no time; say seconds above 0, as 1.5", short(text)))
    })
}

/// A field that holds a name.
pub fn name<'h>(headers: &'h HeaderMap, which: &HeaderName) -> Result<Option<&'h str>, Fault> {
    match field(headers, which)? {
        Some(text) if !is_name(text) => Err(Fault::new(
            which.as_str(),
            format!("`{}` is no name; use letters, digits and -._~:", short(text)),
        )),
        other => Ok(other),
    }
}

/// Whether the client marks this as a further try of its own: `1`, `true` or the number of the try.
pub fn repeat(headers: &HeaderMap) -> Result<bool, Fault> {
    match field(headers, &REPEAT)? {
        None | Some("0" | "false") => Ok(false),
        Some("true") => Ok(true),
        Some(text) if text.len() <= 9 && text.parse::<u32>().is_ok() => Ok(true),
        Some(text) => {
            Err(Fault::new(REPEAT.as_str(), format!("`{}` is neither true nor a number", short(text))))
        }
    }
}

/// The mark of a receipted activation: a structured string or a bare token, at most 255 characters.
pub fn key(headers: &HeaderMap) -> Result<Option<&HeaderValue>, Fault> {
    const LONGEST: usize = 255;
    match field(headers, &IDEMPOTENCY_KEY)? {
        None => Ok(None),
        Some(text) if text.is_empty() || text.len() > LONGEST => {
            Err(Fault::new(IDEMPOTENCY_KEY.as_str(), format!("must have 1 to {LONGEST} characters")))
        }
        Some(_) => Ok(headers.get(&IDEMPOTENCY_KEY)),
    }
}

/// Whole seconds for `Retry-After` (RFC 9110, 10.2.3): never sooner than advised.
pub fn retry_after(come_back: f64) -> u64 {
    come_back.clamp(0.0, 86_400.0).ceil().max(1.0) as u64
}

/// So much of a senseless text as a message may repeat.
fn short(text: &str) -> &str {
    const MOST: usize = 40;
    let end = (0..=text.len().min(MOST)).rev().find(|&n| text.is_char_boundary(n));
    &text[..end.unwrap_or(0)]
}
