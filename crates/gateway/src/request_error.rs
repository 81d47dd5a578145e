//! The reasons for which a request is answered without being dispatched, and the corresponding responses.

use crate::response::{ResponseBody, client_error, rejected};
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use milletpath_protocol::InputError;

/// Why a request is not dispatched.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Nothing is served at this path.
    #[error("unknown path")]
    UnknownPath,
    /// The path is served only with another method.
    #[error("wrong method, {allowed} is allowed")]
    WrongMethod {
        /// The method that is served.
        allowed: &'static str,
    },
    /// The path does not contain a valid function name.
    #[error("invalid function name")]
    InvalidName,
    /// The gateway is shutting down.
    #[error("the gateway is stopping")]
    Stopping,
    /// A header field is malformed, missing or not allowed.
    #[error("{0}")]
    InvalidHeader(InputError),
    /// The body is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Maximum size of a body in bytes.
        limit: usize,
    },
    /// The body can't be read.
    #[error("the body can't be read: {0}")]
    MalformedBody(hyper::Error),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    SlowBody,
    /// So much is unread on the connection that its client may have left.
    #[error("too much is unread behind the request")]
    ClientUnconfirmed,
    /// The limit on buffered bytes is reached.
    #[error("too many bytes are buffered")]
    BuffersFull {
        /// Seconds after which the client may retry.
        retry_after: Option<f64>,
    },
    /// The limit on open requests is reached.
    #[error("too many requests are open")]
    TooManyRequests {
        /// Seconds after which the client may retry.
        retry_after: Option<f64>,
    },
}

impl RequestError {
    /// Builds the response for the client. Its texts are part of the protocol.
    pub fn into_response(self) -> Response<ResponseBody> {
        match self {
            Self::UnknownPath => {
                let detail = "Calls go to POST /v1/functions/{name}/activations.";
                client_error(StatusCode::NOT_FOUND, "unknown-path", "There is nothing here", detail)
            }
            Self::WrongMethod { allowed } => wrong_method(allowed),
            Self::InvalidName => {
                let detail =
                    "A function's name has 1 to 128 letters, digits and -._~: and is part of the path.";
                client_error(StatusCode::BAD_REQUEST, "bad-name", "That is no function's name", detail)
            }
            Self::Stopping => rejected("stopping", "This gateway is stopping", None),
            Self::InvalidHeader(fault) => {
                let title = "A header field can't be understood";
                client_error(StatusCode::BAD_REQUEST, "bad-field", title, &fault.to_string())
            }
            Self::BodyTooLarge { limit } => {
                let detail = format!("A call's body may have {limit} bytes here.");
                client_error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "The body is too large", &detail)
            }
            Self::MalformedBody(error) => {
                let title = "The body can't be read";
                client_error(StatusCode::BAD_REQUEST, "bad-body", title, &error.to_string())
            }
            Self::SlowBody => {
                let detail = "The body did not come within the client's own time.";
                client_error(StatusCode::REQUEST_TIMEOUT, "slow-body", "The body came too slowly", detail)
            }
            Self::ClientUnconfirmed => rejected("bounced", "Too much is unread behind this call", None),
            Self::BuffersFull { retry_after } => rejected("full", "Too many bytes are in hand", retry_after),
            Self::TooManyRequests { retry_after } => {
                rejected("full", "Too many calls are in hand", retry_after)
            }
        }
    }
}

fn wrong_method(allowed: &'static str) -> Response<ResponseBody> {
    let (status, detail) = (StatusCode::METHOD_NOT_ALLOWED, format!("Use {allowed} here."));
    let mut response = client_error(status, "wrong-method", "Another method is needed", &detail);
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    response
}
