//! Worker frames: a head of 16 bytes, fields, body, and a checksum of both. A frame is believed only where mark,
//! code, lengths, id and checksum hold; its lengths are bounded before anything is set aside for it.

use milletpath_policy::host::{Outcome, Report};
use milletpath_protocol::Fault;

const HEAD: usize = 16;
const CHECK: usize = 4;
const ROUTER: u8 = 126;
const WORKER: u8 = 127;
/// Bytes of the fields and of the body of an answer, at most: several times what one is seen to have.
pub const FIELDS: usize = 4 << 10;
pub const ANSWER: usize = 256 << 10;

fn frame(to: &mut Vec<u8>, code: u8, id: u64, fields: &str, body: &[u8]) {
    to.extend_from_slice(&[ROUTER, code]);
    to.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    to.extend_from_slice(&(body.len() as u32).to_be_bytes());
    to.extend_from_slice(&id.to_be_bytes());
    let at = to.len();
    to.extend_from_slice(fields.as_bytes());
    to.extend_from_slice(body);
    let check = crc32fast::hash(&to[at..]);
    to.extend_from_slice(&check.to_be_bytes());
}

/// What a shot is made of, as its client put it.
pub struct Shot<'s> {
    pub id: u64,
    pub profile: &'s str,
    pub function: &'s str,
    /// The mark by which a repeat is known; empty for none.
    pub mark: &'s str,
    pub body: &'s [u8],
}

/// A shot; `left` are the seconds until it is given up.
pub fn shot(to: &mut Vec<u8>, shot: &Shot<'_>, left: f64) {
    let Shot { id, profile, function, mark, body } = *shot;
    let budget = (left * 1e3).max(1.0) as u64;
    let mut fields = format!("queue={profile},path={function},budget={budget}");
    if !mark.is_empty() {
        fields += ",uniq=";
        fields += mark;
    }
    frame(to, 2, id, &fields, body);
}

/// Gives a shot up; nothing answers.
pub fn give_up(to: &mut Vec<u8>, id: u64) {
    frame(to, 3, id, "", b"");
}

/// Asks whether the worker is there, and where `load` is wanted how it is.
pub fn probe(to: &mut Vec<u8>, id: u64, load: bool) {
    frame(to, if load { 5 } else { 4 }, id, "", b"");
}

/// Orders instances; 0 only asks.
pub fn hold(to: &mut Vec<u8>, id: u64, function: &str, copies: u8) {
    frame(to, 6, id, &format!("path={function},n={copies}"), b"");
}

/// Unloads idle instances; nothing answers.
pub fn unload(to: &mut Vec<u8>, function: u64) {
    frame(to, 8, function, "", b"");
}

/// What a worker answered. Fields that it did not send are as the page says that they are then.
#[derive(Debug)]
pub struct Answer<'b> {
    pub id: u64,
    /// How a shot or an order ended; for a probe, whether the worker is well.
    pub outcome: Outcome,
    pub probe: bool,
    pub company: f64,
    pub copies: u8,
    pub report: Option<Report>,
    pub body: &'b [u8],
}

/// Reads the first whole answer in the bytes, and how many of them it took; none while it is not whole.
pub fn read(bytes: &[u8]) -> Result<Option<(Answer<'_>, usize)>, Fault> {
    let wrong = |place: &str, wrong: &str| Err(Fault::new(place, wrong));
    // Each part is judged as soon as it is there: what can't be read is not waited for.
    if bytes.first().is_some_and(|mark| *mark != WORKER) {
        return wrong("mark", "is not a worker's");
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
        _ => return wrong("code", "is unknown"),
    };
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else { return Ok(None) };
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if fields > FIELDS || length > ANSWER {
        return wrong("length", "is past its bound");
    }
    let Some((held, after)) = rest.split_at_checked(fields + length) else { return Ok(None) };
    let Some(check) = after.first_chunk::<CHECK>() else { return Ok(None) };
    if crc32fast::hash(held) != u32::from_be_bytes(*check) {
        return wrong("check", "does not match");
    }
    let (fields, body) = held.split_at(fields);
    let Ok(fields) = std::str::from_utf8(fields) else { return wrong("fields", "are no text") };
    let mut id = [0; 8];
    id.copy_from_slice(&head[8..]);
    let mut answer =
        Answer { id: u64::from_be_bytes(id), outcome, probe, company: 0.0, copies: 0, report: None, body };
    for (name, value) in fields.split(',').filter_map(|part| part.split_once('=')) {
        match name {
            "same" => answer.company = figure(value).unwrap_or(0.0),
            "n" => answer.copies = figure(value).unwrap_or(0.0) as u8,
            "use" => {
                let mut report = Report::default();
                for (name, value) in value.split(';').filter_map(|part| part.split_once(':')) {
                    if let Some(value) = figure(value) {
                        milletpath_platform_settings::note(&mut report, name, value);
                    }
                }
                answer.report = Some(report);
            }
            _ => {}
        }
    }
    Ok(Some((answer, HEAD + held.len() + CHECK)))
}

/// A figure of sense: what a worker of any size could say.
fn figure(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| (0.0..=1e9).contains(x))
}
