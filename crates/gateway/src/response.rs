//! Responses to clients: those of workers, and those that the gateway makes itself as problem documents (RFC 9457). The
//! bytes of a response count as buffered until they are written.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use milletpath_multicore::budget::Budget;
use milletpath_protocol::{invoke, problem};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The response to a request, on its way to the client.
pub enum FinalResponse {
    /// The head and the body of a worker's response.
    FromWorker(http::response::Parts, Bytes, BufferedBytes),
    /// The gateway's own.
    Local(LocalResponse),
    /// The worker has run the request, and its response is larger than is passed on.
    TooLarge,
}

/// A response that the gateway makes itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalResponse {
    /// No worker has run the request; seconds after which to try again, where they are known.
    Rejected(Option<f64>),
    /// A worker may have run the request.
    Failed {
        /// Whether its time was over, as opposed to a failure of the worker.
        timed_out: bool,
    },
}

impl LocalResponse {
    /// For a request that is given up, by whether a worker may have run it.
    pub fn interrupted(may_have_run: bool) -> Self {
        if may_have_run { Self::Failed { timed_out: false } } else { Self::Rejected(None) }
    }
}

/// Bytes that count as buffered until this is dropped.
pub struct BufferedBytes {
    bytes: usize,
    budget: Arc<Budget>,
}

impl BufferedBytes {
    /// Counts bytes as buffered; `None` where the limit on all of them is reached.
    pub fn reserve(budget: &Arc<Budget>, bytes: usize) -> Option<Self> {
        budget.try_acquire(bytes).then(|| Self { bytes, budget: budget.clone() })
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// The body of a response; it counts as buffered until it is written.
pub struct ResponseBody {
    bytes: Bytes,
    _buffered: Option<BufferedBytes>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl ResponseBody {
    /// The body of a worker's response.
    pub fn from_worker(bytes: Bytes, buffered: BufferedBytes) -> Self {
        Self { bytes, _buffered: Some(buffered) }
    }

    /// Bytes that are left to write.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl From<ResponseBody> for Bytes {
    fn from(body: ResponseBody) -> Self {
        body.bytes
    }
}

const REJECTED: HeaderValue = HeaderValue::from_static("bounced");

/// A response with a problem document.
fn problem_response(
    status: StatusCode,
    outcome: HeaderValue,
    kind: &str,
    title: &str,
    detail: &str,
) -> Response<ResponseBody> {
    let bytes = problem::document(status.as_u16(), kind, title, detail).into();
    let mut response = Response::new(ResponseBody { bytes, _buffered: None });
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(problem::MEDIA_TYPE));
    headers.insert(&invoke::OUTCOME, outcome);
    response
}

/// The response to a request that no worker has run, and that may be sent again after `retry_after` seconds.
pub fn rejected(kind: &str, title: &str, retry_after: Option<f64>) -> Response<ResponseBody> {
    let detail = "The call was not taken, or nothing of it has run; trying again does no harm.";
    let mut response = problem_response(StatusCode::SERVICE_UNAVAILABLE, REJECTED, kind, title, detail);
    let after = HeaderValue::from(invoke::retry_after(retry_after.unwrap_or(1.0)));
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// The response to an invalid request. The connection ends behind it, as what follows can't be trusted.
pub fn client_error(status: StatusCode, kind: &str, title: &str, detail: &str) -> Response<ResponseBody> {
    let mut response = problem_response(status, REJECTED, kind, title, detail);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The response to a health check of a load balancer.
pub fn health_response(ok: bool, text: &'static str) -> Response<ResponseBody> {
    let mut response =
        Response::new(ResponseBody { bytes: Bytes::from_static(text.as_bytes()), _buffered: None });
    *response.status_mut() = if ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The response to a request that no worker has answered.
pub fn local_response(response: LocalResponse) -> Response<ResponseBody> {
    match response {
        LocalResponse::Rejected(retry_after) => {
            rejected("bounced", "No worker could take the call in time", retry_after)
        }
        LocalResponse::Failed { timed_out: true } => {
            let detail = "A worker had the call and did not answer in time; it may have run, or may still.";
            failed(StatusCode::GATEWAY_TIMEOUT, "late", "No answer in time", detail)
        }
        LocalResponse::Failed { timed_out: false } => {
            let detail = "A worker had the call and failed; it may have run.";
            failed(StatusCode::BAD_GATEWAY, "failed", "The call failed", detail)
        }
    }
}

/// The response to a request that may have run and failed.
pub fn failed(status: StatusCode, kind: &str, title: &str, detail: &str) -> Response<ResponseBody> {
    problem_response(status, HeaderValue::from_static("terminated"), kind, title, detail)
}
