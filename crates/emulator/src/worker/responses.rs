//! Builds the responses of a worker.

use crate::worker_model::LoadFigures;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use milletpath_protocol::orca;
use milletpath_protocol::worker as wire;

/// A response whose complete body is in memory.
pub(super) type WorkerResponse = Response<Full<Bytes>>;

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> WorkerResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A rejection: the request did not run.
pub(super) fn rejection(reason: wire::Rejection) -> WorkerResponse {
    let is_not_loaded = reason == wire::Rejection::NotLoaded;
    let mut response =
        empty(if is_not_loaded { StatusCode::NOT_FOUND } else { StatusCode::SERVICE_UNAVAILABLE });
    let word = HeaderValue::from_static(wire::rejection_word(reason));
    response.headers_mut().insert(&wire::REJECTION, word);
    response
}

/// Adds the state of the instance.
pub(super) fn add_instance_state(response: &mut WorkerResponse, state: wire::InstanceState) {
    let word = HeaderValue::from_static(wire::instance_state_word(state));
    response.headers_mut().insert(&wire::INSTANCE_STATE, word);
}

/// Adds a load report.
pub(super) fn add_load_report(response: &mut WorkerResponse, load: LoadFigures) {
    let text = orca::write([
        (orca::IN_FLIGHT, load.in_flight),
        (orca::QUEUED, load.queued),
        (orca::CPU_UTILIZATION, load.utilization),
        (orca::MEMORY_UTILIZATION, load.memory),
        (orca::LOADING, load.loading),
    ]);
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(&orca::HEADER, value);
    }
}
