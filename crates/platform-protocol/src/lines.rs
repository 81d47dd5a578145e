//! Client lines: JSON-RPC 2.0 without batches, one message a line. Everything is checked before anyone hears of it;
//! what is wrong is told as a [`Fault`], with the line's number where that could be read.

use base64::{Engine, engine::general_purpose::STANDARD};
use milletpath_protocol::Fault;
use serde_json::Value;

/// Bytes of a body, as the page states it.
pub const MAX_REQUEST_BODY: usize = 16 << 10;
/// Bytes of a line: such a body in base64, and room for its fields.
pub const MAX_LINE: usize = MAX_REQUEST_BODY.div_ceil(3) * 4 + (2 << 10);
/// Whole numbers that every reader of JSON keeps exactly.
const REQUEST_NUMBERS: std::ops::RangeInclusive<u64> = 1..=1 << 53;
/// An hour: nobody waits longer, and sums of times stay sound.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Figures of a function past this are senseless: MB, lanes or ms.
const MAX_FIGURE: f64 = 1e7;
/// Bytes of a mark: twice what clients are seen to send.
const MAX_IDEMPOTENCY_KEY: usize = 64;

const REJECTED_CODE: i64 = -32066;
const FAILED_CODE: i64 = -32069;

/// A call as its client put it.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// The line's number on its connection, and the activation's own id.
    pub number: u64,
    pub id: u64,
    pub profile: String,
    pub client: String,
    pub function: String,
    /// Seconds that the client waits.
    pub timeout: f64,
    pub is_repeat: bool,
    /// The mark by which workers know a repeat of a receipted activation, passed on as it is; empty for none.
    pub idempotency_key: String,
    /// Memory of one instance in MB, activations that it runs at a time, the usual seconds of a load.
    pub memory: f64,
    pub lanes: f64,
    pub load: Option<f64>,
    pub body: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    Call(Box<Call>),
    /// The client waits no longer for the activation of that id or the line of that number.
    Cancel {
        id: Option<u64>,
        number: Option<u64>,
    },
    Probe {
        number: u64,
    },
}

/// Reads one line.
pub fn read(line: &[u8]) -> Result<ClientMessage, (Option<u64>, Fault)> {
    let fault = |field: &str, problem: &str| (None, Fault::new(field, problem));
    if line.len() > MAX_LINE {
        return Err(fault("line", "is too long"));
    }
    let value: Value = serde_json::from_slice(line).map_err(|e| (None, Fault::new("line", e.to_string())))?;
    let number = value["id"].as_u64().filter(|n| REQUEST_NUMBERS.contains(n));
    let of = |e: Fault| (number, e);
    if value["jsonrpc"] != "2.0" {
        return Err(of(Fault::new("jsonrpc", "is not 2.0")));
    }
    let method = value["method"].as_str().ok_or_else(|| of(Fault::new("method", "is no name")))?;
    let params = &value["params"];
    let id = params["i"].as_str().and_then(crate::parse_hex_id);
    if method == "giveUp" {
        let named = params["id"].as_u64().or(number);
        return Ok(ClientMessage::Cancel { id, number: named });
    }
    let numbered = number.ok_or_else(|| fault("id", "is no whole number from 1"))?;
    if method == "probe" {
        return Ok(ClientMessage::Probe { number: numbered });
    }
    call(numbered, id, method, params).map(|call| ClientMessage::Call(Box::new(call))).map_err(of)
}

fn call(number: u64, id: Option<u64>, method: &str, params: &Value) -> Result<Call, Fault> {
    let id = id.ok_or_else(|| Fault::new("i", "is not 16 hex digits"))?;
    let text = |key: &str| params[key].as_str().ok_or_else(|| Fault::new(key, "is missing or no text"));
    let function = text("o")?;
    crate::parse_hex_id(function).ok_or_else(|| Fault::new("o", "is not 16 hex digits"))?;
    let timeout = params["d"].as_f64().filter(|d| (1.0..=MAX_TIMEOUT_MS).contains(d));
    let is_repeat = match &params["r"] {
        Value::Null => false,
        Value::Number(n) if n.as_u64().is_some_and(|n| n <= 1) => n.as_u64() == Some(1),
        Value::String(s) if s == "1" => true,
        _ => return Err(Fault::new("r", "is no mark")),
    };
    let body = match &params["content"] {
        Value::Null => Vec::new(),
        Value::String(s) => STANDARD.decode(s).map_err(|_| Fault::new("content", "is no base64"))?,
        _ => return Err(Fault::new("content", "is no text")),
    };
    if body.len() > MAX_REQUEST_BODY {
        return Err(Fault::new("content", "is too long"));
    }
    let idempotency_key = match &params["k"] {
        Value::Null => "",
        // It becomes the value of a field in a list of such: what ends one would let it name others.
        Value::String(s)
            if s.len() <= MAX_IDEMPOTENCY_KEY
                && s.bytes().all(|b| b.is_ascii_graphic() && !b",=".contains(&b)) =>
        {
            s
        }
        _ => return Err(Fault::new("k", "is no mark of up to 64 visible characters")),
    };
    let client = match &params["t"] {
        Value::Null => "",
        Value::String(s) => s,
        _ => return Err(Fault::new("t", "is no name")),
    };
    let mut call = Call {
        number,
        id,
        profile: method.to_owned(),
        client: client.to_owned(),
        function: function.to_owned(),
        timeout: timeout.ok_or_else(|| Fault::new("d", "is no time to wait"))? / 1e3,
        is_repeat,
        idempotency_key: idempotency_key.to_owned(),
        memory: 0.0,
        lanes: 1.0,
        load: None,
        body,
    };
    let info = match &params["info"] {
        Value::Null => "",
        Value::String(s) => s,
        _ => return Err(Fault::new("info", "is no text")),
    };
    for (name, value) in info.split(';').filter_map(|part| part.split_once(':')) {
        let bounded_number = || -> Result<f64, Fault> {
            let number = value.parse::<f64>().ok().filter(|x| (0.0..=MAX_FIGURE).contains(x));
            number.ok_or_else(|| Fault::new(format!("info.{name}"), "is out of range or no number"))
        };
        match name {
            "memory_mb" => call.memory = bounded_number()?,
            "lanes" => call.lanes = bounded_number()?,
            "load_ms" => call.load = Some(bounded_number()? / 1e3).filter(|s| *s > 0.0),
            _ => {}
        }
    }
    Ok(call)
}

/// The worker's body, unchanged.
pub fn write_success(out: &mut Vec<u8>, number: u64, body: &[u8]) {
    out.extend_from_slice(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"content\":\"").as_bytes(),
    );
    let at = out.len();
    out.resize(at + body.len().div_ceil(3) * 4, 0);
    // The room is what the encoding of so many bytes takes.
    let _ = STANDARD.encode_slice(body, &mut out[at..]);
    out.extend_from_slice(b"\"}}\n");
}

/// Not taken: trying again does no harm, after so many seconds where advised.
pub fn write_rejected(out: &mut Vec<u8>, number: u64, retry_after: Option<f64>) {
    let data = retry_after.map_or(String::new(), |s| format!(",\"data\":{{\"w\":{}}}", (s * 1e3).ceil()));
    error(out, &number.to_string(), REJECTED_CODE, "bounced: try again", &data);
}

/// Failed, no promise.
pub fn write_failed(out: &mut Vec<u8>, number: u64) {
    error(out, &number.to_string(), FAILED_CODE, "terminated", "");
}

/// Not understood.
pub fn write_invalid(out: &mut Vec<u8>, number: Option<u64>, fault: &Fault) {
    let number = number.map_or("null".into(), |n| n.to_string());
    let what = Value::from(fault.to_string()).to_string();
    error(out, &number, -32600, what.trim_matches('"'), "");
}

pub fn write_health(out: &mut Vec<u8>, number: u64, is_healthy: bool) {
    out.extend_from_slice(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"fit\":{is_healthy}}}}}\n").as_bytes(),
    );
}

fn error(out: &mut Vec<u8>, number: &str, code: i64, what: &str, data: &str) {
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"error\":{{\"code\":{code},\"message\":\"{what}\"{data}}}}}\n"
    );
    out.extend_from_slice(line.as_bytes());
}
