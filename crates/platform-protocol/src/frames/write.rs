//! Encodes frames from a router. Each function appends one frame to a buffer; the worker's response carries the same
//! `id`.

use super::layout::FROM_ROUTER;

/// Codes of frames from a router.
mod code {
    pub const ATTEMPT: u8 = 2;
    pub const CANCEL: u8 = 3;
    pub const PROBE: u8 = 4;
    pub const PROBE_WITH_LOAD: u8 = 5;
    pub const LOAD: u8 = 6;
    pub const UNLOAD: u8 = 8;
}

/// An attempt to execute a client's request.
pub struct Attempt<'s> {
    /// The request id.
    pub id: u64,
    /// The name of the request's profile.
    pub profile: &'s str,
    /// The name of the function.
    pub function: &'s str,
    /// The key by which workers recognize a retry; empty if there is none.
    pub idempotency_key: &'s str,
    /// The request body.
    pub body: &'s [u8],
}

/// Writes an attempt; `remaining` is the time in seconds until the router cancels it.
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

/// Writes the cancellation of an attempt. Workers do not respond to it.
pub fn write_cancel(out: &mut Vec<u8>, id: u64) {
    write_frame(out, code::CANCEL, id, "", b"");
}

/// Writes a health check, which also requests a load report if `with_load` is set.
pub fn write_probe(out: &mut Vec<u8>, id: u64, with_load: bool) {
    let code = if with_load { code::PROBE_WITH_LOAD } else { code::PROBE };
    write_frame(out, code, id, "", b"");
}

/// Writes a request to load a function until it has at least `instances` instances. 0 only queries their number.
pub fn write_load_request(out: &mut Vec<u8>, id: u64, function: &str, instances: u8) {
    write_frame(out, code::LOAD, id, &format!("path={function},n={instances}"), b"");
}

/// Writes a request to unload the idle instances of a function. Workers do not respond to it.
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
