//! One exchange with a worker: a shot, an order or a probe. Outcomes are judged strictly: that something never ran
//! is believed where no connection was made, where nothing was written, or on the worker's own word; all else may
//! have run.

use crate::answer::{Held, Reply};
use crate::gather::Gathered;
use crate::io_fault::ConnectFault;
use crate::pool::{Body, Connection, Way};
use crate::shell::Gateway;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_policy::{InstanceState, LoadReport, Outcome};
use milletpath_protocol::{orca, worker as wire};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Why an exchange brought no answer.
enum Broken {
    /// No connection, or nothing written on one.
    Unreached,
    /// All connections that the worker may have are taken, or this machine can make none.
    Unsent,
    /// It does not go any more; the desk has booked that.
    KeptBack,
    /// Written, at least in part, and then the connection broke or garbage came.
    Cut,
}

/// Sends one request on a kept connection or a new one. `may` is asked at the last moment before writing. A kept
/// connection that turns out closed before anything was written proves that nothing ran: another is taken.
async fn exchange(
    gateway: &Gateway,
    worker: usize,
    way: Way,
    mut request: http::Request<Body>,
    mut may: impl FnMut() -> bool,
) -> Result<(Response<Incoming>, Connection), Broken> {
    loop {
        let (mut connection, new) = match gateway.kept(worker, way) {
            Some(connection) => (connection, false),
            None => match gateway.connect(worker, way).await {
                Some(Ok(connection)) => (connection, true),
                Some(Err(e)) if ConnectFault::of(&e) == ConnectFault::Local => return Err(Broken::Unsent),
                Some(Err(_)) => return Err(Broken::Unreached),
                None => return Err(Broken::Unsent),
            },
        };
        if connection.sender.ready().await.is_err() {
            if new {
                return Err(Broken::Unreached);
            }
            continue;
        }
        gateway.awake().await;
        if !may() {
            gateway.give_back(worker, connection);
            return Err(Broken::KeptBack);
        }
        connection.leave.give();
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            // This thread stood still between the verdict and the write.
            Err(_) if connection.leave.refused() => return Err(Broken::Unsent),
            Err(mut error) => match error.take_message() {
                // Given back whole: not a byte of it was written.
                Some(unwritten) if !new => request = unwritten,
                Some(_) => return Err(Broken::Unreached),
                None => return Err(Broken::Cut),
            },
        }
    }
}

fn request(method: Method, path: String, headers: HeaderMap, body: Bytes) -> Option<http::Request<Body>> {
    let mut request = http::Request::builder().method(method).uri(path).body(Full::new(body)).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn host(way: Way) -> HeaderValue {
    HeaderValue::from_str(&way.address.to_string()).unwrap_or(HeaderValue::from_static("worker"))
}

/// Whether a header field speaks of one connection only (RFC 9110, 7.6.1), is made anew for each, or is said by us
/// alone.
fn own(name: &HeaderName) -> bool {
    const OURS: &str = "milletpath-";
    matches!(
        *name,
        header::CONNECTION
            | header::CONTENT_LENGTH
            | header::EXPECT
            | header::HOST
            | header::PROXY_AUTHENTICATE
            | header::PROXY_AUTHORIZATION
            | header::TE
            | header::TRAILER
            | header::TRANSFER_ENCODING
            | header::UPGRADE
    ) || matches!(name.as_str(), "keep-alive" | "proxy-connection" | "endpoint-load-metrics")
        || name.as_str().starts_with(OURS)
}

/// Takes out of a message what is not to be passed on.
pub fn pass_on(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named = named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok());
    let named: Vec<HeaderName> = named.chain(headers.keys().filter(|name| own(name)).cloned()).collect();
    for name in &named {
        headers.remove(name);
    }
}

/// A worker's load report, where there is one that can be read.
fn report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&orca::FIELD)?.to_str().ok()?;
    let mut report = LoadReport::default();
    let read = orca::read(text, |name, figure| match name {
        orca::BUSY => report.utilization = Some(figure),
        orca::MEMORY => report.memory = Some(figure),
        orca::HELD => report.in_flight = Some(figure),
        orca::WAITING => report.queued = Some(figure),
        orca::LOADING => report.loading = Some(figure),
        _ => {}
    });
    if let Err(fault) = read {
        tracing::debug!(%fault, "a load report that can't be read");
        return None;
    }
    Some(report)
}

/// What a response's head says of the shot.
fn judge(response: &Response<Incoming>) -> AttemptResult {
    let headers = response.headers();
    let status = response.status();
    let refused = wire::refused(headers).filter(|_| status.is_client_error() || status.is_server_error());
    let outcome = match refused {
        Some(wire::Refused::Full | wire::Refused::Draining) => Outcome::Rejected,
        Some(wire::Refused::Missing) => Outcome::NotLoaded,
        // The worker's answer, be it that the client's input was wrong.
        None if status.as_u16() < 500 => Outcome::Succeeded,
        // A bare error may come from anything that stands in between; it may have run.
        None => Outcome::Failed,
    };
    let found = wire::found(headers).map(|found| match found {
        wire::Found::Loaded => InstanceState::Loaded,
        wire::Found::Began => InstanceState::LoadStarted,
        wire::Found::Awaited => InstanceState::LoadAwaited,
        wire::Found::Failed => InstanceState::LoadFailed,
    });
    let company = wire::count(headers, &wire::COMPANY).ok().flatten().unwrap_or(0);
    AttemptResult { outcome, found, company: company.into(), report: report(headers), answers_client: false }
}

/// Why an answer's body is not there in full.
enum Short {
    Cut,
    TooLarge,
}

/// Reads an answer to its end, within the bounds on one and on all together.
async fn read(gateway: &Gateway, mut body: Incoming) -> Result<(Bytes, Held), Short> {
    let most = gateway.bounds().max_response_body;
    if body.size_hint().lower() > most as u64 {
        return Err(Short::TooLarge);
    }
    let mut gathered = Gathered::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Short::Cut)?.into_data() else { continue };
        if gathered.len() + data.len() > most {
            return Err(Short::TooLarge);
        }
        gathered.add(data);
    }
    let whole = gathered.whole();
    let held = gateway.hold(whole.len()).ok_or(Short::TooLarge)?;
    Ok((whole, held))
}

/// What a shot is made of, beside its worker.
pub struct Request {
    pub function: Arc<str>,
    /// Seconds that it has.
    pub left: f64,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// One shot of an activation: the call, the slot in which the shell keeps it, and the shot's number.
pub async fn activation(
    gateway: Rc<Gateway>,
    (tag, slot, shot): (RequestId, usize, usize),
    worker: usize,
    way: Way,
    parts: Request,
) {
    let Request { function, left, mut headers, body } = parts;
    headers.insert(header::HOST, host(way));
    headers.insert(&wire::SHOT, HeaderValue::from(shot as u64));
    if let Ok(left) = HeaderValue::from_str(&format!("{left:.3}")) {
        headers.insert(&wire::LEFT, left);
    }
    let Some(request) = request(Method::POST, wire::infer(&function), headers, body) else { return };
    let may = || gateway.tell(|desk, now| desk.begin_attempt(now, tag, shot));
    let (response, connection) = match exchange(&gateway, worker, way, request, may).await {
        Ok(answer) => answer,
        Err(broken) => {
            let outcome = match broken {
                Broken::KeptBack => return,
                Broken::Unreached => Outcome::Unreachable,
                Broken::Unsent => Outcome::NotSent,
                Broken::Cut => Outcome::ConnectionLost,
            };
            gateway
                .tell(|desk, now| desk.attempt_ended(now, tag, shot, AttemptResult::from_outcome(outcome)));
            return;
        }
    };
    let end = judge(&response);
    let (mut parts, body) = response.into_parts();
    match read(&gateway, body).await {
        Ok((body, held)) => {
            gateway.give_back(worker, connection);
            pass_on(&mut parts.headers);
            let reply = Reply::Handled(parts, body, held);
            settle(&gateway, (tag, slot, shot), end, reply);
        }
        Err(Short::Cut) => {
            let end = AttemptResult { outcome: Outcome::ConnectionLost, ..end };
            gateway.tell(|desk, now| desk.attempt_ended(now, tag, shot, end));
        }
        // It would be too large from any other worker as well.
        Err(Short::TooLarge) => {
            let end = AttemptResult { outcome: Outcome::Failed, answers_client: true, ..end };
            settle(&gateway, (tag, slot, shot), end, Reply::TooLarge);
        }
    }
}

/// Ends a shot; what it brought goes to the client if the desk says that it is the answer.
fn settle(
    gateway: &Rc<Gateway>,
    (tag, slot, shot): (RequestId, usize, usize),
    end: AttemptResult,
    reply: Reply,
) {
    if gateway.tell(|desk, now| desk.attempt_ended(now, tag, shot, end)) {
        gateway.reply_to(tag, slot, reply);
    }
}

/// Asks a worker for something of our own making; gives the answer's status and fields once all of it is read.
async fn ask(
    gateway: &Gateway,
    worker: usize,
    way: Way,
    method: Method,
    path: String,
    copies: Option<u8>,
    may: impl FnMut() -> bool,
) -> Result<http::response::Parts, Broken> {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, host(way));
    if let Some(copies) = copies {
        headers.insert(&wire::COPIES, HeaderValue::from(u16::from(copies)));
    }
    let request = request(method, path, headers, Bytes::new()).ok_or(Broken::Unsent)?;
    let (response, connection) = exchange(gateway, worker, way, request, may).await?;
    let (parts, body) = response.into_parts();
    read(gateway, body).await.map_err(|_| Broken::Cut)?;
    gateway.give_back(worker, connection);
    Ok(parts)
}

/// An order to hold instances.
pub async fn hold(
    gateway: Rc<Gateway>,
    order: RequestId,
    worker: usize,
    way: Way,
    function: Arc<str>,
    copies: u8,
) {
    let may = || gateway.tell(|desk, now| desk.begin_load_request(now, order));
    let wait = Duration::from_secs_f64(gateway.house().policy.load_request_timeout);
    let asked = ask(&gateway, worker, way, Method::POST, wire::load(&function), Some(copies), may);
    // The desk ends the order at the same time; here only the connection is let go of.
    let Ok(answer) = tokio::time::timeout(wait, asked).await else { return };
    let (outcome, stand) = match answer {
        Ok(parts) if parts.status.is_success() => {
            let stand = wire::count(&parts.headers, &wire::COPIES).ok().flatten();
            (Outcome::Succeeded, stand.unwrap_or(u32::from(copies)).min(255) as u8)
        }
        Ok(parts) => match wire::refused(&parts.headers) {
            Some(wire::Refused::Full | wire::Refused::Draining) => (Outcome::Rejected, 0),
            Some(wire::Refused::Missing) | None => (Outcome::Failed, 0),
        },
        Err(Broken::KeptBack) => return,
        Err(Broken::Unreached) => (Outcome::Unreachable, 0),
        Err(Broken::Unsent) => (Outcome::NotSent, 0),
        Err(Broken::Cut) => (Outcome::ConnectionLost, 0),
    };
    gateway.tell(|desk, now| desk.load_request_ended(now, order, outcome, stand));
}

/// Has a worker unload idle instances. Nobody waits for the answer.
pub async fn unload(gateway: Rc<Gateway>, worker: usize, way: Way, function: Arc<str>) {
    let wait = Duration::from_secs_f64(gateway.bounds().probe_timeout);
    let asked = ask(&gateway, worker, way, Method::POST, wire::unload(&function), None, || true);
    let _ = tokio::time::timeout(wait, asked).await;
}

/// Asks a worker how it is.
pub async fn probe(gateway: Rc<Gateway>, worker: usize, way: Way, serial: u64) {
    let wait = Duration::from_secs_f64(gateway.bounds().probe_timeout);
    let asked = ask(&gateway, worker, way, Method::GET, wire::READY.to_owned(), None, || true);
    let Ok(answer) = tokio::time::timeout(wait, asked).await else { return };
    let (outcome, report) = match answer {
        Ok(parts) if parts.status.is_success() => (Outcome::Succeeded, report(&parts.headers)),
        Ok(parts) => (Outcome::Failed, report(&parts.headers)),
        Err(Broken::Unreached) => (Outcome::Unreachable, None),
        Err(Broken::Unsent | Broken::KeptBack) => (Outcome::NotSent, None),
        Err(Broken::Cut) => (Outcome::ConnectionLost, None),
    };
    gateway.tell(|desk, now| desk.health_check_ended(now, worker, serial, outcome, report));
}
