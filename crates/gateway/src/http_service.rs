//! The HTTP service, which handles one request on its core from its head to its response: it finds the function, checks
//! the header fields, reads the body, submits the request to the dispatcher and waits for the response.

use crate::body_buffer::BufferedBody;
use crate::core_context::CoreContext;
use crate::core_message::RequestLocation;
use crate::open_requests::NewRequest;
use crate::request_error::RequestError;
use crate::request_reader::{RequestParameters, read_body};
use crate::response::{
    FinalResponse, LocalResponse, ResponseBody, failed, health_response, local_response, rejected,
};
use crate::response_channel::{ConnectionState, ResponseChannel};
use crate::response_guard::ResponseGuard;
use crate::worker_response::remove_hop_by_hop_headers;
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use milletpath_dispatcher::dispatcher::{IncomingRequest, RequestId};
use milletpath_protocol::invoke;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Handles one request. The connection is closed after the response if the gateway is shutting down, or if this core is
/// overloaded and has been asked to close some connections.
pub async fn handle_request(
    context: Rc<CoreContext>,
    channel: Arc<ResponseChannel>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    context.slot().requests.fetch_add(1, Ordering::Relaxed);
    let rate = channel.record_request(context.now());
    if !channel.claim.expect_response() {
        // Another core has closed this connection. Its response states that the request has not run.
        return rejected("bounced", "This connection is closed", None);
    }
    let mut guard = ResponseGuard::new(context.clone(), channel);
    let response = process_request(&context, &mut guard, request).await;
    let mut response = response.unwrap_or_else(RequestError::into_response);
    guard.set_ready();
    if context.is_stopping() || context.slot().should_close_connection(rate) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn process_request(
    context: &Rc<CoreContext>,
    guard: &mut ResponseGuard,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestError> {
    let (arrived_at, is_stopping) = (context.earliest_arrival(), context.is_stopping());
    let (Parts { method, uri, mut headers, .. }, body) = request.into_parts();
    let function = match route(&method, uri.path())? {
        invoke::Route::Invoke(function) => function,
        invoke::Route::Live => return Ok(health_response(true, "live\n")),
        invoke::Route::Ready => return Ok(readiness(context, is_stopping)),
    };
    if is_stopping {
        return Err(RequestError::Stopping);
    }
    let parameters = RequestParameters::parse(context, function, &headers)?;
    let BufferedBody { bytes, reservation } =
        read_body(context, body, arrived_at + parameters.timeout).await?;
    if guard.channel.client_disconnected() {
        return Ok(guard.cancel());
    }
    match guard.channel.settled_connection_state().await {
        ConnectionState::Connected => {}
        ConnectionState::Departed => return Ok(guard.cancel()),
        ConnectionState::Unsettled | ConnectionState::Unknown => return Err(RequestError::ClientUnconfirmed),
    }
    remove_headers(&mut headers);
    let NewRequest { request_slot, response } = context.open_request(guard.channel.clone(), headers, bytes);
    guard.request_slot = Some(request_slot);
    guard.request = submit(context, function, &parameters, arrived_at, request_slot, &guard.channel);
    let Some(request) = guard.request else {
        return Err(RequestError::TooManyRequests { retry_after: context.config().policy.max_retry_after });
    };
    let response = tokio::select! {
        biased;
        response = response => response,
        // hyper detects that the client has disconnected only while no bytes of a further request are buffered.
        () = guard.channel.wait_for_disconnect() => return Ok(guard.cancel()),
    };
    drop(reservation);
    Ok(final_response(context, request, response))
}

/// Determines what a request addresses from its method and path.
fn route<'a>(method: &Method, path: &'a str) -> Result<invoke::Route<'a>, RequestError> {
    invoke::route(method, path).map_err(|unknown| match unknown {
        invoke::RouteError::UnknownPath => RequestError::UnknownPath,
        invoke::RouteError::MethodNotAllowed(allowed) => RequestError::WrongMethod { allowed },
        invoke::RouteError::InvalidFunctionName => RequestError::InvalidName,
    })
}

/// The response to a readiness check.
fn readiness(context: &CoreContext, is_stopping: bool) -> Response<ResponseBody> {
    if is_stopping {
        return health_response(false, "stopping\n");
    }
    if !context.shared_runtime.query_dispatcher(|dispatcher| dispatcher.has_endpoints()) {
        return health_response(false, "no worker list yet\n");
    }
    health_response(true, "ready\n")
}

/// Removes the header fields that are not forwarded. The idempotency key is kept even if `Connection` lists it.
fn remove_headers(headers: &mut HeaderMap) {
    let key = headers.remove(&invoke::IDEMPOTENCY_KEY);
    remove_hop_by_hop_headers(headers);
    if let Some(key) = key {
        headers.insert(&invoke::IDEMPOTENCY_KEY, key);
    }
}

/// Submits a request to the dispatcher; `None` if too many are open.
fn submit(
    context: &Rc<CoreContext>,
    function: &str,
    parameters: &RequestParameters,
    arrived_at: f64,
    request_slot: usize,
    channel: &Arc<ResponseChannel>,
) -> Option<RequestId> {
    let &RequestParameters { profile, client, timeout, is_retry } = parameters;
    let location = RequestLocation { core: context.core, request_slot, channel: channel.clone() };
    context.with_dispatcher(|dispatcher, now| {
        let timeout = timeout - (now - arrived_at);
        let request = IncomingRequest { function, profile, client, timeout, is_retry, resources: None };
        // Must be set before the resulting messages are handled, because they look it up.
        dispatcher.submit(now, request, location).inspect(|id| channel.set_current_request(*id))
    })
}

/// Builds the response that is sent to the client.
fn final_response(
    context: &CoreContext,
    request: RequestId,
    response: Result<FinalResponse, oneshot::error::RecvError>,
) -> Response<ResponseBody> {
    let mut response = match response {
        Ok(FinalResponse::FromWorker(head, bytes, reservation)) => {
            let mut response = Response::from_parts(head, ResponseBody::from_worker(bytes, reservation));
            response.headers_mut().insert(&invoke::OUTCOME, HeaderValue::from_static("handled"));
            response
        }
        Ok(FinalResponse::Local(response)) => local_response(response),
        Ok(FinalResponse::TooLarge) => {
            let detail = "The worker's answer is larger than this gateway passes on; the call has run.";
            failed(StatusCode::BAD_GATEWAY, "answer-too-large", "The answer is too large", detail)
        }
        // Another core has responded, so this response is never written.
        Err(_) => local_response(LocalResponse::Failed { timed_out: false }),
    };
    let id = format!("{:08x}-{:x}", context.shared_runtime.instance_id, request.serial);
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(&invoke::REQUEST_ID, id);
    }
    response
}
