//! Reads a request: checks the header fields against the configuration, and reads the body within its limits.

use crate::body_buffer::{BufferedBody, BuffersFull};
use crate::core_context::CoreContext;
use crate::request_error::RequestError;
use bytes::Bytes;
use http::header::HeaderMap;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use milletpath_policy::Idempotency;
use milletpath_protocol::{InputError, invoke};
use std::time::Duration;

/// The parameters for the dispatcher from the header fields of a request.
pub struct RequestParameters {
    /// Index of the profile in the configuration.
    pub profile: usize,
    /// Index of the client in the configuration; `usize::MAX` if it is not listed.
    pub client: usize,
    /// Seconds from the request's arrival until it times out.
    pub timeout: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

impl RequestParameters {
    /// Parses and checks the header fields of a request for a function.
    pub fn parse(context: &CoreContext, function: &str, headers: &HeaderMap) -> Result<Self, RequestError> {
        let config = context.config();
        let profile = profile(context, function, headers)?;
        let client =
            invoke::name_field(headers, &invoke::CLIENT_GROUP).map_err(RequestError::InvalidHeader)?;
        let client = client.and_then(|name| config.clients.iter().position(|client| client == name));
        let timeout = invoke::timeout(headers).map_err(RequestError::InvalidHeader)?;
        let key = invoke::idempotency_key(headers).map_err(RequestError::InvalidHeader)?;
        let needs_key =
            matches!(config.policy.profiles[profile].idempotency, Idempotency::IdempotentWithKey { .. });
        if needs_key && key.is_none() {
            let detail = "is missing; calls of this profile need a mark by which a repeat is known";
            return Err(invalid(invoke::IDEMPOTENCY_KEY.as_str(), detail));
        }
        Ok(Self {
            profile,
            client: client.unwrap_or(usize::MAX),
            timeout: timeout.unwrap_or(f64::INFINITY).min(config.profiles[profile].deadline),
            is_retry: invoke::is_client_retry(headers).map_err(RequestError::InvalidHeader)?,
        })
    }
}

/// Returns the profile that the request names or its function requires. If both name one, they must agree.
fn profile(context: &CoreContext, function: &str, headers: &HeaderMap) -> Result<usize, RequestError> {
    let requested = invoke::name_field(headers, &invoke::PROFILE).map_err(RequestError::InvalidHeader)?;
    let required = context.shared_runtime.function_config(function).profile;
    let Some(name) = requested else { return Ok(required.unwrap_or(0)) };
    let known = context.config().profiles.iter().position(|profile| profile.name == name);
    let field = invoke::PROFILE.as_str();
    let profile = known.ok_or_else(|| invalid(field, format!("there is no profile {name}")))?;
    if required.is_some_and(|required| required != profile) {
        return Err(invalid(field, "the function is called under another profile only"));
    }
    Ok(profile)
}

fn invalid(field: &str, detail: impl Into<String>) -> RequestError {
    RequestError::InvalidHeader(InputError::new(field, detail.into()))
}

/// Reads a request's body within the limits on its size and on stalls, until `deadline` in seconds since the process
/// started.
pub async fn read_body(
    context: &CoreContext,
    mut body: Incoming,
    deadline: f64,
) -> Result<BufferedBody, RequestError> {
    let limit = context.limits().max_request_body;
    if body.size_hint().lower() > limit as u64 {
        return Err(RequestError::BodyTooLarge { limit });
    }
    let mut buffer = context.body_buffer();
    while !body.is_end_stream() {
        let Some(frame) = next_frame(context, &mut body, deadline).await? else { break };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > limit {
            return Err(RequestError::BodyTooLarge { limit });
        }
        buffer.push(data).map_err(|BuffersFull| RequestError::BuffersFull {
            retry_after: context.config().policy.max_retry_after,
        })?;
    }
    Ok(buffer.into_body())
}

/// Reads the next frame of a body; `None` at its end.
async fn next_frame(
    context: &CoreContext,
    body: &mut Incoming,
    deadline: f64,
) -> Result<Option<Frame<Bytes>>, RequestError> {
    let time_left = deadline - context.now();
    if time_left <= 0.0 {
        // A timeout does not end a wait for a frame that is there already.
        return Err(RequestError::SlowBody);
    }
    let wait = context.limits().stall_timeout.min(time_left);
    match tokio::time::timeout(Duration::from_secs_f64(wait), body.frame()).await {
        Ok(frame) => frame.transpose().map_err(RequestError::MalformedBody),
        Err(_) => Err(RequestError::SlowBody),
    }
}
