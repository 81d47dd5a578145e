//! Final answers, and those that the gateway gives itself; bytes in hand.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use milletpath_multicore::budget::Budget;
use milletpath_protocol::{Fault, invoke, problem};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The final answer of an activation, on its way to the client.
pub enum Reply {
    Handled(http::response::Parts, Bytes, Held),
    Own(Own),
    /// The worker's answer is larger than may be passed on; it has run.
    TooLarge,
}

/// A final answer that the gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Own {
    Bounced(Option<f64>),
    Terminated { late: bool },
}

impl Own {
    /// For a call that nobody will carry on, by whether something of it may have run.
    pub fn lost(begun: bool) -> Self {
        if begun { Self::Terminated { late: false } } else { Self::Bounced(None) }
    }
}

/// Bytes in hand, given back when dropped.
pub struct Held {
    bytes: usize,
    of: Arc<Budget>,
}

impl Held {
    /// Counts bytes as in hand; none where the bound on all together is reached.
    pub fn take(of: &Arc<Budget>, bytes: usize) -> Option<Self> {
        of.take(bytes).then(|| Self { bytes, of: of.clone() })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.of.give_back(self.bytes);
    }
}

/// The body of an answer; its bytes count as in hand until it is written.
pub struct Written {
    bytes: Bytes,
    _held: Option<Held>,
}

impl Body for Written {
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

impl Written {
    /// What a worker answered.
    pub fn handled(bytes: Bytes, held: Held) -> Self {
        Self { bytes, _held: Some(held) }
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl From<Written> for Bytes {
    fn from(written: Written) -> Self {
        written.bytes
    }
}

const BOUNCED: HeaderValue = HeaderValue::from_static("bounced");

/// An answer that the gateway gives itself, as a problem document.
fn own(status: StatusCode, outcome: HeaderValue, kind: &str, title: &str, detail: &str) -> Response<Written> {
    let bytes = problem::document(status.as_u16(), kind, title, detail).into();
    let mut response = Response::new(Written { bytes, _held: None });
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(problem::MEDIA_TYPE));
    headers.insert(&invoke::OUTCOME, outcome);
    response
}

pub fn bounced(kind: &str, title: &str, come_back: Option<f64>) -> Response<Written> {
    let detail = "The call was not taken, or nothing of it has run; trying again does no harm.";
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, BOUNCED, kind, title, detail);
    let after = HeaderValue::from(invoke::retry_after(come_back.unwrap_or(1.0)));
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// A client's mistake: refused, and the connection is closed, as what follows on it can't be trusted.
pub fn refused(status: StatusCode, kind: &str, title: &str, detail: &str) -> Response<Written> {
    let mut response = own(status, BOUNCED, kind, title, detail);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

pub fn faulty(fault: &Fault) -> Response<Written> {
    refused(StatusCode::BAD_REQUEST, "bad-field", "A header field can't be understood", &fault.to_string())
}

/// Health answers, for balancers: short text.
pub fn healthy(ok: bool, text: &'static str) -> Response<Written> {
    let mut response = Response::new(Written { bytes: Bytes::from_static(text.as_bytes()), _held: None });
    *response.status_mut() = if ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The answer to a call that no worker handled.
pub fn answer_of(own: Own) -> Response<Written> {
    match own {
        Own::Bounced(come_back) => bounced("bounced", "No worker could take the call in time", come_back),
        Own::Terminated { late: true } => {
            let detail = "A worker had the call and did not answer in time; it may have run, or may still.";
            terminated(StatusCode::GATEWAY_TIMEOUT, "late", "No answer in time", detail)
        }
        Own::Terminated { late: false } => {
            let detail = "A worker had the call and failed; it may have run.";
            terminated(StatusCode::BAD_GATEWAY, "failed", "The call failed", detail)
        }
    }
}

pub fn terminated(status: StatusCode, kind: &str, title: &str, detail: &str) -> Response<Written> {
    own(status, HeaderValue::from_static("terminated"), kind, title, detail)
}
