//! The protocol between gateway and workers: the paths of the Open Inference Protocol (version 2 of KServe's REST API
//! with its model repository extension), and additional header fields for what that protocol does not define.

use crate::{InputError, field, is_name};
use http::HeaderMap;
use http::header::HeaderName;

/// On a response: whether an instance was loaded when the request arrived; if not, the state of its load.
pub static INSTANCE_STATE: HeaderName = HeaderName::from_static("milletpath-found");
/// On a response: how many requests for the same function were in flight on the worker when this one arrived.
pub static CONCURRENT_REQUESTS: HeaderName = HeaderName::from_static("milletpath-company");
/// On a rejection: why the worker rejected the request, which also confirms that it did not run it.
pub static REJECTION: HeaderName = HeaderName::from_static("milletpath-refused");
/// On a load request: the number of instances to load. On its response: the number of loaded instances.
pub static INSTANCES: HeaderName = HeaderName::from_static("milletpath-copies");
/// On an attempt: how many seconds the gateway waits for the response.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("milletpath-left");
/// On an attempt: its number among the attempts of the request, starting at 0.
pub static ATTEMPT: HeaderName = HeaderName::from_static("milletpath-shot");
/// The path of health checks.
pub const HEALTH_PATH: &str = "/v2/health/ready";

/// The operation that a request to a worker asks for, by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'p> {
    /// Run the function with this name.
    Infer(&'p str),
    /// Load the function.
    Load(&'p str),
    /// Unload the function.
    Unload(&'p str),
    /// Respond to a health check.
    Ready,
}

/// The state of the function's instance on the worker when a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// An instance was loaded.
    Loaded,
    /// The request started a load.
    LoadStarted,
    /// The request waited for a load in progress.
    LoadAwaited,
    /// The load failed.
    LoadFailed,
}

/// Why a worker rejected a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker's queue or memory is full.
    Full,
    /// The worker is draining before it stops.
    Draining,
    /// The function is not loaded on the worker, or its load failed.
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

/// Returns the path for running a function.
pub fn infer_path(function: &str) -> String {
    format!("/v2/models/{function}/infer")
}

/// Returns the path for loading a function.
pub fn load_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/load")
}

/// Returns the path for unloading a function.
pub fn unload_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/unload")
}

/// Routes a request to a worker by its path; returns `None` if there is no such path.
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

/// Reads the instance state that the worker reported; `None` if the field is absent or its value is unknown.
pub fn instance_state(headers: &HeaderMap) -> Option<InstanceState> {
    parse_word(headers, &INSTANCE_STATE, &INSTANCE_STATE_WORDS)
}

/// Reads why the worker rejected the request. Returns `None` unless the value matches exactly, because only an exact
/// value proves that the request did not run.
pub fn rejection(headers: &HeaderMap) -> Option<Rejection> {
    parse_word(headers, &REJECTION, &REJECTION_WORDS)
}

/// Returns the value of the header field for an instance state.
pub fn instance_state_word(state: InstanceState) -> &'static str {
    INSTANCE_STATE_WORDS.iter().find(|(_, s)| *s == state).map_or("", |(word, _)| word)
}

/// Returns the value of the header field for a rejection.
pub fn rejection_word(rejection: Rejection) -> &'static str {
    REJECTION_WORDS.iter().find(|(_, r)| *r == rejection).map_or("", |(word, _)| word)
}

fn parse_word<T: Copy>(headers: &HeaderMap, name: &HeaderName, words: &[(&str, T)]) -> Option<T> {
    let text = field(headers, name).ok()??;
    words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}

/// Reads a header field with a count of up to one million; `None` if it is absent.
pub fn count_field(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, InputError> {
    const MAX_COUNT: u32 = 1_000_000;
    let Some(text) = field(headers, name)? else { return Ok(None) };
    match text.parse::<u32>() {
        Ok(n) if n <= MAX_COUNT => Ok(Some(n)),
        _ => Err(InputError::new(name.as_str(), format!("is not an integer from 0 to {MAX_COUNT}"))),
    }
}
