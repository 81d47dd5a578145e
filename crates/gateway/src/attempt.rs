//! One exchange with a worker: a shot, an order or a probe. Outcomes are judged strictly: that something never ran
//! is believed where no connection was made, where nothing was written, or on the worker's own word; all else may
//! have run.

use crate::body_buffer::BodyBuffer;
use crate::connection_pool::{Body, Connection, Endpoint};
use crate::core_context::CoreContext;
use crate::io_fault::ConnectFault;
use crate::response::{BufferedBytes, FinalResponse};
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_policy::host::{Found, Outcome, Report};
use milletpath_protocol::{orca, worker as wire};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Why an exchange brought no answer.
enum ExchangeError {
    /// No connection, or nothing written on one.
    Unreached,
    /// All connections that the worker may have are taken, or this machine can make none.
    Unsent,
    /// It does not go any more; the desk has booked that.
    Withheld,
    /// Written, at least in part, and then the connection broke or garbage came.
    Interrupted,
}

/// Sends one request on a kept connection or a new one. `may` is asked at the last moment before writing. A kept
/// connection that turns out closed before anything was written proves that nothing ran: another is taken.
async fn exchange(
    context: &CoreContext,
    worker: usize,
    endpoint: Endpoint,
    mut request: http::Request<Body>,
    mut still_allowed: impl FnMut() -> bool,
) -> Result<(Response<Incoming>, Connection), ExchangeError> {
    loop {
        let (mut connection, new) = match context.idle_connection(worker, endpoint) {
            Some(connection) => (connection, false),
            None => match context.connect(worker, endpoint).await {
                Some(Ok(connection)) => (connection, true),
                Some(Err(e)) if ConnectFault::of(&e) == ConnectFault::Local => {
                    return Err(ExchangeError::Unsent);
                }
                Some(Err(_)) => return Err(ExchangeError::Unreached),
                None => return Err(ExchangeError::Unsent),
            },
        };
        if connection.sender.ready().await.is_err() {
            if new {
                return Err(ExchangeError::Unreached);
            }
            continue;
        }
        context.wait_until_responsive().await;
        if !still_allowed() {
            context.return_connection(worker, connection);
            return Err(ExchangeError::Withheld);
        }
        connection.write_permit.grant();
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            // This thread stood still between the verdict and the write.
            Err(_) if connection.write_permit.was_refused() => return Err(ExchangeError::Unsent),
            Err(mut error) => match error.take_message() {
                // Given back whole: not a byte of it was written.
                Some(unwritten) if !new => request = unwritten,
                Some(_) => return Err(ExchangeError::Unreached),
                None => return Err(ExchangeError::Interrupted),
            },
        }
    }
}

fn build_request(
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
) -> Option<http::Request<Body>> {
    let mut request = http::Request::builder().method(method).uri(path).body(Full::new(body)).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn host(endpoint: Endpoint) -> HeaderValue {
    HeaderValue::from_str(&endpoint.address.to_string()).unwrap_or(HeaderValue::from_static("worker"))
}

/// Whether a header field speaks of one connection only (RFC 9110, 7.6.1), is made anew for each, or is said by us
/// alone.
fn is_connection_specific(name: &HeaderName) -> bool {
    const OWN_PREFIX: &str = "milletpath-";
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
        || name.as_str().starts_with(OWN_PREFIX)
}

/// Takes out of a message what is not to be passed on.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named = named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok());
    let named: Vec<HeaderName> =
        named.chain(headers.keys().filter(|name| is_connection_specific(name)).cloned()).collect();
    for name in &named {
        headers.remove(name);
    }
}

/// A worker's load report, where there is one that can be read.
fn report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get(&orca::FIELD)?.to_str().ok()?;
    let mut report = Report::default();
    let read = orca::read(text, |name, figure| match name {
        orca::BUSY => report.busy = Some(figure),
        orca::MEMORY => report.memory = Some(figure),
        orca::HELD => report.held = Some(figure),
        orca::WAITING => report.waiting = Some(figure),
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
fn classify(response: &Response<Incoming>) -> AttemptResult {
    let headers = response.headers();
    let status = response.status();
    let refused = wire::refused(headers).filter(|_| status.is_client_error() || status.is_server_error());
    let outcome = match refused {
        Some(wire::Refused::Full | wire::Refused::Draining) => Outcome::Full,
        Some(wire::Refused::Missing) => Outcome::Missed,
        // The worker's answer, be it that the client's input was wrong.
        None if status.as_u16() < 500 => Outcome::Handled,
        // A bare error may come from anything that stands in between; it may have run.
        None => Outcome::Failed,
    };
    let found = wire::found(headers).map(|found| match found {
        wire::Found::Loaded => Found::Loaded,
        wire::Found::Began => Found::BeganLoad,
        wire::Found::Awaited => Found::AwaitedLoad,
        wire::Found::Failed => Found::LoadFailed,
    });
    let company = wire::count(headers, &wire::COMPANY).ok().flatten().unwrap_or(0);
    AttemptResult { outcome, found, company: company.into(), report: report(headers), answers_client: false }
}

/// Why an answer's body is not there in full.
enum BodyError {
    Interrupted,
    TooLarge,
}

/// Reads an answer to its end, within the limits on one and on all together.
async fn read_body(context: &CoreContext, mut body: Incoming) -> Result<(Bytes, BufferedBytes), BodyError> {
    let max_bytes = context.limits().max_response_body;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Interrupted)?.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.push(data);
    }
    let whole = buffer.into_bytes();
    let buffered = context.reserve_buffer(whole.len()).ok_or(BodyError::TooLarge)?;
    Ok((whole, buffered))
}

/// What a shot is made of, beside its worker.
pub struct AttemptRequest {
    pub function: Arc<str>,
    /// Seconds that it has.
    pub time_left: f64,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// One shot of an activation: the call, the slot in which the shell keeps it, and the shot's number.
pub async fn send(
    context: Rc<CoreContext>,
    (request, request_slot, attempt): (RequestId, usize, usize),
    worker: usize,
    endpoint: Endpoint,
    parts: AttemptRequest,
) {
    let AttemptRequest { function, time_left, mut headers, body } = parts;
    headers.insert(header::HOST, host(endpoint));
    headers.insert(&wire::SHOT, HeaderValue::from(attempt as u64));
    if let Ok(time_left) = HeaderValue::from_str(&format!("{time_left:.3}")) {
        headers.insert(&wire::LEFT, time_left);
    }
    let Some(http_request) = build_request(Method::POST, wire::infer(&function), headers, body) else {
        return;
    };
    let still_allowed =
        || context.with_dispatcher(|dispatcher, now| dispatcher.begin_attempt(now, request, attempt));
    let (response, connection) = match exchange(&context, worker, endpoint, http_request, still_allowed).await
    {
        Ok(answer) => answer,
        Err(error) => {
            let outcome = match error {
                ExchangeError::Withheld => return,
                ExchangeError::Unreached => Outcome::Unreached,
                ExchangeError::Unsent => Outcome::Unsent,
                ExchangeError::Interrupted => Outcome::Cut,
            };
            context.with_dispatcher(|dispatcher, now| {
                dispatcher.attempt_ended(now, request, attempt, AttemptResult::from_outcome(outcome))
            });
            return;
        }
    };
    let end = classify(&response);
    let (mut parts, body) = response.into_parts();
    match read_body(&context, body).await {
        Ok((body, buffered)) => {
            context.return_connection(worker, connection);
            remove_hop_by_hop_headers(&mut parts.headers);
            let reply = FinalResponse::FromWorker(parts, body, buffered);
            finish(&context, (request, request_slot, attempt), end, reply);
        }
        Err(BodyError::Interrupted) => {
            let end = AttemptResult { outcome: Outcome::Cut, ..end };
            context.with_dispatcher(|dispatcher, now| dispatcher.attempt_ended(now, request, attempt, end));
        }
        // It would be too large from any other worker as well.
        Err(BodyError::TooLarge) => {
            let end = AttemptResult { outcome: Outcome::Failed, answers_client: true, ..end };
            finish(&context, (request, request_slot, attempt), end, FinalResponse::TooLarge);
        }
    }
}

/// Ends a shot; what it brought goes to the client if the desk says that it is the answer.
fn finish(
    context: &Rc<CoreContext>,
    (request, request_slot, attempt): (RequestId, usize, usize),
    end: AttemptResult,
    reply: FinalResponse,
) {
    if context.with_dispatcher(|dispatcher, now| dispatcher.attempt_ended(now, request, attempt, end)) {
        context.respond_to(request, request_slot, reply);
    }
}

/// Asks a worker for something of our own making; gives the answer's status and fields once all of it is read.
async fn request_from_worker(
    context: &CoreContext,
    worker: usize,
    endpoint: Endpoint,
    method: Method,
    path: String,
    instances: Option<u8>,
    still_allowed: impl FnMut() -> bool,
) -> Result<http::response::Parts, ExchangeError> {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, host(endpoint));
    if let Some(instances) = instances {
        headers.insert(&wire::COPIES, HeaderValue::from(u16::from(instances)));
    }
    let request = build_request(method, path, headers, Bytes::new()).ok_or(ExchangeError::Unsent)?;
    let (response, connection) = exchange(context, worker, endpoint, request, still_allowed).await?;
    let (parts, body) = response.into_parts();
    read_body(context, body).await.map_err(|_| ExchangeError::Interrupted)?;
    context.return_connection(worker, connection);
    Ok(parts)
}

/// An order to hold instances.
pub async fn load_function(
    context: Rc<CoreContext>,
    load_request: RequestId,
    worker: usize,
    endpoint: Endpoint,
    function: Arc<str>,
    instances: u8,
) {
    let still_allowed =
        || context.with_dispatcher(|dispatcher, now| dispatcher.begin_load_request(now, load_request));
    let wait = Duration::from_secs_f64(context.config().policy.order_wait);
    let exchange = request_from_worker(
        &context,
        worker,
        endpoint,
        Method::POST,
        wire::load(&function),
        Some(instances),
        still_allowed,
    );
    // The desk ends the order at the same time; here only the connection is let go of.
    let Ok(answer) = tokio::time::timeout(wait, exchange).await else { return };
    let (outcome, loaded) = match answer {
        Ok(parts) if parts.status.is_success() => {
            let loaded = wire::count(&parts.headers, &wire::COPIES).ok().flatten();
            (Outcome::Handled, loaded.unwrap_or(u32::from(instances)).min(255) as u8)
        }
        Ok(parts) => match wire::refused(&parts.headers) {
            Some(wire::Refused::Full | wire::Refused::Draining) => (Outcome::Full, 0),
            Some(wire::Refused::Missing) | None => (Outcome::Failed, 0),
        },
        Err(ExchangeError::Withheld) => return,
        Err(ExchangeError::Unreached) => (Outcome::Unreached, 0),
        Err(ExchangeError::Unsent) => (Outcome::Unsent, 0),
        Err(ExchangeError::Interrupted) => (Outcome::Cut, 0),
    };
    context
        .with_dispatcher(|dispatcher, now| dispatcher.load_request_ended(now, load_request, outcome, loaded));
}

/// Has a worker unload idle instances. Nobody waits for the answer.
pub async fn unload_function(
    context: Rc<CoreContext>,
    worker: usize,
    endpoint: Endpoint,
    function: Arc<str>,
) {
    let wait = Duration::from_secs_f64(context.limits().probe_timeout);
    let exchange =
        request_from_worker(&context, worker, endpoint, Method::POST, wire::unload(&function), None, || true);
    let _ = tokio::time::timeout(wait, exchange).await;
}

/// Asks a worker how it is.
pub async fn health_check(context: Rc<CoreContext>, worker: usize, endpoint: Endpoint, serial: u64) {
    let wait = Duration::from_secs_f64(context.limits().probe_timeout);
    let exchange =
        request_from_worker(&context, worker, endpoint, Method::GET, wire::READY.to_owned(), None, || true);
    let Ok(answer) = tokio::time::timeout(wait, exchange).await else { return };
    let (outcome, report) = match answer {
        Ok(parts) if parts.status.is_success() => (Outcome::Handled, report(&parts.headers)),
        Ok(parts) => (Outcome::Failed, report(&parts.headers)),
        Err(ExchangeError::Unreached) => (Outcome::Unreached, None),
        Err(ExchangeError::Unsent | ExchangeError::Withheld) => (Outcome::Unsent, None),
        Err(ExchangeError::Interrupted) => (Outcome::Cut, None),
    };
    context.with_dispatcher(|dispatcher, now| {
        dispatcher.health_check_ended(now, worker, serial, outcome, report)
    });
}
