//! The worker side: paths of the Open Inference Protocol (version 2 of KServe's REST API with its model
//! repository extension), and the few fields of ours for what it has no word for.

use crate::{InputError, field, is_name};
use http::HeaderMap;
use http::header::HeaderName;

/// On an answer: whether an instance stood loaded, and what became of the load otherwise.
pub static INSTANCE_STATE: HeaderName = HeaderName::from_static("milletpath-found");
/// On an answer: activations of the same function that the worker held when this one came.
pub static CONCURRENT_REQUESTS: HeaderName = HeaderName::from_static("milletpath-company");
/// On a refusal: the worker's own word that it never ran the activation.
pub static REJECTION: HeaderName = HeaderName::from_static("milletpath-refused");
/// On an order to load, and in its answer: instances to hold, and instances that stand.
pub static INSTANCES: HeaderName = HeaderName::from_static("milletpath-copies");
/// On a shot: seconds for which the answer is waited for.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("milletpath-left");
/// On a shot: the number of the shot, from 0.
pub static ATTEMPT: HeaderName = HeaderName::from_static("milletpath-shot");
/// Asks how a worker is.
pub const HEALTH_PATH: &str = "/v2/health/ready";

/// What a request line asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'p> {
    Infer(&'p str),
    Load(&'p str),
    Unload(&'p str),
    Ready,
}

/// What a worker's word on its instance can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    Loaded,
    LoadStarted,
    LoadAwaited,
    LoadFailed,
}

/// Why a worker turned an activation away unrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No room.
    Full,
    /// It is going away.
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

pub fn infer_path(function: &str) -> String {
    format!("/v2/models/{function}/infer")
}

pub fn load_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/load")
}

pub fn unload_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/unload")
}

/// Reads the path of a request to a worker.
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

/// The worker's word on its instance; one that is not known says nothing.
pub fn instance_state(headers: &HeaderMap) -> Option<InstanceState> {
    parse_word(headers, &INSTANCE_STATE, &INSTANCE_STATE_WORDS)
}

/// The worker's own word that nothing ran. Anything but the exact words proves nothing.
pub fn rejection(headers: &HeaderMap) -> Option<Rejection> {
    parse_word(headers, &REJECTION, &REJECTION_WORDS)
}

pub fn instance_state_word(state: InstanceState) -> &'static str {
    INSTANCE_STATE_WORDS.iter().find(|(_, f)| *f == state).map_or("", |(word, _)| word)
}

pub fn rejection_word(rejection: Rejection) -> &'static str {
    REJECTION_WORDS.iter().find(|(_, r)| *r == rejection).map_or("", |(word, _)| word)
}

fn parse_word<T: Copy>(headers: &HeaderMap, name: &HeaderName, words: &[(&str, T)]) -> Option<T> {
    let text = field(headers, name).ok()??;
    words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}

/// A count in a field of ours, up to a million.
pub fn count_field(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, InputError> {
    const MAX_COUNT: u32 = 1_000_000;
    let Some(text) = field(headers, name)? else { return Ok(None) };
    match text.parse::<u32>() {
        Ok(n) if n <= MAX_COUNT => Ok(Some(n)),
        _ => Err(InputError::new(name.as_str(), format!("is no number from 0 to {MAX_COUNT}"))),
    }
}
