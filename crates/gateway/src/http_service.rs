//! The way of a call on its core: door (decode, limits, indices), desk, shot, answer.

use crate::attempt::remove_hop_by_hop_headers;
use crate::body_buffer::BodyBuffer;
use crate::core_context::CoreContext;
use crate::header_timer::HeaderTimer;
use crate::response::{
    BufferedBytes, FinalResponse, LocalResponse, ResponseBody, client_error, failed, health_response,
    invalid_header, local_response, rejected,
};
use crate::response_channel::{ChannelIo, ResponseChannel};
use crate::shared_runtime::{ConnectionPermit, RequestLocation};
use crate::write_timeout::WriteTimeout;
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
struct ClientConnection {
    context: Rc<CoreContext>,
    number: u64,
    channel: Arc<ResponseChannel>,
    /// It came to its end; else it is dropped with its core.
    ended: Cell<bool>,
    _permit: ConnectionPermit,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let shared_runtime = &self.context.shared_runtime;
        let core_slot = &shared_runtime.core_slots[self.context.core];
        core_slot.channels().remove(&self.number);
        if !self.ended.get() {
            self.channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
        }
        if core_slot.open.fetch_sub(1, Ordering::AcqRel) == 1
            && shared_runtime.stopping.load(Ordering::Acquire)
        {
            core_slot.wake.notify_one();
        }
    }
}

/// Takes up a connection that was dealt to this core.
pub fn accept(context: &Rc<CoreContext>, stream: std::net::TcpStream, permit: ConnectionPermit) {
    let stream = match TcpStream::from_std(stream) {
        Ok(stream) => stream,
        Err(e) => return tracing::warn!("a client's connection can't be taken up: {e}"),
    };
    let _ = stream.set_nodelay(true);
    let channel = Arc::new(ResponseChannel::new(stream, context.now()));
    let core_slot = &context.shared_runtime.core_slots[context.core];
    let (number, ended) = (context.shared_runtime.new_connection_id(), Cell::new(false));
    let client_connection = ClientConnection {
        context: context.clone(),
        number,
        channel: channel.clone(),
        ended,
        _permit: permit,
    };
    core_slot.open.fetch_add(1, Ordering::AcqRel);
    core_slot.channels().insert(client_connection.number, channel.clone());
    spawn_local(serve_connection(context.clone(), channel, client_connection));
}

/// One client connection, for as long as it lasts.
async fn serve_connection(
    context: Rc<CoreContext>,
    channel: Arc<ResponseChannel>,
    client_connection: ClientConnection,
) {
    /// Bytes of header fields, and their number: several times what browsers and tools send.
    const MAX_HEAD_BYTES: usize = 64 << 10;
    const MAX_FIELDS: usize = 128;
    let mut stop = context.stopping();
    let limits = context.limits().clone();
    let service_channel = channel.clone();
    let service = service_fn(move |request| {
        let (context, channel) = (context.clone(), service_channel.clone());
        async move { Ok::<_, Infallible>(handle_request(context, channel, request).await) }
    });
    let io = WriteTimeout::new(ChannelIo(channel.clone()), Duration::from_secs_f64(limits.stall_timeout));
    let mut connection = pin!(
        http1::Builder::new()
            .timer(HeaderTimer(channel.clone()))
            .header_read_timeout(Duration::from_secs_f64(limits.header_timeout))
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_FIELDS)
            .serve_connection(io, service)
    );
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // What it gives holds a lock, on which this thread would wait when it is told again: let go of at once.
        () = async { drop(stop.wait_for(|stop| *stop).await) } => drain(connection.as_mut(), &channel).await,
    };
    client_connection.ended.set(true);
    channel.linger().await;
    if let Err(e) = ended {
        tracing::debug!("a client's connection ended: {e}");
    }
}

/// The gateway ends: so does a connection, once nothing is open, begun or unread on it, or behind its next answer.
async fn drain(
    mut connection: Pin<
        &mut http1::Connection<
            WriteTimeout<ChannelIo>,
            impl HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
        >,
    >,
    channel: &ResponseChannel,
) -> hyper::Result<()> {
    /// Between two looks whether it is quiet: short against what a client notices, long against a look.
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    while !channel.is_quiet() {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// A call until its answer goes to the client. Dropped before, its client has left, or its core ends: it is called
/// off, and the last word said, in case somebody is there to hear it.
struct ResponseGuard {
    context: Rc<CoreContext>,
    channel: Arc<ResponseChannel>,
    request: Option<RequestId>,
    request_slot: Option<usize>,
    answered: bool,
}

impl ResponseGuard {
    /// The client has left: the call is called off. What may still be heard of it, and the connection's end: calls
    /// behind it are nobody's either.
    fn cancel(&self) -> Response<ResponseBody> {
        let mut response = local_response(self.interrupted());
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        response
    }

    fn interrupted(&self) -> LocalResponse {
        let client_gone = |request| {
            self.context
                .shared_runtime
                .with_dispatcher(None, |dispatcher, now| dispatcher.client_gone(now, request))
        };
        LocalResponse::interrupted(self.request.is_some_and(client_gone))
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.channel.respond_from_other_core(local_response(self.interrupted()));
        }
        if let Some(request_slot) = self.request_slot {
            self.context.close_request(request_slot);
        }
    }
}

/// One request, from its head to its answer; a crowded core closes the connection behind some, a gateway that ends
/// behind each.
async fn handle_request(
    context: Rc<CoreContext>,
    channel: Arc<ResponseChannel>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let core_slot = &context.shared_runtime.core_slots[context.core];
    core_slot.requests.fetch_add(1, Ordering::Relaxed);
    let rate = channel.record_request(context.now());
    if !channel.claim.owe() {
        // Another has closed this line meanwhile and told its client that nothing ran: so nothing may.
        return rejected("bounced", "This connection is closed", None);
    }
    let mut guard = ResponseGuard {
        context: context.clone(),
        channel,
        request: None,
        request_slot: None,
        answered: false,
    };
    let mut response = process_request(&context, &mut guard, request).await;
    guard.answered = true;
    guard.channel.begin_response();
    if context.is_stopping() || core_slot.should_close_connection(rate) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn process_request(
    context: &Rc<CoreContext>,
    guard: &mut ResponseGuard,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (arrived_at, stopping) = (context.earliest_arrival(), context.is_stopping());
    let (mut parts, body) = request.into_parts();
    let function = match invoke::wanted(&parts.method, parts.uri.path()) {
        Ok(invoke::Wanted::Activation(function)) => function,
        Ok(invoke::Wanted::Live) => return health_response(true, "live\n"),
        Ok(invoke::Wanted::Ready) if stopping => return health_response(false, "stopping\n"),
        Ok(invoke::Wanted::Ready) if !context.shared_runtime.query_dispatcher(|d| d.has_endpoints()) => {
            return health_response(false, "no worker list yet\n");
        }
        Ok(invoke::Wanted::Ready) => return health_response(true, "ready\n"),
        Err(invoke::Unknown::Path) => {
            let detail = "Calls go to POST /v1/functions/{name}/activations.";
            return client_error(StatusCode::NOT_FOUND, "unknown-path", "There is nothing here", detail);
        }
        Err(invoke::Unknown::Method(right)) => {
            let detail = format!("Use {right} here.");
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut response = client_error(status, "wrong-method", "Another method is needed", &detail);
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(right));
            return response;
        }
        Err(invoke::Unknown::Name) => {
            let detail = "A function's name has 1 to 128 letters, digits and -._~: and is part of the path.";
            return client_error(StatusCode::BAD_REQUEST, "bad-name", "That is no function's name", detail);
        }
    };
    if stopping {
        return rejected("stopping", "This gateway is stopping", None);
    }
    let parameters = match validate_headers(context, function, &parts.headers) {
        Ok(parameters) => parameters,
        Err(response) => return *response,
    };
    let (body, held) = match read_body(context, body, arrived_at + parameters.timeout).await {
        Ok(read) => read,
        Err(response) => return *response,
    };
    if guard.channel.client_disconnected() {
        return guard.cancel();
    }
    // Taken out before, so that no `Connection: idempotency-key` strips a receipt of its mark.
    let key = parts.headers.remove(&invoke::IDEMPOTENCY_KEY);
    remove_hop_by_hop_headers(&mut parts.headers);
    if let Some(key) = key {
        parts.headers.insert(&invoke::IDEMPOTENCY_KEY, key);
    }
    let (request_slot, receiver) = context.open_request(guard.channel.clone(), parts.headers, body);
    guard.request_slot = Some(request_slot);
    let channel = guard.channel.clone();
    guard.request = context.with_dispatcher(|dispatcher, now| {
        let timeout = parameters.timeout - (now - arrived_at);
        let RequestParameters { profile, client, is_retry, .. } = parameters;
        let location = RequestLocation { core: context.core, request_slot, channel: channel.clone() };
        let request = dispatcher.submit(
            now,
            IncomingRequest {
                function,
                profile,
                client,
                timeout: timeout,
                is_retry: is_retry,
                resources: None,
            },
            location,
        );
        request.inspect(|request| channel.set_current_request(*request))
    });
    let Some(request) = guard.request else {
        return rejected("full", "Too many calls are in hand", context.config().policy.come_back);
    };
    // hyper looks for the client's end only where it has no bytes of a further call.
    let reply = tokio::select! {
        biased;
        reply = receiver => reply,
        () = guard.channel.wait_for_disconnect() => return guard.cancel(),
    };
    drop(held);
    let mut response = match reply {
        Ok(FinalResponse::FromWorker(parts, bytes, held)) => {
            let mut response = Response::from_parts(parts, ResponseBody::from_worker(bytes, held));
            response.headers_mut().insert(&invoke::OUTCOME, HeaderValue::from_static("handled"));
            response
        }
        Ok(FinalResponse::Local(own)) => local_response(own),
        Ok(FinalResponse::TooLarge) => {
            let detail = "The worker's answer is larger than this gateway passes on; the call has run.";
            failed(StatusCode::BAD_GATEWAY, "answer-too-large", "The answer is too large", detail)
        }
        // Another core has said the last word; this is not written any more.
        Err(_) => local_response(LocalResponse::Failed { timed_out: false }),
    };
    if let Ok(id) =
        HeaderValue::from_str(&format!("{:08x}-{:x}", context.shared_runtime.instance_id, request.serial))
    {
        response.headers_mut().insert(&invoke::ACTIVATION, id);
    }
    response
}

/// Why a call is not taken; boxed, as it is seldom and large.
type ErrorResponse = Box<Response<ResponseBody>>;

/// What the door makes of a call's header fields.
struct RequestParameters {
    profile: usize,
    client: usize,
    timeout: f64,
    is_retry: bool,
}

fn validate_headers(
    context: &CoreContext,
    function: &str,
    headers: &http::HeaderMap,
) -> Result<RequestParameters, ErrorResponse> {
    let config = context.config();
    let stated = invoke::name(headers, &invoke::PROFILE).map_err(|f| Box::new(invalid_header(&f)))?;
    let required = context.shared_runtime.function_config(function).profile;
    let profile = match stated {
        None => required.unwrap_or(0),
        Some(name) => match config.profiles.iter().position(|p| p.name == name) {
            Some(profile) if required.is_none_or(|required| required == profile) => profile,
            Some(_) => {
                return Err(Box::new(invalid_header(&Fault::new(
                    invoke::PROFILE.as_str(),
                    "the function is called under another profile only",
                ))));
            }
            None => {
                return Err(Box::new(invalid_header(&Fault::new(
                    invoke::PROFILE.as_str(),
                    format!("there is no profile {name}"),
                ))));
            }
        },
    };
    let client = invoke::name(headers, &invoke::CLIENT).map_err(|f| Box::new(invalid_header(&f)))?;
    let client = client.and_then(|name| config.clients.iter().position(|c| c == name)).unwrap_or(usize::MAX);
    let timeout = invoke::patience(headers).map_err(|f| Box::new(invalid_header(&f)))?;
    let key = invoke::key(headers).map_err(|f| Box::new(invalid_header(&f)))?;
    let needs_key = matches!(config.policy.profiles[profile].effect, Effect::Receipted { .. });
    if needs_key && key.is_none() {
        let detail = "is missing; calls of this profile need a mark by which a repeat is known";
        return Err(Box::new(invalid_header(&Fault::new(invoke::IDEMPOTENCY_KEY.as_str(), detail))));
    }
    Ok(RequestParameters {
        profile,
        client,
        timeout: timeout.unwrap_or(f64::INFINITY).min(config.profiles[profile].deadline),
        is_retry: invoke::repeat(headers).map_err(|f| Box::new(invalid_header(&f)))?,
    })
}

/// Reads a call's body to its end, within its limits of size and time.
async fn read_body(
    context: &CoreContext,
    mut body: Incoming,
    until: f64,
) -> Result<(Bytes, Vec<BufferedBytes>), ErrorResponse> {
    let limits = context.limits();
    let too_large = || {
        let detail = format!("A call's body may have {} bytes here.", limits.max_request_body);
        Box::new(client_error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "The body is too large", &detail))
    };
    if body.size_hint().lower() > limits.max_request_body as u64 {
        return Err(too_large());
    }
    let (mut buffer, mut held) = (BodyBuffer::default(), Vec::new());
    while !body.is_end_stream() {
        let wait = limits.stall_timeout.min(until - context.now()).max(0.0);
        let frame = match tokio::time::timeout(Duration::from_secs_f64(wait), body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => {
                return Err(Box::new(client_error(
                    StatusCode::BAD_REQUEST,
                    "bad-body",
                    "The body can't be read",
                    &e.to_string(),
                )));
            }
            Err(_) => {
                let detail = "The body did not come within the client's own time.";
                return Err(Box::new(client_error(
                    StatusCode::REQUEST_TIMEOUT,
                    "slow-body",
                    "The body came too slowly",
                    detail,
                )));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > limits.max_request_body {
            return Err(too_large());
        }
        match context.reserve_buffer(data.len()) {
            Some(bytes) => held.push(bytes),
            None => {
                return Err(Box::new(rejected(
                    "full",
                    "Too many bytes are in hand",
                    context.config().policy.come_back,
                )));
            }
        }
        buffer.push(data);
    }
    Ok((buffer.into_bytes(), held))
}
