//! Requests that the gateway sends to workers on its own behalf: to load or unload a function, and health checks.

use crate::connection_pool::WorkerTarget;
use crate::core_context::CoreContext;
use crate::core_message::RequestKind;
use crate::worker_exchange::{
    ExchangeError, PendingResponse, build_request, exchange, host_header, read_body,
};
use crate::worker_response::{load_report, load_result};
use crate::write_permit::SendDecision;
use bytes::Bytes;
use http::Method;
use http::header::{self, HeaderMap, HeaderValue};
use http::response::Parts;
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::worker as wire;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request to a worker, without a body.
struct Command {
    method: Method,
    path: String,
    /// The number of instances requested, for load requests.
    instances: Option<u8>,
}

/// Sends a command. Returns the head of the response after its body has been read.
async fn send(
    context: &Rc<CoreContext>,
    target: WorkerTarget,
    command: Command,
    mut begin: impl FnMut() -> SendDecision,
) -> Result<Parts, ExchangeError> {
    let Command { method, path, instances } = command;
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, host_header(target.endpoint));
    if let Some(instances) = instances {
        headers.insert(&wire::INSTANCES, HeaderValue::from(u16::from(instances)));
    }
    let request = build_request(method, path, headers, Bytes::new()).ok_or(ExchangeError::NoConnection)?;
    let PendingResponse { response, connection } = exchange(context, target, request, |_| begin()).await?;
    let (head, body) = response.into_parts();
    read_body(context, body).await.map_err(|_| ExchangeError::Interrupted)?;
    context.return_connection(target.worker, connection);
    Ok(head)
}

/// Requests a worker to load instances of a function, and reports the result to the dispatcher.
pub async fn load_function(
    context: Rc<CoreContext>,
    load_request: RequestId,
    target: WorkerTarget,
    function: Arc<str>,
    instances: u8,
) {
    let command =
        Command { method: Method::POST, path: wire::load_path(&function), instances: Some(instances) };
    let begin = || {
        context.decide_to_send(RequestKind::LoadRequest, |dispatcher, now| {
            dispatcher.begin_load_request(now, load_request)
        })
    };
    let timeout = Duration::from_secs_f64(context.config().policy.load_request_timeout);
    let response = tokio::time::timeout(timeout, send(&context, target, command, begin));
    // On a timeout the dispatcher ends the load request itself; only the connection is closed here.
    let Ok(response) = response.await else { return };
    let (outcome, loaded) = match response {
        Ok(head) => load_result(&head, instances),
        Err(error) => match error.outcome() {
            Some(outcome) => (outcome, 0),
            None => return,
        },
    };
    context.with_dispatcher(|dispatcher, now| {
        dispatcher.load_request_ended(now, load_request, outcome, loaded);
    });
}

/// Requests a worker to unload idle instances. The response is ignored. The dispatcher is not asked again: a late request
/// does no harm, as the worker unloads nothing that is in use.
pub async fn unload_function(context: Rc<CoreContext>, target: WorkerTarget, function: Arc<str>) {
    let command = Command { method: Method::POST, path: wire::unload_path(&function), instances: None };
    let timeout = Duration::from_secs_f64(context.limits().health_check_timeout);
    let begin = || SendDecision::Send { decided_at: Instant::now() };
    let _ = tokio::time::timeout(timeout, send(&context, target, command, begin)).await;
}

/// Checks whether a worker is ready, and reports the result to the dispatcher.
pub async fn health_check(context: Rc<CoreContext>, target: WorkerTarget, serial: u64) {
    let command = Command { method: Method::GET, path: wire::HEALTH_PATH.to_owned(), instances: None };
    let timeout = Duration::from_secs_f64(context.limits().health_check_timeout);
    let begin = || {
        context.decide_to_send(RequestKind::HealthCheck, |dispatcher, _| {
            dispatcher.awaits_health_check(target.worker, serial)
        })
    };
    let response = tokio::time::timeout(timeout, send(&context, target, command, begin));
    // On a timeout the dispatcher ends the health check itself.
    let Ok(response) = response.await else { return };
    let (outcome, report) = health_check_result(response);
    context.with_dispatcher(|dispatcher, now| {
        dispatcher.health_check_ended(now, target.worker, serial, outcome, report);
    });
}

fn health_check_result(response: Result<Parts, ExchangeError>) -> (Outcome, Option<LoadReport>) {
    match response {
        Ok(head) if head.status.is_success() => (Outcome::Succeeded, load_report(&head.headers)),
        Ok(head) => (Outcome::Failed, load_report(&head.headers)),
        Err(error) => (error.outcome().unwrap_or(Outcome::NotSent), None),
    }
}
