//! Frames of a router: each function adds one to a buffer. `id` is what the worker's response will carry.

use super::layout::FROM_ROUTER;

/// Codes of a router's frames.
mod code {
    pub const ATTEMPT: u8 = 2;
    pub const CANCEL: u8 = 3;
    pub const PROBE: u8 = 4;
    pub const PROBE_WITH_LOAD: u8 = 5;
    pub const LOAD: u8 = 6;
    pub const UNLOAD: u8 = 8;
}

/// An attempt at a request, as its client put it.
pub struct Attempt<'s> {
    /// The id of the request.
    pub id: u64,
    /// The name of its profile.
    pub profile: &'s str,
    /// The name of the function.
    pub function: &'s str,
    /// The key by which workers know a repeat; empty for none.
    pub idempotency_key: &'s str,
    /// The body of the request.
    pub body: &'s [u8],
}

/// Sends an attempt; `remaining` are the seconds until it is cancelled.
pub fn write_attempt(out: &mut Vec<u8>, attempt: &Attempt<'_>, remaining: f64) {
    let Attempt { id, profile, function, idempotency_key, body } = *attempt;
    let budget_ms = (remaining * 1e3).max(1.0) as u64;
    let mut fields = format!("queue={profile},path={function},budget={budget_ms}");
    if !idempotency_key.is_empty() {
        fields += ",uniq=";
        fields += idempotency_key;
    }
    write_frame(out, code::ATTEMPT, id, &fields, body);
}

/// Cancels an attempt; nothing answers.
pub fn write_cancel(out: &mut Vec<u8>, id: u64) {
    write_frame(out, code::CANCEL, id, "", b"");
}

/// Asks whether the worker is healthy, and where `with_load` for its load report.
pub fn write_probe(out: &mut Vec<u8>, id: u64, with_load: bool) {
    let code = if with_load { code::PROBE_WITH_LOAD } else { code::PROBE };
    write_frame(out, code, id, "", b"");
}

/// Requests that at least so many instances of a function be loaded; 0 only asks how many there are.
pub fn write_load_request(out: &mut Vec<u8>, id: u64, function: &str, instances: u8) {
    write_frame(out, code::LOAD, id, &format!("path={function},n={instances}"), b"");
}

/// Unloads the idle instances of a function; nothing answers.
pub fn write_unload(out: &mut Vec<u8>, function: u64) {
    write_frame(out, code::UNLOAD, function, "", b"");
}

fn write_frame(out: &mut Vec<u8>, code: u8, id: u64, fields: &str, body: &[u8]) {
    out.extend_from_slice(&[FROM_ROUTER, code]);
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    let payload = out.len();
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(body);
    let checksum = crc32fast::hash(&out[payload..]);
    out.extend_from_slice(&checksum.to_be_bytes());
}
