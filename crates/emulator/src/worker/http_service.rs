//! The worker's HTTP service: invocations, load requests, unloads and health checks.

use super::responses::{self, WorkerResponse};
use super::{JobOutcome, LoadOutcome, RequestInfo, Worker, headers};
use crate::context::EmulatorContext;
use crate::corrupting_stream::Corruption;
use crate::worker_model::Job;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use milletpath_history_checker::HistoryEvent;
use milletpath_protocol::invoke;
use milletpath_protocol::worker as wire;
use std::cell::Cell;
use std::rc::Rc;

/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Records on drop that an attempt has ended, however its handling ends, also when its connection is closed.
struct AttemptGuard {
    context: Rc<EmulatorContext>,
    gateway: usize,
    worker: usize,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.context.record(HistoryEvent::AttemptFinished { gateway: self.gateway, worker: self.worker });
    }
}

impl Worker {
    /// Answers one request; `corruption` can be set to corrupt the response on this connection.
    pub(super) async fn respond(
        self: Rc<Self>,
        gateway: usize,
        request: Request<Incoming>,
        corruption: &Cell<Corruption>,
    ) -> WorkerResponse {
        let (parts, body) = request.into_parts();
        match wire::route(parts.uri.path()) {
            Some(wire::Route::Ready) => self.health_check(),
            Some(wire::Route::Infer(function)) => {
                self.invoke(gateway, function, &parts.headers, body, corruption).await
            }
            Some(wire::Route::Load(function)) => self.load(gateway, function, &parts.headers).await,
            Some(wire::Route::Unload(function)) => {
                let function = self.context.function(function).number;
                self.with_model(|model, _| model.unload(function));
                responses::empty(StatusCode::OK)
            }
            None => responses::empty(StatusCode::NOT_FOUND),
        }
    }

    fn health_check(&self) -> WorkerResponse {
        let draining = self.model.borrow().draining;
        let status = if draining { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        let mut response = responses::empty(status);
        responses::add_load_report(&mut response, self.load_figures());
        response
    }

    async fn load(self: &Rc<Self>, gateway: usize, function: &str, headers: &HeaderMap) -> WorkerResponse {
        let requested = wire::count_field(headers, &wire::INSTANCES).ok().flatten().unwrap_or(1);
        if requested > 0 {
            self.context.record(HistoryEvent::LoadRequested { gateway, worker: self.number });
        }
        let LoadOutcome { instances, failed } = self.request_load(function, requested).await;
        let status = if failed { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        let mut response = responses::empty(status);
        response.headers_mut().insert(&wire::INSTANCES, HeaderValue::from(instances));
        response
    }

    async fn invoke(
        self: &Rc<Self>,
        gateway: usize,
        function: &str,
        headers: &HeaderMap,
        body: Incoming,
        corruption: &Cell<Corruption>,
    ) -> WorkerResponse {
        let (call, attempt) = headers::call_and_attempt(headers);
        let work = headers::number(headers, &headers::WORK).unwrap_or(0.0);
        self.context.record(HistoryEvent::AttemptReceived {
            call,
            attempt,
            gateway,
            worker: self.number,
            work,
        });
        let _guard = AttemptGuard { context: self.context.clone(), gateway, worker: self.number };
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return responses::empty(StatusCode::BAD_REQUEST);
        };
        if self.fault().unresponsive {
            return std::future::pending().await;
        }
        if let Some(response) = self.faulty_response(headers) {
            return response;
        }
        let request = RequestInfo {
            call,
            idempotency_key: headers::text(headers, &invoke::IDEMPOTENCY_KEY).map(str::to_owned),
        };
        let known = self.context.function(function);
        let io = headers::number(headers, &headers::IO).unwrap_or(0.0);
        let job = Job { function: known.number, function_model: known.model, work, io };
        tracing::trace!(worker = self.number, call, attempt, "attempt received");
        let Some(outcome) = self.run(job, request).await else {
            // Overloaded: the connection stays open without a response.
            return std::future::pending().await;
        };
        let response = self.response_to(outcome, headers, body.to_bytes());
        self.apply_response_faults(response, corruption).await
    }

    /// The response to a request that does not run because of a fault.
    fn faulty_response(&self, headers: &HeaderMap) -> Option<WorkerResponse> {
        let fault = self.fault();
        if self.context.random_bool(fault.failed_fraction) {
            return Some(responses::empty(StatusCode::INTERNAL_SERVER_ERROR));
        }
        let rejection = fault.false_rejection?;
        let group = headers::number(headers, &headers::GROUP).map(|group| group as usize);
        if group != Some(rejection.group) || !self.context.random_bool(rejection.fraction) {
            return None;
        }
        let mut response = responses::rejection(wire::Rejection::Full);
        responses::add_load_report(&mut response, self.load_figures());
        Some(response)
    }

    fn response_to(&self, outcome: JobOutcome, headers: &HeaderMap, body: Bytes) -> WorkerResponse {
        match outcome {
            JobOutcome::Completed { instance_state, concurrent_requests } => {
                let size = headers::number(headers, &headers::RESPONSE_BYTES);
                let body = size.map_or(body, |bytes| vec![b'x'; bytes as usize].into());
                let mut response = Response::new(Full::new(body));
                if self.context.reported_fields.instance_state {
                    responses::add_instance_state(&mut response, instance_state);
                }
                if self.context.reported_fields.concurrent_requests {
                    let count = HeaderValue::from(concurrent_requests);
                    response.headers_mut().insert(&wire::CONCURRENT_REQUESTS, count);
                }
                response
            }
            JobOutcome::Rejected { reason, load_failed } => {
                let mut response = responses::rejection(reason);
                if load_failed {
                    responses::add_instance_state(&mut response, wire::InstanceState::LoadFailed);
                }
                response
            }
        }
    }

    /// Applies the response faults and adds the load report; a lost response stays pending.
    async fn apply_response_faults(
        &self,
        mut response: WorkerResponse,
        corruption: &Cell<Corruption>,
    ) -> WorkerResponse {
        let fault = self.fault();
        if self.context.random_bool(fault.lost_response_fraction) {
            return std::future::pending().await;
        }
        if let Some(corrupted) = fault.corrupted_responses
            && self.context.random_bool(corrupted.fraction)
        {
            corruption.set(corrupted.corruption);
        }
        if self.context.reported_fields.load {
            responses::add_load_report(&mut response, self.load_figures());
        }
        response
    }
}
