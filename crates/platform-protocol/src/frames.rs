//! Worker frames: a head of 16 bytes, fields, body, and a checksum of both. A frame is believed only where mark,
//! code, lengths, id and checksum hold; its lengths are bounded before anything is set aside for it.

use milletpath_policy::host::{Outcome, Report};
use milletpath_protocol::Fault;

const HEADER_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;
const FROM_ROUTER: u8 = 126;
const FROM_WORKER: u8 = 127;
/// Bytes of the fields and of the body of an answer, at most: several times what one is seen to have.
pub const MAX_FIELDS: usize = 4 << 10;
pub const MAX_RESPONSE_BODY: usize = 256 << 10;

fn write_frame(out: &mut Vec<u8>, code: u8, id: u64, fields: &str, body: &[u8]) {
    out.extend_from_slice(&[FROM_ROUTER, code]);
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    let at = out.len();
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(body);
    let check = crc32fast::hash(&out[at..]);
    out.extend_from_slice(&check.to_be_bytes());
}

/// What a shot is made of, as its client put it.
pub struct Attempt<'s> {
    pub id: u64,
    pub profile: &'s str,
    pub function: &'s str,
    /// The mark by which a repeat is known; empty for none.
    pub idempotency_key: &'s str,
    pub body: &'s [u8],
}

/// A shot; `left` are the seconds until it is given up.
pub fn write_attempt(out: &mut Vec<u8>, attempt: &Attempt<'_>, left: f64) {
    let Attempt { id, profile, function, idempotency_key, body } = *attempt;
    let budget = (left * 1e3).max(1.0) as u64;
    let mut fields = format!("queue={profile},path={function},budget={budget}");
    if !idempotency_key.is_empty() {
        fields += ",uniq=";
        fields += idempotency_key;
    }
    write_frame(out, 2, id, &fields, body);
}

/// Gives a shot up; nothing answers.
pub fn write_cancel(out: &mut Vec<u8>, id: u64) {
    write_frame(out, 3, id, "", b"");
}

/// Asks whether the worker is there, and where `load` is wanted how it is.
pub fn write_probe(out: &mut Vec<u8>, id: u64, load: bool) {
    write_frame(out, if load { 5 } else { 4 }, id, "", b"");
}

/// Orders instances; 0 only asks.
pub fn write_load_request(out: &mut Vec<u8>, id: u64, function: &str, instances: u8) {
    write_frame(out, 6, id, &format!("path={function},n={instances}"), b"");
}

/// Unloads idle instances; nothing answers.
pub fn write_unload(out: &mut Vec<u8>, function: u64) {
    write_frame(out, 8, function, "", b"");
}

/// What a worker answered. Fields that it did not send are as the page says that they are then.
#[derive(Debug)]
pub struct WorkerResponse<'b> {
    pub id: u64,
    /// How a shot or an order ended; for a probe, whether the worker is well.
    pub outcome: Outcome,
    pub probe: bool,
    pub concurrent_calls: f64,
    pub instances: u8,
    pub report: Option<Report>,
    pub body: &'b [u8],
}

/// Reads the first whole answer in the bytes, and how many of them it took; none while it is not whole.
pub fn read(bytes: &[u8]) -> Result<Option<(WorkerResponse<'_>, usize)>, Fault> {
    let fault = |field: &str, problem: &str| Err(Fault::new(field, problem));
    // Each part is judged as soon as it is there: what can't be read is not waited for.
    if bytes.first().is_some_and(|first| *first != FROM_WORKER) {
        return fault("mark", "is not a worker's");
    }
    let Some(&code) = bytes.get(1) else { return Ok(None) };
    let (outcome, probe) = match code {
        200 => (Outcome::Handled, false),
        202 => (Outcome::Missed, false),
        203 => (Outcome::Full, false),
        204 => (Outcome::Failed, false),
        205 => (Outcome::Unsent, false),
        206 => (Outcome::Handled, true),
        207 => (Outcome::Failed, true),
        _ => return fault("code", "is unknown"),
    };
    let Some((head, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if fields > MAX_FIELDS || length > MAX_RESPONSE_BODY {
        return fault("length", "is past its bound");
    }
    let Some((payload, after)) = rest.split_at_checked(fields + length) else { return Ok(None) };
    let Some(check) = after.first_chunk::<CHECKSUM_BYTES>() else { return Ok(None) };
    if crc32fast::hash(payload) != u32::from_be_bytes(*check) {
        return fault("check", "does not match");
    }
    let (fields, body) = payload.split_at(fields);
    let Ok(fields) = std::str::from_utf8(fields) else { return fault("fields", "are no text") };
    let mut id = [0; 8];
    id.copy_from_slice(&head[8..]);
    let mut answer = WorkerResponse {
        id: u64::from_be_bytes(id),
        outcome,
        probe,
        concurrent_calls: 0.0,
        instances: 0,
        report: None,
        body,
    };
    for (name, value) in fields.split(',').filter_map(|part| part.split_once('=')) {
        match name {
            "same" => answer.concurrent_calls = plausible_number(value).unwrap_or(0.0),
            "n" => answer.instances = plausible_number(value).unwrap_or(0.0) as u8,
            "use" => {
                let mut report = Report::default();
                for (name, value) in value.split(';').filter_map(|part| part.split_once(':')) {
                    if let Some(value) = plausible_number(value) {
                        milletpath_platform_settings::set_report_value(&mut report, name, value);
                    }
                }
                answer.report = Some(report);
            }
            _ => {}
        }
    }
    Ok(Some((answer, HEADER_BYTES + payload.len() + CHECKSUM_BYTES)))
}

/// A figure of sense: what a worker of any size could say.
fn plausible_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| (0.0..=1e9).contains(x))
}
