//! The way of a call on its core: door (decode, bounds, indices), desk, shot, answer.

use crate::answer::{Held, Own, Reply, Written, answer_of, bounced, faulty, healthy, refused, terminated};
use crate::gather::Gathered;
use crate::header_timer::HeaderTimer;
use crate::line::{Line, Own as OwnEnd};
use crate::paced::Paced;
use crate::shared_runtime::{ConnectionPermit, Place};
use crate::shell::Gateway;
use crate::shot::pass_on;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use milletpath_dispatcher::dispatcher::{IncomingRequest, RequestId};
use milletpath_policy::host::Effect;
use milletpath_protocol::{Fault, invoke};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A client connection of a core, counted and known by its number for as long as it is open.
struct Guest {
    gateway: Rc<Gateway>,
    number: u64,
    line: Arc<Line>,
    /// It came to its end; else it is dropped with its core.
    ended: Cell<bool>,
    _ticket: ConnectionPermit,
}

impl Drop for Guest {
    fn drop(&mut self) {
        let shared_runtime = &self.gateway.shared_runtime;
        let seat = &shared_runtime.core_slots[self.gateway.seat];
        seat.lines().remove(&self.number);
        if !self.ended.get() {
            self.line.farewell(answer_of(Own::lost(false)));
        }
        if seat.open.fetch_sub(1, Ordering::AcqRel) == 1 && shared_runtime.stopping.load(Ordering::Acquire) {
            seat.bell.notify_one();
        }
    }
}

/// Takes up a connection that was dealt to this core.
pub fn welcome(gateway: &Rc<Gateway>, stream: std::net::TcpStream, ticket: ConnectionPermit) {
    let stream = match TcpStream::from_std(stream) {
        Ok(stream) => stream,
        Err(e) => return tracing::warn!("a client's connection can't be taken up: {e}"),
    };
    let _ = stream.set_nodelay(true);
    let line = Arc::new(Line::new(stream, gateway.now()));
    let seat = &gateway.shared_runtime.core_slots[gateway.seat];
    let (number, ended) = (gateway.shared_runtime.number(), Cell::new(false));
    let guest = Guest { gateway: gateway.clone(), number, line: line.clone(), ended, _ticket: ticket };
    seat.open.fetch_add(1, Ordering::AcqRel);
    seat.lines().insert(guest.number, line.clone());
    spawn_local(connection(gateway.clone(), line, guest));
}

/// One client connection, for as long as it lasts.
async fn connection(gateway: Rc<Gateway>, line: Arc<Line>, guest: Guest) {
    /// Bytes of header fields, and their number: several times what browsers and tools send.
    const HEAD: usize = 64 << 10;
    const FIELDS: usize = 128;
    let mut stop = gateway.stopping();
    let bounds = gateway.bounds().clone();
    let owner = line.clone();
    let service = service_fn(move |request| {
        let (gateway, line) = (gateway.clone(), owner.clone());
        async move { Ok::<_, Infallible>(answer(gateway, line, request).await) }
    });
    let io = Paced::new(OwnEnd(line.clone()), Duration::from_secs_f64(bounds.stall_timeout));
    let mut connection = pin!(
        http1::Builder::new()
            .timer(HeaderTimer(line.clone()))
            .header_read_timeout(Duration::from_secs_f64(bounds.header_timeout))
            .max_buf_size(HEAD)
            .max_headers(FIELDS)
            .serve_connection(io, service)
    );
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // What it gives holds a lock, on which this thread would wait when it is told again: let go of at once.
        () = async { drop(stop.wait_for(|stop| *stop).await) } => wind_up(connection.as_mut(), &line).await,
    };
    guest.ended.set(true);
    line.linger().await;
    if let Err(e) = ended {
        tracing::debug!("a client's connection ended: {e}");
    }
}

/// The gateway ends: so does a connection, once nothing is open, begun or unread on it, or behind its next answer.
async fn wind_up(
    mut connection: Pin<
        &mut http1::Connection<
            Paced<OwnEnd>,
            impl HttpService<Incoming, ResBody = Written, Error = Infallible>,
        >,
    >,
    line: &Line,
) -> hyper::Result<()> {
    /// Between two looks whether it is quiet: short against what a client notices, long against a look.
    const LOOK: Duration = Duration::from_millis(20);
    while !line.is_quiet() {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = tokio::time::sleep(LOOK) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// A call until its answer goes to the client. Dropped before, its client has left, or its core ends: it is called
/// off, and the last word said, in case somebody is there to hear it.
struct Owed {
    gateway: Rc<Gateway>,
    line: Arc<Line>,
    tag: Option<RequestId>,
    slot: Option<usize>,
    answered: bool,
}

impl Owed {
    /// The client has left: the call is called off. What may still be heard of it, and the connection's end: calls
    /// behind it are nobody's either.
    fn call_off(&self) -> Response<Written> {
        let mut response = answer_of(self.lost());
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        response
    }

    fn lost(&self) -> Own {
        let left =
            |tag| self.gateway.shared_runtime.with_dispatcher(None, |desk, now| desk.client_gone(now, tag));
        Own::lost(self.tag.is_some_and(left))
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        if !self.answered {
            self.line.last_word(answer_of(self.lost()));
        }
        if let Some(slot) = self.slot {
            self.gateway.let_go(slot);
        }
    }
}

/// One request, from its head to its answer; a crowded core closes the connection behind some, a gateway that ends
/// behind each.
async fn answer(gateway: Rc<Gateway>, line: Arc<Line>, request: Request<Incoming>) -> Response<Written> {
    let seat = &gateway.shared_runtime.core_slots[gateway.seat];
    seat.calls.fetch_add(1, Ordering::Relaxed);
    let rate = line.count(gateway.now());
    if !line.claim.owe() {
        // Another has closed this line meanwhile and told its client that nothing ran: so nothing may.
        return bounced("bounced", "This connection is closed", None);
    }
    let mut owed = Owed { gateway: gateway.clone(), line, tag: None, slot: None, answered: false };
    let mut response = take(&gateway, &mut owed, request).await;
    owed.answered = true;
    owed.line.ready();
    if gateway.is_stopping() || seat.sends_away(rate) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn take(gateway: &Rc<Gateway>, owed: &mut Owed, request: Request<Incoming>) -> Response<Written> {
    let (came, stopping) = (gateway.since(), gateway.is_stopping());
    let (mut parts, body) = request.into_parts();
    let function = match invoke::wanted(&parts.method, parts.uri.path()) {
        Ok(invoke::Wanted::Activation(function)) => function,
        Ok(invoke::Wanted::Live) => return healthy(true, "live\n"),
        Ok(invoke::Wanted::Ready) if stopping => return healthy(false, "stopping\n"),
        Ok(invoke::Wanted::Ready) if !gateway.shared_runtime.query_dispatcher(|d| d.has_endpoints()) => {
            return healthy(false, "no worker list yet\n");
        }
        Ok(invoke::Wanted::Ready) => return healthy(true, "ready\n"),
        Err(invoke::Unknown::Path) => {
            let detail = "Calls go to POST /v1/functions/{name}/activations.";
            return refused(StatusCode::NOT_FOUND, "unknown-path", "There is nothing here", detail);
        }
        Err(invoke::Unknown::Method(right)) => {
            let detail = format!("Use {right} here.");
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut response = refused(status, "wrong-method", "Another method is needed", &detail);
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(right));
            return response;
        }
        Err(invoke::Unknown::Name) => {
            let detail = "A function's name has 1 to 128 letters, digits and -._~: and is part of the path.";
            return refused(StatusCode::BAD_REQUEST, "bad-name", "That is no function's name", detail);
        }
    };
    if stopping {
        return bounced("stopping", "This gateway is stopping", None);
    }
    let door = match door(gateway, function, &parts.headers) {
        Ok(door) => door,
        Err(response) => return *response,
    };
    let (body, held) = match read(gateway, body, came + door.patience).await {
        Ok(read) => read,
        Err(response) => return *response,
    };
    if owed.line.has_left() {
        return owed.call_off();
    }
    // Taken out before, so that no `Connection: idempotency-key` strips a receipt of its mark.
    let key = parts.headers.remove(&invoke::IDEMPOTENCY_KEY);
    pass_on(&mut parts.headers);
    if let Some(key) = key {
        parts.headers.insert(&invoke::IDEMPOTENCY_KEY, key);
    }
    let (slot, receiver) = gateway.keep(owed.line.clone(), parts.headers, body);
    owed.slot = Some(slot);
    let line = owed.line.clone();
    owed.tag = gateway.tell(|desk, now| {
        let patience = door.patience - (now - came);
        let Door { profile, client, repeat, .. } = door;
        let place = Place { seat: gateway.seat, slot, line: line.clone() };
        let tag = desk.submit(
            now,
            IncomingRequest {
                function,
                profile,
                client,
                timeout: patience,
                is_retry: repeat,
                resources: None,
            },
            place,
        );
        tag.inspect(|tag| line.take_up(*tag))
    });
    let Some(tag) = owed.tag else {
        return bounced("full", "Too many calls are in hand", gateway.house().policy.come_back);
    };
    // hyper looks for the client's end only where it has no bytes of a further call.
    let reply = tokio::select! {
        biased;
        reply = receiver => reply,
        () = owed.line.left() => return owed.call_off(),
    };
    drop(held);
    let mut response = match reply {
        Ok(Reply::Handled(parts, bytes, held)) => {
            let mut response = Response::from_parts(parts, Written::handled(bytes, held));
            response.headers_mut().insert(&invoke::OUTCOME, HeaderValue::from_static("handled"));
            response
        }
        Ok(Reply::Own(own)) => answer_of(own),
        Ok(Reply::TooLarge) => {
            let detail = "The worker's answer is larger than this gateway passes on; the call has run.";
            terminated(StatusCode::BAD_GATEWAY, "answer-too-large", "The answer is too large", detail)
        }
        // Another core has said the last word; this is not written any more.
        Err(_) => answer_of(Own::Terminated { late: false }),
    };
    if let Ok(id) = HeaderValue::from_str(&format!("{:08x}-{:x}", gateway.shared_runtime.life, tag.serial)) {
        response.headers_mut().insert(&invoke::ACTIVATION, id);
    }
    response
}

/// Why a call is not taken; boxed, as it is seldom and large.
type Refusal = Box<Response<Written>>;

/// What the door makes of a call's header fields.
struct Door {
    profile: usize,
    client: usize,
    patience: f64,
    repeat: bool,
}

fn door(gateway: &Gateway, function: &str, headers: &http::HeaderMap) -> Result<Door, Refusal> {
    let house = gateway.house();
    let named = invoke::name(headers, &invoke::PROFILE).map_err(|f| Box::new(faulty(&f)))?;
    let bound = gateway.shared_runtime.figures(function).profile;
    let profile = match named {
        None => bound.unwrap_or(0),
        Some(name) => match house.profiles.iter().position(|p| p.name == name) {
            Some(profile) if bound.is_none_or(|bound| bound == profile) => profile,
            Some(_) => {
                return Err(Box::new(faulty(&Fault::new(
                    invoke::PROFILE.as_str(),
                    "the function is called under another profile only",
                ))));
            }
            None => {
                return Err(Box::new(faulty(&Fault::new(
                    invoke::PROFILE.as_str(),
                    format!("there is no profile {name}"),
                ))));
            }
        },
    };
    let client = invoke::name(headers, &invoke::CLIENT).map_err(|f| Box::new(faulty(&f)))?;
    let client = client.and_then(|name| house.clients.iter().position(|c| c == name)).unwrap_or(usize::MAX);
    let patience = invoke::patience(headers).map_err(|f| Box::new(faulty(&f)))?;
    let key = invoke::key(headers).map_err(|f| Box::new(faulty(&f)))?;
    let receipted = matches!(house.policy.profiles[profile].effect, Effect::Receipted { .. });
    if receipted && key.is_none() {
        let wrong = "is missing; calls of this profile need a mark by which a repeat is known";
        return Err(Box::new(faulty(&Fault::new(invoke::IDEMPOTENCY_KEY.as_str(), wrong))));
    }
    Ok(Door {
        profile,
        client,
        patience: patience.unwrap_or(f64::INFINITY).min(house.profiles[profile].deadline),
        repeat: invoke::repeat(headers).map_err(|f| Box::new(faulty(&f)))?,
    })
}

/// Reads a call's body to its end, within its bounds of size and time.
async fn read(gateway: &Gateway, mut body: Incoming, until: f64) -> Result<(Bytes, Vec<Held>), Refusal> {
    let bounds = gateway.bounds();
    let too_large = || {
        let detail = format!("A call's body may have {} bytes here.", bounds.max_request_body);
        Box::new(refused(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "The body is too large", &detail))
    };
    if body.size_hint().lower() > bounds.max_request_body as u64 {
        return Err(too_large());
    }
    let (mut gathered, mut held) = (Gathered::default(), Vec::new());
    while !body.is_end_stream() {
        let wait = bounds.stall_timeout.min(until - gateway.now()).max(0.0);
        let frame = match tokio::time::timeout(Duration::from_secs_f64(wait), body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => {
                return Err(Box::new(refused(
                    StatusCode::BAD_REQUEST,
                    "bad-body",
                    "The body can't be read",
                    &e.to_string(),
                )));
            }
            Err(_) => {
                let detail = "The body did not come within the client's own time.";
                return Err(Box::new(refused(
                    StatusCode::REQUEST_TIMEOUT,
                    "slow-body",
                    "The body came too slowly",
                    detail,
                )));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if gathered.len() + data.len() > bounds.max_request_body {
            return Err(too_large());
        }
        match gateway.hold(data.len()) {
            Some(bytes) => held.push(bytes),
            None => {
                return Err(Box::new(bounced(
                    "full",
                    "Too many bytes are in hand",
                    gateway.house().policy.come_back,
                )));
            }
        }
        gathered.add(data);
    }
    Ok((gathered.whole(), held))
}
