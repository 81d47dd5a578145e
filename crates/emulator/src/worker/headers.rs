//! Header fields in which emulated clients describe a request to emulated workers. Gateways forward them without
//! reading them.

use http::{HeaderMap, HeaderName};
use milletpath_protocol::field;

/// The numbers of the call and of the client's attempt, as `17.0`.
pub static CALL: HeaderName = HeaderName::from_static("standin-call");
/// Seconds of work on a core of speed 1.
pub static WORK: HeaderName = HeaderName::from_static("standin-work");
/// Seconds of waiting for I/O after the work.
pub static IO: HeaderName = HeaderName::from_static("standin-io");
/// The number of the client's group.
pub static GROUP: HeaderName = HeaderName::from_static("standin-group");
/// The size of the response body in bytes.
pub static RESPONSE_BYTES: HeaderName = HeaderName::from_static("standin-answer");

/// A header field as text.
pub(super) fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    field(headers, name).ok().flatten()
}

/// A header field as a number.
pub(super) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    text(headers, name)?.parse().ok()
}

/// The numbers of the call and the attempt; a call number that no call has if the field is missing or invalid.
pub(super) fn call_and_attempt(headers: &HeaderMap) -> (u64, u32) {
    let parse = |text: &str| {
        let (call, attempt) = text.split_once('.')?;
        Some((call.parse().ok()?, attempt.parse().ok()?))
    };
    text(headers, &CALL).and_then(parse).unwrap_or((u64::MAX, 0))
}
