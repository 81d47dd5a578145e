//! Reads the responses of workers and reports them to the dispatcher.

use super::error::WorkerConnectionError;
use crate::platform_router::{AwaitedResponse, PlatformRouter};
use crate::socket_errors::{self, Operation, Recovery};
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_platform_protocol::frames::{self, Frame, WorkerResponse};
use milletpath_platform_protocol::lines;
use std::io;

impl PlatformRouter {
    /// Handles read readiness of a worker's socket.
    pub fn on_worker_readable(&mut self, slot: usize) {
        let connection = self.worker_connections.get(slot);
        let Some(stream) = connection.and_then(|connection| connection.stream.clone()) else { return };
        self.begin_turn();
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        match self.sockets.read(&stream, &mut read_buffer) {
            Ok(0) => self.on_connection_lost(slot, &WorkerConnectionError::ClosedByWorker),
            Ok(length) => self.receive_frames(slot, &read_buffer[..length]),
            Err(error) => self.read_failed(slot, error),
        }
        self.read_buffer = read_buffer;
        self.run_actions();
    }

    fn read_failed(&mut self, slot: usize, source: io::Error) {
        let now = self.now();
        match socket_errors::classify(Operation::Read, &source).recovery {
            Recovery::AwaitReadiness => {}
            Recovery::Retry => {
                if let Some(connection) = self.worker_connections.get_mut(slot) {
                    connection.read_backoff.failed(now);
                }
            }
            Recovery::Close => {
                let error = WorkerConnectionError::Io { operation: Operation::Read, source };
                self.on_connection_lost(slot, &error);
            }
        }
    }

    fn receive_frames(&mut self, slot: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        let mut joined = std::mem::take(&mut connection.partial_frame);
        let bytes = if joined.is_empty() {
            bytes
        } else {
            joined.extend_from_slice(bytes);
            &joined
        };
        let partial_frame = match self.read_frames(slot, bytes, now) {
            Ok(rest) => rest.to_vec(),
            Err(error) => return self.on_connection_lost(slot, &error),
        };
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        connection.last_used = now;
        connection.last_received = now;
        connection.read_backoff.succeeded();
        connection.partial_frame = partial_frame;
        connection.reservation.resize(connection.partial_frame.capacity());
        if connection.partial_frame.len() > frames::MAX_SPECIFIED_RESPONSE && self.memory_budget.is_full() {
            self.on_connection_lost(slot, &WorkerConnectionError::NoMemory);
        }
    }

    /// Handles all complete responses and returns the bytes after them.
    fn read_frames<'b>(
        &mut self,
        slot: usize,
        mut bytes: &'b [u8],
        now: f64,
    ) -> Result<&'b [u8], WorkerConnectionError> {
        while let Some(Frame { response, length }) = frames::read(bytes)? {
            bytes = &bytes[length..];
            self.on_response(slot, &response, now)?;
        }
        Ok(bytes)
    }

    /// Handles a valid response. One with an unknown id is ignored: it is a duplicate, or belongs to a cancelled
    /// request.
    fn on_response(
        &mut self,
        slot: usize,
        response: &WorkerResponse<'_>,
        now: f64,
    ) -> Result<(), WorkerConnectionError> {
        let Some(connection) = self.worker_connections.get_mut(slot) else { return Ok(()) };
        let Some(at) = connection.outstanding.iter().position(|frame| frame.id == response.id) else {
            return Ok(());
        };
        let awaited = connection.outstanding[at].awaited;
        if response.probe != matches!(awaited, AwaitedResponse::HealthCheck { .. }) {
            return Err(WorkerConnectionError::UnexpectedResponse);
        }
        let (worker, process, connected_at) =
            (connection.worker, connection.process, connection.connected_at);
        connection.finish_frame(at);
        if self.dispatcher.worker_process(worker).process == process {
            self.dispatcher.worker_answered(now, worker, connected_at);
        }
        match awaited {
            AwaitedResponse::Attempt { request, attempt } => {
                self.log_response(worker, request, response, now);
                self.on_attempt_response(request, attempt, response, now);
            }
            AwaitedResponse::LoadRequest { load_request } => {
                self.dispatcher.load_request_ended(now, load_request, response.outcome, response.instances);
            }
            AwaitedResponse::HealthCheck { serial } => {
                self.dispatcher.health_check_ended(now, worker, serial, response.outcome, response.report);
            }
        }
        Ok(())
    }

    /// Reports the response to an attempt and, if it is the final one of its request, sends it to the client.
    fn on_attempt_response(
        &mut self,
        request: RequestId,
        attempt: usize,
        response: &WorkerResponse<'_>,
        now: f64,
    ) {
        let result = AttemptResult {
            outcome: response.outcome,
            instance_state: None,
            concurrent_requests: response.concurrent_calls,
            report: response.report,
            answers_client: false,
        };
        if !self.dispatcher.attempt_ended(now, request, attempt, result) {
            return;
        }
        if !self.has_room_for_response(response.body.len()) {
            return self.send_failure(request);
        }
        self.send_final_response(request, |out, number| {
            let max_length = lines::max_success_length(response.body.len());
            out.append(max_length, |line| lines::write_success(line, number, response.body));
        });
    }

    /// Logs how long a request has spent at the router and at the worker.
    fn log_response(&mut self, worker: usize, request: RequestId, response: &WorkerResponse<'_>, now: f64) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let function = self.dispatcher.function(request);
        let Some(context) = self.dispatcher.context(request) else { return };
        tracing::debug!(
            worker,
            function = function.as_deref().unwrap_or_default(),
            id = context.id,
            seconds_at_router = context.last_attempt_at - context.received_at,
            seconds_at_worker = now - context.last_attempt_at,
            attempts = context.worker_connections.len(),
            concurrent_calls = response.concurrent_calls,
            outcome = ?response.outcome,
            "received a response from a worker"
        );
    }
}
