//! Codecs of the gateway's own protocols; no sockets, no state, no decisions.
//!
//! Clients use the invoke API ([`invoke`], errors as [`problem`] documents), workers the Open Inference Protocol with ORCA
//! load reports ([`worker`], [`orca`]), and the registry streams the endpoint list as lines of JSON ([`registry`]). Requests
//! and responses are those of the `http` crate: the functions here read and name their parts.

pub mod invoke;
pub mod orca;
pub mod problem;
pub mod registry;
pub mod worker;

/// Why input from outside the process can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputError {
    /// The header field, or the part of the message, that is wrong.
    pub location: String,
    /// What is wrong with it and, where that is not obvious, what would be right.
    pub problem: String,
}

impl InputError {
    /// An error at a location.
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

/// Whether a text may be the name of a function, profile, client group or worker: 1 to 128 unreserved characters of
/// RFC 3986 and `:`, which need no escapes in a path, a header or a log line.
pub fn is_name(text: &str) -> bool {
    const MAX_BYTES: usize = 128;
    let fits = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'.' | b'_' | b'~' | b':');
    (1..=MAX_BYTES).contains(&text.len()) && text.bytes().all(fits) && text != "." && text != ".."
}

/// A header field's only value as text, without surrounding blanks; none where the field is absent. A field that occurs
/// twice, or whose value is not visible ASCII, is an error.
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
