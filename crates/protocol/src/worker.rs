//! The protocol of workers: paths of the Open Inference Protocol (version 2 of KServe's REST API with its model repository
//! extension), and header fields of its own for what that protocol does not define.

use crate::{InputError, field, is_name};
use http::HeaderMap;
use http::header::HeaderName;

/// On a response: whether an instance was loaded, and otherwise the state of its load.
pub static INSTANCE_STATE: HeaderName = HeaderName::from_static("milletpath-found");
/// On a response: requests of the same function that the worker had in flight when this one arrived.
pub static CONCURRENT_REQUESTS: HeaderName = HeaderName::from_static("milletpath-company");
/// On a rejection: the worker's statement that it never ran the request.
pub static REJECTION: HeaderName = HeaderName::from_static("milletpath-refused");
/// On a load request: instances to load. On its response: instances that are loaded.
pub static INSTANCES: HeaderName = HeaderName::from_static("milletpath-copies");
/// On an attempt: seconds for which the gateway waits for the response.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("milletpath-left");
/// On an attempt: its number among the attempts of the request, from 0.
pub static ATTEMPT: HeaderName = HeaderName::from_static("milletpath-shot");
/// The path of health checks.
pub const HEALTH_PATH: &str = "/v2/health/ready";

/// What the path of a request to a worker asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'p> {
    /// Run the function with this name.
    Infer(&'p str),
    /// Load it.
    Load(&'p str),
    /// Unload it.
    Unload(&'p str),
    /// Respond to a health check.
    Ready,
}

/// The state of the function's instance on the worker when a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It was loaded.
    Loaded,
    /// The request started its load.
    LoadStarted,
    /// The request waited for a load that was in progress.
    LoadAwaited,
    /// Its load failed.
    LoadFailed,
}

/// Why a worker rejected a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its queue or memory is full.
    Full,
    /// It drains before it stops.
    Draining,
    /// The function is not loaded there, or its load failed.
    NotLoaded,
}

const INSTANCE_STATE_WORDS: [(&str, InstanceState); 4] = [
    ("loaded", InstanceState::Loaded),
    ("began", InstanceState::LoadStarted),
    ("awaited", InstanceState::LoadAwaited),
    ("failed", InstanceState::LoadFailed),
];
const REJECTION_WORDS: [(&str, Rejection); 3] =
    [("full", Rejection::Full), ("draining", Rejection::Draining), ("missing", Rejection::NotLoaded)];

/// The path at which a function runs.
pub fn infer_path(function: &str) -> String {
    format!("/v2/models/{function}/infer")
}

/// The path of load requests for a function.
pub fn load_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/load")
}

/// The path of unload requests for a function.
pub fn unload_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/unload")
}

/// Routes a request to a worker by its path; none where there is no such path.
pub fn route(path: &str) -> Option<Route<'_>> {
    if path == HEALTH_PATH {
        return Some(Route::Ready);
    }
    let (route, name) = if let Some(rest) = path.strip_prefix("/v2/models/") {
        let name = rest.strip_suffix("/infer")?;
        (Route::Infer(name), name)
    } else {
        let (name, action) = path.strip_prefix("/v2/repository/models/")?.rsplit_once('/')?;
        match action {
            "load" => (Route::Load(name), name),
            "unload" => (Route::Unload(name), name),
            _ => return None,
        }
    };
    is_name(name).then_some(route)
}

/// The instance's state as the worker reported it; none where the field is absent or its word is not known.
pub fn instance_state(headers: &HeaderMap) -> Option<InstanceState> {
    parse_word(headers, &INSTANCE_STATE, &INSTANCE_STATE_WORDS)
}

/// The worker's statement that nothing ran; none for anything but the exact words, as that proves nothing.
pub fn rejection(headers: &HeaderMap) -> Option<Rejection> {
    parse_word(headers, &REJECTION, &REJECTION_WORDS)
}

/// The word of a state in the header field.
pub fn instance_state_word(state: InstanceState) -> &'static str {
    INSTANCE_STATE_WORDS.iter().find(|(_, f)| *f == state).map_or("", |(word, _)| word)
}

/// The word of a rejection in the header field.
pub fn rejection_word(rejection: Rejection) -> &'static str {
    REJECTION_WORDS.iter().find(|(_, r)| *r == rejection).map_or("", |(word, _)| word)
}

fn parse_word<T: Copy>(headers: &HeaderMap, name: &HeaderName, words: &[(&str, T)]) -> Option<T> {
    let text = field(headers, name).ok()??;
    words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}

/// A field that holds a count, up to a million; none where it is absent.
pub fn count_field(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, InputError> {
    const MAX_COUNT: u32 = 1_000_000;
    let Some(text) = field(headers, name)? else { return Ok(None) };
    match text.parse::<u32>() {
        Ok(n) if n <= MAX_COUNT => Ok(Some(n)),
        _ => Err(InputError::new(name.as_str(), format!("is no number from 0 to {MAX_COUNT}"))),
    }
}
