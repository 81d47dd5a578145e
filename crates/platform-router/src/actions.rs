//! Executes the actions that the dispatcher returns.

use crate::platform_router::{DeferredFlush, PlatformRouter, UnreadSocket};
use milletpath_dispatcher::dispatcher::{Action, RequestId};
use milletpath_platform_protocol::lines;

/// Maximum number of reads of the discovery socket in one execution. A source that never pauses has unread events again
/// after each of them.
const MAX_DISCOVERY_READS: usize = 4;

impl PlatformRouter {
    /// Executes queued dispatcher actions until none are left and writes the responses to clients, then wakes the timer task if the next deadline has
    /// moved forward. Called after every event reported to the dispatcher.
    pub fn run_actions(&mut self) {
        let mut discovery_reads = 0;
        loop {
            self.run_queued_actions();
            if self.flush_answered_clients() {
                // A client that could not be written to was closed, which may cause further actions.
                continue;
            }
            let Some(DeferredFlush { unread, worker_connection }) = self.deferred_flushes.pop() else {
                break;
            };
            match unread {
                UnreadSocket::Client(client) => self.read_client_directly(client),
                UnreadSocket::Discovery => {
                    discovery_reads += 1;
                    let may_read = discovery_reads <= MAX_DISCOVERY_READS;
                    if !self.catch_up_with_discovery(worker_connection, may_read) {
                        continue;
                    }
                }
            }
            self.run_queued_actions();
            self.flush_worker(worker_connection);
        }
        if self.next_deadline().is_some_and(|at| at < self.timer_set_for) {
            self.timer_changed.notify_one();
        }
    }

    /// The next time at which the dispatcher has to be advanced, or work that is held back is overdue.
    pub fn next_deadline(&self) -> Option<f64> {
        let deadlines = self.dispatcher.next_deadline().into_iter().chain(self.discovery.overdue_at());
        deadlines.min_by(f64::total_cmp)
    }

    /// Logs why a request ends without the response of a worker.
    fn log_refusal(&mut self, request: RequestId, reason: &'static str) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let now = self.now();
        let Some(context) = self.dispatcher.context(request) else { return };
        tracing::debug!(
            id = context.id,
            reason,
            seconds = now - context.received_at,
            attempts = context.worker_connections.len(),
            "a request ends without a response of a worker"
        );
    }

    fn run_queued_actions(&mut self) {
        while let Some(action) = self.dispatcher.next_action() {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::SendAttempt { request, attempt, worker } => self.send_attempt(request, attempt, worker),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, retry_after } => {
                self.log_refusal(request, "rejected by the policy");
                self.send_final_response(request, |out, number| {
                    out.append_short(|line| {
                        lines::write_rejected(line, number, retry_after);
                    });
                });
            }
            Action::Fail { request, .. } => {
                self.log_refusal(request, "failed");
                self.send_failure(request);
            }
            Action::LoadFunction { load_request, worker, function, instances } => {
                self.send_load_request(load_request, worker, function, instances);
            }
            Action::UnloadFunction { worker, function } => self.send_unload(worker, function),
            Action::HealthCheck { worker, serial } => self.send_health_check(worker, serial),
            // The router always watches the discovery address, so there is nothing to start.
            Action::WatchEndpoints => {}
        }
    }
}
