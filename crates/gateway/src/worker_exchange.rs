//! Performs one HTTP exchange with a worker, on a pooled or a new connection. Errors distinguish whether the worker may
//! have received the request; only if no part of it was written is it certain that the worker has not.

use crate::body_buffer::{BufferedBody, BuffersFull};
use crate::connection_pool::{Body, Connection, Endpoint, WorkerTarget};
use crate::core_context::{ConnectError, CoreContext};
use crate::io_fault::ConnectFault;
use crate::write_permit::SendDecision;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, Response};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use milletpath_policy::Outcome;
use std::rc::Rc;

/// Why an exchange yielded no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The worker did not accept a connection, or closed it before anything was written.
    #[error("the worker can't be reached")]
    Unreachable,
    /// The worker's connections are all in use, or this machine can't open one.
    #[error("no connection is available")]
    NoConnection,
    /// The dispatcher decided right before the write not to send the request.
    #[error("the request was withheld")]
    Withheld,
    /// The connection failed after part of the request was written, or the response was malformed.
    #[error("the exchange was interrupted")]
    Interrupted,
}

impl ExchangeError {
    /// Returns the outcome of an attempt that failed with this error, or `None` if the dispatcher already knows that it
    /// ended.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable => Some(Outcome::Unreachable),
            Self::NoConnection => Some(Outcome::NotSent),
            Self::Withheld => None,
            Self::Interrupted => Some(Outcome::ConnectionLost),
        }
    }
}

impl From<ConnectError> for ExchangeError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::LimitReached => Self::NoConnection,
            ConnectError::Io(error) if ConnectFault::of(&error) == ConnectFault::Local => Self::NoConnection,
            ConnectError::Io(_) => Self::Unreachable,
        }
    }
}

/// A response whose body has not been read, and the connection on which it arrives.
pub struct PendingResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// Must be returned to its pool once the body has been read.
    pub connection: Connection,
}

/// Sends one request. `begin` is called with its header fields right before it is written, and decides whether it may
/// be sent. It must leave the messages that result from the decision in the mailbox; they are handled here, once the
/// request was handed to its connection. If a pooled connection was closed before anything was written, the worker has
/// not received the request, and another connection is used.
pub async fn exchange(
    context: &Rc<CoreContext>,
    target: WorkerTarget,
    mut request: Request<Body>,
    mut begin: impl FnMut(&mut HeaderMap) -> SendDecision,
) -> Result<PendingResponse, ExchangeError> {
    loop {
        let (mut connection, is_new) = match context.idle_connection(target) {
            Some(connection) => (connection, false),
            None => (context.connect(target).await?, true),
        };
        if connection.sender.ready().await.is_err() {
            if is_new {
                return Err(ExchangeError::Unreachable);
            }
            continue;
        }
        context.wait_until_responsive().await;
        let decision = begin(request.headers_mut());
        let SendDecision::Send { decided_at } = decision else {
            context.process_messages();
            context.return_connection(target.worker, connection);
            return Err(ExchangeError::Withheld);
        };
        connection.write_permit.grant(decided_at);
        let sent = connection.sender.try_send_request(request);
        context.process_messages();
        match sent.await {
            Ok(response) => return Ok(PendingResponse { response, connection }),
            // This thread stalled between the decision and the write.
            Err(_) if connection.write_permit.was_refused() => return Err(ExchangeError::NoConnection),
            Err(mut error) => match error.take_message() {
                // hyper returns the request only if no part of it was written.
                Some(unwritten) if !is_new => request = unwritten,
                Some(_) => return Err(ExchangeError::Unreachable),
                None => return Err(ExchangeError::Interrupted),
            },
        }
    }
}

/// Builds a request; `None` if the path is not a valid URI.
pub fn build_request(method: Method, path: String, headers: HeaderMap, body: Bytes) -> Option<Request<Body>> {
    let mut request = Request::builder().method(method).uri(path).body(Full::new(body)).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Returns the `Host` field for a worker.
pub fn host_header(endpoint: Endpoint) -> HeaderValue {
    HeaderValue::from_str(&endpoint.address.to_string()).unwrap_or(HeaderValue::from_static("worker"))
}

/// Why a response's body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("the connection failed within the body")]
    Interrupted,
    /// The body exceeds its own size limit, or the limit on all buffered bodies.
    #[error("the body is too large")]
    TooLarge,
}

/// Reads a response's body within the limits on one body and on all buffered bodies.
pub async fn read_body(context: &CoreContext, mut body: Incoming) -> Result<BufferedBody, BodyError> {
    let max_bytes = context.limits().max_response_body;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = context.body_buffer();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Interrupted)?.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.push(data).map_err(|BuffersFull| BodyError::TooLarge)?;
    }
    Ok(buffer.into_body())
}
