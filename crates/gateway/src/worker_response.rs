//! Interprets the header fields of a worker's response: the outcome of an attempt, the worker's load report, and which
//! fields are forwarded.

use http::header::{self, HeaderMap, HeaderName};
use http::response::Parts;
use milletpath_dispatcher::dispatcher::AttemptResult;
use milletpath_policy::{InstanceState, LoadReport, Outcome};
use milletpath_protocol::{orca, worker as wire};

/// Prefix of the header fields that are reserved for the gateway and its workers.
const GATEWAY_FIELD_PREFIX: &str = "milletpath-";

/// Whether a field applies to a single connection only (RFC 9110, 7.6.1), is generated for each connection, or is set
/// by the gateway alone.
fn is_connection_specific(name: &HeaderName) -> bool {
    matches!(
        *name,
        header::CONNECTION
            | header::CONTENT_LENGTH
            | header::EXPECT
            | header::HOST
            | header::PROXY_AUTHENTICATE
            | header::PROXY_AUTHORIZATION
            | header::TE
            | header::TRAILER
            | header::TRANSFER_ENCODING
            | header::UPGRADE
    ) || matches!(name.as_str(), "keep-alive" | "proxy-connection" | "endpoint-load-metrics")
        || name.as_str().starts_with(GATEWAY_FIELD_PREFIX)
}

/// Removes the fields that must not be forwarded, including those listed in `Connection`.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named = connection.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok());
    let specific = headers.keys().filter(|name| is_connection_specific(name)).cloned();
    let removed: Vec<HeaderName> = named.chain(specific).collect();
    for name in &removed {
        headers.remove(name);
    }
}

/// Parses a worker's load report (ORCA); `None` if there is none or it is malformed.
pub fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&orca::HEADER)?.to_str().ok()?;
    let mut report = LoadReport::default();
    let parsed = orca::read(text, |name, value| match name {
        orca::CPU_UTILIZATION => report.utilization = Some(value),
        orca::MEMORY_UTILIZATION => report.memory = Some(value),
        orca::IN_FLIGHT => report.in_flight = Some(value),
        orca::QUEUED => report.queued = Some(value),
        orca::LOADING => report.loading = Some(value),
        _ => {}
    });
    if let Err(error) = parsed {
        tracing::debug!(%error, "malformed load report ignored");
        return None;
    }
    Some(report)
}

/// Determines the result of an attempt from the head of its response. An explicit refusal by the worker is trusted. A
/// server error without one may come from an intermediary, and the request may have run.
pub fn attempt_result(head: &Parts) -> AttemptResult {
    let is_error = head.status.is_client_error() || head.status.is_server_error();
    let refused = wire::rejection(&head.headers).filter(|_| is_error);
    let outcome = match refused {
        Some(wire::Rejection::Full | wire::Rejection::Draining) => Outcome::Rejected,
        Some(wire::Rejection::NotLoaded) => Outcome::NotLoaded,
        // Includes client errors, which state that the client's input was wrong.
        None if head.status.as_u16() < 500 => Outcome::Succeeded,
        None => Outcome::Failed,
    };
    let instance_state = wire::instance_state(&head.headers).map(|state| match state {
        wire::InstanceState::Loaded => InstanceState::Loaded,
        wire::InstanceState::LoadStarted => InstanceState::LoadStarted,
        wire::InstanceState::LoadAwaited => InstanceState::LoadAwaited,
        wire::InstanceState::LoadFailed => InstanceState::LoadFailed,
    });
    let concurrent_requests =
        wire::count_field(&head.headers, &wire::CONCURRENT_REQUESTS).ok().flatten().unwrap_or(0);
    let report = load_report(&head.headers);
    AttemptResult {
        outcome,
        instance_state,
        concurrent_requests: concurrent_requests.into(),
        report,
        answers_client: false,
    }
}

/// Determines the outcome of a load request from the head of its response, and the number of instances that the worker
/// now has. If a successful response does not state the number, `requested` is assumed.
pub fn load_result(head: &Parts, requested: u8) -> (Outcome, u8) {
    if head.status.is_success() {
        let instances = wire::count_field(&head.headers, &wire::INSTANCES).ok().flatten();
        return (Outcome::Succeeded, instances.unwrap_or(requested.into()).min(u8::MAX.into()) as u8);
    }
    match wire::rejection(&head.headers) {
        Some(wire::Rejection::Full | wire::Rejection::Draining) => (Outcome::Rejected, 0),
        Some(wire::Rejection::NotLoaded) | None => (Outcome::Failed, 0),
    }
}
