//! Frames of a worker: its responses to attempts, load requests and health checks.

use super::layout::{CHECKSUM_BYTES, FROM_WORKER, HEADER_BYTES};
use milletpath_platform_settings::set_report_value;
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::InputError;
use std::ops::RangeInclusive;

/// Bytes of the fields of a response, at most: several times what is seen in practice.
pub const MAX_FIELDS: usize = 4 << 10;
/// Bytes of the body of a response, at most.
pub const MAX_RESPONSE_BODY: usize = 256 << 10;
/// Numbers that a worker of any size could report; others are left out.
const PLAUSIBLE_NUMBERS: RangeInclusive<f64> = 0.0..=1e9;

/// What a worker responded. Fields that it did not send have the values that the platform documents for that case.
#[derive(Debug)]
pub struct WorkerResponse<'b> {
    /// The id of the frame that is answered.
    pub id: u64,
    /// How an attempt or a load request ended; for a health check, whether the worker is healthy.
    pub outcome: Outcome,
    /// Whether a health check is answered.
    pub probe: bool,
    /// Calls that ran on the same instance at the same time.
    pub concurrent_calls: f64,
    /// Instances of the function that are loaded.
    pub instances: u8,
    /// The worker's load, where it was reported.
    pub report: Option<LoadReport>,
    /// The body of the response.
    pub body: &'b [u8],
}

/// A response, and the bytes that it takes in the stream.
#[derive(Debug)]
pub struct Frame<'b> {
    /// What it says.
    pub response: WorkerResponse<'b>,
    /// Bytes of the whole frame.
    pub length: usize,
}

/// The header of a frame.
struct Header {
    outcome: Outcome,
    probe: bool,
    fields: usize,
    body: usize,
    id: u64,
}

/// Reads the first frame in the bytes; none while it is not complete. Each part is checked as soon as it is there, so that
/// nobody waits for the rest of a frame that can't be read.
pub fn read(bytes: &[u8]) -> Result<Option<Frame<'_>>, InputError> {
    let Some(header) = read_header(bytes)? else { return Ok(None) };
    let Some(rest) = bytes.get(HEADER_BYTES..) else { return Ok(None) };
    let payload_bytes = header.fields + header.body;
    let Some((payload, rest)) = rest.split_at_checked(payload_bytes) else { return Ok(None) };
    let Some(checksum) = rest.first_chunk::<CHECKSUM_BYTES>() else { return Ok(None) };
    if crc32fast::hash(payload) != u32::from_be_bytes(*checksum) {
        return Err(InputError::new("check", "does not match"));
    }
    let (fields, body) = payload.split_at(header.fields);
    let fields = std::str::from_utf8(fields).map_err(|_| InputError::new("fields", "are no text"))?;
    let response = read_response(&header, fields, body);
    Ok(Some(Frame { response, length: HEADER_BYTES + payload_bytes + CHECKSUM_BYTES }))
}

/// Reads the header; none while it is not complete.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, InputError> {
    if bytes.first().is_some_and(|first| *first != FROM_WORKER) {
        return Err(InputError::new("mark", "is not a worker's"));
    }
    let Some(&code) = bytes.get(1) else { return Ok(None) };
    let (outcome, probe) = match code {
        200 => (Outcome::Succeeded, false),
        202 => (Outcome::NotLoaded, false),
        203 => (Outcome::Rejected, false),
        204 => (Outcome::Failed, false),
        205 => (Outcome::NotSent, false),
        206 => (Outcome::Succeeded, true),
        207 => (Outcome::Failed, true),
        _ => return Err(InputError::new("code", "is unknown")),
    };
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let [_, _, f0, f1, b0, b1, b2, b3, id @ ..] = *header;
    let fields = usize::from(u16::from_be_bytes([f0, f1]));
    let body = u32::from_be_bytes([b0, b1, b2, b3]) as usize;
    if fields > MAX_FIELDS || body > MAX_RESPONSE_BODY {
        return Err(InputError::new("length", "is past its bound"));
    }
    Ok(Some(Header { outcome, probe, fields, body, id: u64::from_be_bytes(id) }))
}

/// Reads the fields, a list as `same=2,n=1,use=rif:3;busy:0.5`; unknown names are left out.
fn read_response<'b>(header: &Header, fields: &str, body: &'b [u8]) -> WorkerResponse<'b> {
    let Header { id, outcome, probe, .. } = *header;
    let mut response =
        WorkerResponse { id, outcome, probe, concurrent_calls: 0.0, instances: 0, report: None, body };
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        match name {
            "same" => response.concurrent_calls = plausible_number(value).unwrap_or(0.0),
            "n" => response.instances = plausible_number(value).unwrap_or(0.0) as u8,
            "use" => response.report = Some(read_report(value)),
            _ => {}
        }
    }
    response
}

fn read_report(values: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values.split(';').filter_map(|value| value.split_once(':')) {
        if let Some(value) = plausible_number(value) {
            set_report_value(&mut report, name, value);
        }
    }
    report
}

fn plausible_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| PLAUSIBLE_NUMBERS.contains(number))
}
