//! Decodes frames from workers: responses to attempts, load requests and health checks.

use super::layout::{CHECKSUM_BYTES, FROM_WORKER, HEADER_BYTES};
use crate::lines::MAX_REQUEST_BODY;
use milletpath_platform_settings::set_report_value;
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::InputError;
use std::ops::RangeInclusive;

/// Maximum length of a response's fields in bytes, several times what occurs in practice.
pub const MAX_FIELDS: usize = 4 << 10;
/// Maximum length of a response body in bytes.
pub const MAX_RESPONSE_BODY: usize = 256 << 10;
/// Maximum length in bytes of a response with the longest body that the platform specifies.
pub const MAX_SPECIFIED_RESPONSE: usize = HEADER_BYTES + MAX_FIELDS + MAX_REQUEST_BODY + CHECKSUM_BYTES;
/// Range of numbers that a worker of any size could report; values outside it are ignored.
const PLAUSIBLE_NUMBERS: RangeInclusive<f64> = 0.0..=1e9;

/// A worker's response. Fields that the worker omitted have the defaults that the platform documents.
#[derive(Debug)]
pub struct WorkerResponse<'b> {
    /// The id of the frame that this responds to.
    pub id: u64,
    /// The outcome of an attempt or a load request. For a health check, it is `Succeeded` if the worker is healthy.
    pub outcome: Outcome,
    /// Whether this is a response to a health check.
    pub probe: bool,
    /// Number of calls that ran concurrently on the same instance.
    pub concurrent_calls: f64,
    /// Number of loaded instances of the function.
    pub instances: u8,
    /// The worker's load report, if it sent one.
    pub report: Option<LoadReport>,
    /// The response body.
    pub body: &'b [u8],
}

/// A decoded frame and its length in the stream.
#[derive(Debug)]
pub struct Frame<'b> {
    /// The response that the frame contains.
    pub response: WorkerResponse<'b>,
    /// Length of the whole frame in bytes, with header and checksum.
    pub length: usize,
}

/// The decoded header of a frame.
struct Header {
    outcome: Outcome,
    probe: bool,
    fields: usize,
    body: usize,
    id: u64,
}

/// Decodes the first frame in `bytes`, or returns `None` if it is incomplete. Each part is validated as soon as it has
/// arrived, so that the caller does not wait for the rest of an invalid frame.
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
    let fields = std::str::from_utf8(fields).map_err(|_| InputError::new("fields", "are not valid UTF-8"))?;
    let response = read_response(&header, fields, body);
    Ok(Some(Frame { response, length: HEADER_BYTES + payload_bytes + CHECKSUM_BYTES }))
}

/// Decodes the header, or returns `None` if it is incomplete.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, InputError> {
    if bytes.first().is_some_and(|first| *first != FROM_WORKER) {
        return Err(InputError::new("mark", "is not the first byte of a worker's frame"));
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
        return Err(InputError::new("length", "exceeds its limit"));
    }
    Ok(Some(Header { outcome, probe, fields, body, id: u64::from_be_bytes(id) }))
}

/// Parses the fields, a list such as `same=2,n=1,use=rif:3;busy:0.5`. Unknown names are ignored.
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
