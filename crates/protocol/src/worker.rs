//! The worker side: paths of the Open Inference Protocol (version 2 of KServe's REST API with its model
//! repository extension), and the few fields of ours for what it has no word for.

use crate::{Fault, field, is_name};
use http::HeaderMap;
use http::header::HeaderName;

/// On an answer: whether an instance stood loaded, and what became of the load otherwise.
pub static FOUND: HeaderName = HeaderName::from_static("milletpath-found");
/// On an answer: activations of the same function that the worker held when this one came.
pub static COMPANY: HeaderName = HeaderName::from_static("milletpath-company");
/// On a refusal: the worker's own word that it never ran the activation.
pub static REFUSED: HeaderName = HeaderName::from_static("milletpath-refused");
/// On an order to load, and in its answer: instances to hold, and instances that stand.
pub static COPIES: HeaderName = HeaderName::from_static("milletpath-copies");
/// On a shot: seconds for which the answer is waited for.
pub static LEFT: HeaderName = HeaderName::from_static("milletpath-left");
/// On a shot: the number of the shot, from 0.
pub static SHOT: HeaderName = HeaderName::from_static("milletpath-shot");
/// Asks how a worker is.
pub const READY: &str = "/v2/health/ready";

/// What a request line asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted<'p> {
    Infer(&'p str),
    Load(&'p str),
    Unload(&'p str),
    Ready,
}

/// What a worker's word on its instance can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Loaded,
    Began,
    Awaited,
    Failed,
}

/// Why a worker turned an activation away unrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No room.
    Full,
    /// It is going away.
    Draining,
    /// The function is not loaded there, or its load failed.
    Missing,
}

const FOUNDS: [(&str, Found); 4] = [
    ("loaded", Found::Loaded),
    ("began", Found::Began),
    ("awaited", Found::Awaited),
    ("failed", Found::Failed),
];
const REFUSALS: [(&str, Refused); 3] =
    [("full", Refused::Full), ("draining", Refused::Draining), ("missing", Refused::Missing)];

pub fn infer(function: &str) -> String {
    format!("/v2/models/{function}/infer")
}

pub fn load(function: &str) -> String {
    format!("/v2/repository/models/{function}/load")
}

pub fn unload(function: &str) -> String {
    format!("/v2/repository/models/{function}/unload")
}

/// Reads the path of a request to a worker.
pub fn wanted(path: &str) -> Option<Wanted<'_>> {
    if path == READY {
        return Some(Wanted::Ready);
    }
    let (wanted, name) = if let Some(rest) = path.strip_prefix("/v2/models/") {
        let name = rest.strip_suffix("/infer")?;
        (Wanted::Infer(name), name)
    } else {
        let (name, act) = path.strip_prefix("/v2/repository/models/")?.rsplit_once('/')?;
        match act {
            "load" => (Wanted::Load(name), name),
            "unload" => (Wanted::Unload(name), name),
            _ => return None,
        }
    };
    is_name(name).then_some(wanted)
}

/// The worker's word on its instance; one that is not known says nothing.
pub fn found(headers: &HeaderMap) -> Option<Found> {
    word(headers, &FOUND, &FOUNDS)
}

/// The worker's own word that nothing ran. Anything but the exact words proves nothing.
pub fn refused(headers: &HeaderMap) -> Option<Refused> {
    word(headers, &REFUSED, &REFUSALS)
}

pub fn found_word(found: Found) -> &'static str {
    FOUNDS.iter().find(|(_, f)| *f == found).map_or("", |(word, _)| word)
}

pub fn refused_word(refused: Refused) -> &'static str {
    REFUSALS.iter().find(|(_, r)| *r == refused).map_or("", |(word, _)| word)
}

fn word<T: Copy>(headers: &HeaderMap, name: &HeaderName, words: &[(&str, T)]) -> Option<T> {
    let text = field(headers, name).ok()??;
    words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}

/// A count in a field of ours, up to a million.
pub fn count(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, Fault> {
    const MOST: u32 = 1_000_000;
    let Some(text) = field(headers, name)? else { return Ok(None) };
    match text.parse::<u32>() {
        Ok(n) if n <= MOST => Ok(Some(n)),
        _ => Err(Fault::new(name.as_str(), format!("is no number from 0 to {MOST}"))),
    }
}
