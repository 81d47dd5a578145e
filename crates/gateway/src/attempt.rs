//! Sends one attempt of a request to a worker, reads the response and reports the result to the dispatcher, which
//! decides whether this response goes to the client.

use crate::body_buffer::BufferedBody;
use crate::connection_pool::WorkerTarget;
use crate::core_context::CoreContext;
use crate::core_message::{AttemptId, RequestKind};
use crate::response::{FinalResponse, LocalResponse};
use crate::worker_exchange::{self, BodyError, PendingResponse, build_request, exchange, host_header};
use crate::worker_response::{attempt_result, remove_hop_by_hop_headers};
use crate::write_permit::SendDecision;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request};
use http_body_util::Full;
use milletpath_dispatcher::dispatcher::AttemptResult;
use milletpath_policy::Outcome;
use milletpath_protocol::worker as wire;
use std::rc::Rc;
use std::sync::Arc;

/// The parts of a client's request that an attempt sends to a worker.
pub struct AttemptRequest {
    /// Name of the requested function.
    pub function: Arc<str>,
    /// The client's header fields that are forwarded.
    pub headers: HeaderMap,
    /// The client's request body.
    pub body: Bytes,
}

impl AttemptRequest {
    /// Builds the HTTP request for a worker; `None` if its path is not a valid URI.
    fn into_http(self, attempt: usize, target: WorkerTarget) -> Option<Request<Full<Bytes>>> {
        let Self { function, mut headers, body } = self;
        headers.insert(header::HOST, host_header(target.endpoint));
        headers.insert(&wire::ATTEMPT, HeaderValue::from(attempt as u64));
        build_request(Method::POST, wire::infer_path(&function), headers, body)
    }
}

/// Sends an attempt and reports its result.
pub async fn send(
    context: Rc<CoreContext>,
    id: AttemptId,
    target: WorkerTarget,
    attempt_request: AttemptRequest,
) {
    let Some(request) = attempt_request.into_http(id.attempt, target) else { return };
    let begin = |headers: &mut HeaderMap| begin(&context, id, headers);
    match exchange(&context, target, request, begin).await {
        Ok(pending) => receive(&context, id, target, pending).await,
        Err(error) => {
            if let Some(outcome) = error.outcome() {
                report(&context, id, AttemptResult::from_outcome(outcome));
            }
        }
    }
}

/// Begins an attempt that is about to be written, unless its client may have left, and sets the header field with the
/// seconds left, which are computed only now because opening the connection may have taken time.
fn begin(context: &CoreContext, id: AttemptId, headers: &mut HeaderMap) -> SendDecision {
    let (mut time_left, mut abandoned) = (None, None);
    let may_client_have_left = context.may_client_have_left(id.request, id.request_slot);
    let decision = context.decide_to_send(RequestKind::Attempt, |dispatcher, now| {
        if may_client_have_left {
            abandoned = Some(LocalResponse::interrupted(dispatcher.client_gone(now, id.request)));
            return false;
        }
        if dispatcher.begin_attempt(now, id.request, id.attempt) {
            time_left = dispatcher.time_left(now, id.request, id.attempt);
        }
        time_left.is_some()
    });
    if let Some(response) = abandoned {
        context.respond_to(id.request, id.request_slot, FinalResponse::Local(response));
    }
    let time_left = time_left.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")).ok());
    if let Some(time_left) = time_left {
        headers.insert(&wire::TIME_LEFT, time_left);
    }
    decision
}

/// Reads the response of an attempt and reports the result.
async fn receive(context: &Rc<CoreContext>, id: AttemptId, target: WorkerTarget, pending: PendingResponse) {
    let PendingResponse { response, connection } = pending;
    let (mut head, body) = response.into_parts();
    let result = attempt_result(&head);
    match worker_exchange::read_body(context, body).await {
        Ok(BufferedBody { bytes, reservation }) => {
            context.return_connection(target.worker, connection);
            remove_hop_by_hop_headers(&mut head.headers);
            finish(context, id, result, FinalResponse::FromWorker(head, bytes, reservation));
        }
        Err(BodyError::Interrupted) => {
            report(context, id, AttemptResult { outcome: Outcome::ConnectionLost, ..result });
        }
        // A retry would produce a response that is too large as well, so the client is answered now.
        Err(BodyError::TooLarge) => {
            let result = AttemptResult { outcome: Outcome::Failed, answers_client: true, ..result };
            finish(context, id, result, FinalResponse::TooLarge);
        }
    }
}

/// Reports the result of an attempt. Returns whether its response goes to the client.
fn report(context: &Rc<CoreContext>, id: AttemptId, result: AttemptResult) -> bool {
    context.with_dispatcher(|dispatcher, now| dispatcher.attempt_ended(now, id.request, id.attempt, result))
}

/// Reports the result of an attempt, and responds to the client if the dispatcher selects this response.
fn finish(context: &Rc<CoreContext>, id: AttemptId, result: AttemptResult, response: FinalResponse) {
    if report(context, id, result) {
        context.respond_to(id.request, id.request_slot, response);
    }
}
