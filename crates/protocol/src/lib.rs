//! What goes over sockets, parsed and written; no sockets, no state, no decisions. Clients speak the invoke API
//! ([`invoke`], [`problem`]), workers the Open Inference Protocol with ORCA load reports ([`worker`], [`orca`]),
//! the registry lines of JSON ([`registry`]). Messages get no types: a decoded field is handed to the caller.

pub mod invoke;
pub mod orca;
pub mod problem;
pub mod registry;
pub mod worker;

/// Why bytes from outside are no use: what is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputError {
    /// The field or part that is wrong.
    pub location: String,
    pub problem: String,
}

impl InputError {
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

/// Names of functions, profiles, client groups and workers: unreserved characters of RFC 3986 and `:`, at most
/// 128 of them, so that they stand in a path, a header and a log line as they are.
pub fn is_name(text: &str) -> bool {
    const MAX_BYTES: usize = 128;
    let fits = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'.' | b'_' | b'~' | b':');
    (1..=MAX_BYTES).contains(&text.len()) && text.bytes().all(fits) && text != "." && text != ".."
}

/// A header field's one value as text; none where it is absent, a fault where it comes twice or is no text.
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
