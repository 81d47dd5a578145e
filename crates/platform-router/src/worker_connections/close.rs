//! Ends connections to workers and reports the outcomes of their frames.

use super::error::WorkerConnectionError;
use crate::platform_router::{AwaitedResponse, PlatformRouter, QueuedFrame, WorkerConnection};
use crate::socket_errors;
use milletpath_dispatcher::dispatcher::AttemptResult;
use milletpath_policy::Outcome;

impl PlatformRouter {
    /// Removes a connection; its task then ends.
    pub(super) fn remove_worker_connection(&mut self, slot: usize) -> Option<WorkerConnection> {
        let connection = self.worker_connections.try_remove(slot)?;
        connection.wake.notify_one();
        self.discovery.forget(slot);
        if let Some(slots) = self.connections_by_worker.get_mut(&connection.worker) {
            slots.retain(|&other| other != slot);
            if slots.is_empty() {
                self.connections_by_worker.remove(&connection.worker);
            }
        }
        Some(connection)
    }

    /// Handles a connection that was not established, or failed before the socket accepted a byte: none of its frames
    /// ran.
    pub(super) fn on_connect_failed(&mut self, slot: usize, error: &WorkerConnectionError) {
        let Some(connection) = self.remove_worker_connection(slot) else { return };
        tracing::debug!(worker = connection.worker, %error, "could not connect to a worker");
        let outcome = socket_errors::outcome(error.origin(), false);
        let outstanding = connection.outstanding.iter().map(|frame| frame.awaited);
        for awaited in outstanding.chain(connection.queue.iter().filter_map(QueuedFrame::awaited_response)) {
            self.report_no_response(connection.worker, awaited, outcome);
        }
    }

    /// Handles a connection that failed or has become unusable. Frames that were written completely may have run, the
    /// others did not. Queued frames move to another connection, unless this one failed before the socket accepted a
    /// byte, as the next one would fail too.
    pub(super) fn on_connection_lost(&mut self, slot: usize, error: &WorkerConnectionError) {
        if self.worker_connections.get(slot).is_some_and(|connection| connection.bytes_written == 0) {
            return self.on_connect_failed(slot, error);
        }
        let Some(connection) = self.remove_worker_connection(slot) else { return };
        let WorkerConnection { worker, bytes_written, outstanding, queue, .. } = connection;
        tracing::debug!(worker, %error, outstanding = outstanding.len(), "lost a connection to a worker");
        for frame in outstanding {
            let outcome = socket_errors::outcome(error.origin(), bytes_written >= frame.end_offset);
            self.report_no_response(worker, frame.awaited, outcome);
        }
        for frame in queue {
            self.requeue_on_another_connection(worker, frame);
        }
    }

    /// Queues a frame on another connection to its worker.
    fn requeue_on_another_connection(&mut self, worker: usize, frame: QueuedFrame) {
        match frame {
            QueuedFrame::Attempt { request, attempt } => self.send_attempt(request, attempt, worker),
            QueuedFrame::LoadRequest { load_request, function, instances } => {
                self.send_load_request(load_request, worker, function, instances);
            }
            QueuedFrame::Unload { function } => self.send_unload(worker, function),
            QueuedFrame::HealthCheck { serial } => self.send_health_check(worker, serial),
            // The request that it cancels has ended with the connection.
            QueuedFrame::Cancel { .. } => {}
        }
    }

    /// Reports to the dispatcher that no response will arrive; `outcome` states whether the frame may have run.
    pub(super) fn report_no_response(&mut self, worker: usize, awaited: AwaitedResponse, outcome: Outcome) {
        let now = self.now();
        match awaited {
            AwaitedResponse::Attempt { request, attempt } => {
                tracing::debug!(worker, ?request, attempt, ?outcome, "an attempt ends without a response");
                self.dispatcher.attempt_ended(now, request, attempt, AttemptResult::from_outcome(outcome));
            }
            AwaitedResponse::LoadRequest { load_request } => {
                self.dispatcher.load_request_ended(now, load_request, outcome, 0);
            }
            AwaitedResponse::HealthCheck { serial } => {
                self.dispatcher.health_check_ended(now, worker, serial, outcome, None);
            }
        }
    }

    /// Closes connections to workers that have been idle for too long.
    pub fn close_idle_worker_connections(&mut self, now: f64) {
        let is_idle = |connection: &WorkerConnection| {
            connection.is_unused() && self.connection_limits.is_idle(now, connection.last_used)
        };
        let connections = self.worker_connections.iter();
        let idle: Vec<_> =
            connections.filter(|(_, connection)| is_idle(connection)).map(|(slot, _)| slot).collect();
        for slot in idle {
            self.remove_worker_connection(slot);
        }
    }
}
