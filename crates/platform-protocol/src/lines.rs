//! Client lines: JSON-RPC 2.0 without batches, one message a line. Everything is checked before anyone hears of it;
//! what is wrong is told as a [`Fault`], with the line's number where that could be read.

use base64::{Engine, engine::general_purpose::STANDARD};
use milletpath_protocol::Fault;
use serde_json::Value;

/// Bytes of a body, as the page states it.
pub const BODY: usize = 16 << 10;
/// Bytes of a line: such a body in base64, and room for its fields.
pub const LONGEST: usize = BODY.div_ceil(3) * 4 + (2 << 10);
/// Whole numbers that every reader of JSON keeps exactly.
const NUMBERS: std::ops::RangeInclusive<u64> = 1..=1 << 53;
/// An hour: nobody waits longer, and sums of times stay sound.
const MOST_PATIENT: f64 = 3_600_000.0;
/// Figures of a function past this are senseless: MB, lanes or ms.
const LARGEST: f64 = 1e7;
/// Bytes of a mark: twice what clients are seen to send.
const MARK: usize = 64;

const REFUSED: i64 = -32066;
const FAILED: i64 = -32069;

/// A call as its client put it.
#[derive(Debug, PartialEq)]
pub struct Ask {
    /// The line's number on its connection, and the activation's own id.
    pub number: u64,
    pub id: u64,
    pub profile: String,
    pub client: String,
    pub function: String,
    /// Seconds that the client waits.
    pub patience: f64,
    pub repeat: bool,
    /// The mark by which workers know a repeat of a receipted activation, passed on as it is; empty for none.
    pub mark: String,
    /// Memory of one instance in MB, activations that it runs at a time, the usual seconds of a load.
    pub memory: f64,
    pub lanes: f64,
    pub load: Option<f64>,
    pub body: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub enum Said {
    Call(Box<Ask>),
    /// The client waits no longer for the activation of that id or the line of that number.
    GiveUp {
        id: Option<u64>,
        number: Option<u64>,
    },
    Probe {
        number: u64,
    },
}

/// Reads one line.
pub fn read(line: &[u8]) -> Result<Said, (Option<u64>, Fault)> {
    let fault = |place: &str, wrong: &str| (None, Fault::new(place, wrong));
    if line.len() > LONGEST {
        return Err(fault("line", "is too long"));
    }
    let value: Value = serde_json::from_slice(line).map_err(|e| (None, Fault::new("line", e.to_string())))?;
    let number = value["id"].as_u64().filter(|n| NUMBERS.contains(n));
    let of = |e: Fault| (number, e);
    if value["jsonrpc"] != "2.0" {
        return Err(of(Fault::new("jsonrpc", "is not 2.0")));
    }
    let method = value["method"].as_str().ok_or_else(|| of(Fault::new("method", "is no name")))?;
    let params = &value["params"];
    let id = params["i"].as_str().and_then(crate::hex);
    if method == "giveUp" {
        let named = params["id"].as_u64().or(number);
        return Ok(Said::GiveUp { id, number: named });
    }
    let numbered = number.ok_or_else(|| fault("id", "is no whole number from 1"))?;
    if method == "probe" {
        return Ok(Said::Probe { number: numbered });
    }
    call(numbered, id, method, params).map(|ask| Said::Call(Box::new(ask))).map_err(of)
}

fn call(number: u64, id: Option<u64>, method: &str, params: &Value) -> Result<Ask, Fault> {
    let id = id.ok_or_else(|| Fault::new("i", "is not 16 hex digits"))?;
    let text = |key: &str| params[key].as_str().ok_or_else(|| Fault::new(key, "is missing or no text"));
    let function = text("o")?;
    crate::hex(function).ok_or_else(|| Fault::new("o", "is not 16 hex digits"))?;
    let patience = params["d"].as_f64().filter(|d| (1.0..=MOST_PATIENT).contains(d));
    let repeat = match &params["r"] {
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
    if body.len() > BODY {
        return Err(Fault::new("content", "is too long"));
    }
    let mark = match &params["k"] {
        Value::Null => "",
        // It becomes the value of a field in a list of such: what ends one would let it name others.
        Value::String(s)
            if s.len() <= MARK && s.bytes().all(|b| b.is_ascii_graphic() && !b",=".contains(&b)) =>
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
    let mut ask = Ask {
        number,
        id,
        profile: method.to_owned(),
        client: client.to_owned(),
        function: function.to_owned(),
        patience: patience.ok_or_else(|| Fault::new("d", "is no time to wait"))? / 1e3,
        repeat,
        mark: mark.to_owned(),
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
        let figure = || -> Result<f64, Fault> {
            let figure = value.parse::<f64>().ok().filter(|x| (0.0..=LARGEST).contains(x));
            figure.ok_or_else(|| Fault::new(format!("info.{name}"), "is out of range or no number"))
        };
        match name {
            "memory_mb" => ask.memory = figure()?,
            "lanes" => ask.lanes = figure()?,
            "load_ms" => ask.load = Some(figure()? / 1e3).filter(|s| *s > 0.0),
            _ => {}
        }
    }
    Ok(ask)
}

/// The worker's body, unchanged.
pub fn handled(to: &mut Vec<u8>, number: u64, body: &[u8]) {
    to.extend_from_slice(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"content\":\"").as_bytes(),
    );
    let at = to.len();
    to.resize(at + body.len().div_ceil(3) * 4, 0);
    // The room is what the encoding of so many bytes takes.
    let _ = STANDARD.encode_slice(body, &mut to[at..]);
    to.extend_from_slice(b"\"}}\n");
}

/// Not taken: trying again does no harm, after so many seconds where advised.
pub fn bounced(to: &mut Vec<u8>, number: u64, come_back: Option<f64>) {
    let data = come_back.map_or(String::new(), |s| format!(",\"data\":{{\"w\":{}}}", (s * 1e3).ceil()));
    error(to, &number.to_string(), REFUSED, "bounced: try again", &data);
}

/// Failed, no promise.
pub fn terminated(to: &mut Vec<u8>, number: u64) {
    error(to, &number.to_string(), FAILED, "terminated", "");
}

/// Not understood.
pub fn faulty(to: &mut Vec<u8>, number: Option<u64>, fault: &Fault) {
    let number = number.map_or("null".into(), |n| n.to_string());
    let what = Value::from(fault.to_string()).to_string();
    error(to, &number, -32600, what.trim_matches('"'), "");
}

pub fn fit(to: &mut Vec<u8>, number: u64, fit: bool) {
    to.extend_from_slice(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"result\":{{\"fit\":{fit}}}}}\n").as_bytes(),
    );
}

fn error(to: &mut Vec<u8>, number: &str, code: i64, what: &str, data: &str) {
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"error\":{{\"code\":{code},\"message\":\"{what}\"{data}}}}}\n"
    );
    to.extend_from_slice(line.as_bytes());
}
