//! Codecs for the gateway's protocols, without sockets, state or decisions.
//!
//! Clients use the invoke API ([`invoke`], with errors as [`problem`] documents). Workers implement the Open Inference
//! Protocol with ORCA load reports ([`worker`], [`orca`]). The registry streams the endpoint list as lines of JSON
//! ([`registry`]). HTTP requests and responses are represented by the types of the `http` crate; this crate defines and
//! parses their paths and header fields.

pub mod invoke;
pub mod orca;
pub mod problem;
pub mod registry;
pub mod worker;

/// An error in input from outside the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputError {
    /// The invalid header field or part of a message.
    pub location: String,
    /// Why it is invalid and, if that is not obvious, what a valid value looks like.
    pub problem: String,
}

impl InputError {
    /// Creates an error for a location.
    pub fn new(location: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { location: location.into(), problem: problem.into() }
    }
}

impl std::fmt::Display for InputError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl std::error::Error for InputError {}

/// Returns whether `text` is a valid name of a function, profile, client group or worker: 1 to 128 characters, each an
/// unreserved character of RFC 3986 or `:`. These need no escaping in a path, a header or a log line. `.` and `..` are
/// not valid, because they have a meaning in paths.
pub fn is_name(text: &str) -> bool {
    const MAX_BYTES: usize = 128;
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'.' | b'_' | b'~' | b':');
    (1..=MAX_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) && text != "." && text != ".."
}

/// Returns the value of a header field as text without surrounding whitespace; `None` if the field is absent.
///
/// # Errors
///
/// The field occurs more than once, or its value is not visible ASCII.
pub fn field<'h>(
    headers: &'h http::HeaderMap,
    name: &http::HeaderName,
) -> Result<Option<&'h str>, InputError> {
    let mut all = headers.get_all(name).iter();
    let Some(value) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(InputError::new(name.as_str(), "comes more than once; send it once"));
    }
    let text = value.to_str().map_err(|_| InputError::new(name.as_str(), "is no visible ASCII text"))?;
    Ok(Some(text.trim()))
}
