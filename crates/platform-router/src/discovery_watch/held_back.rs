//! Holds work back while more discovery events are unread than one turn applies, and releases it once they have been
//! applied, or once that takes too long.

use crate::discovery_feed::Backlog;
use crate::platform_router::PlatformRouter;

/// Fraction of the connect timeout for which work is held back until unread events have been applied. It is then
/// reported as not sent, before the timeout counts against the worker.
const MAX_HOLD_BACK_FRACTION: f64 = 0.5;

impl PlatformRouter {
    /// Reads and applies unread lines before work is sent on a worker connection. Returns false if there are more of
    /// them than one turn may take: the connection's queue is then held back until the stream's task has read them.
    /// Reads nothing if `may_read` is false. The caller runs the resulting dispatcher actions.
    pub(crate) fn catch_up_with_discovery(&mut self, worker_connection: usize, may_read: bool) -> bool {
        if may_read && self.discovery.backlog.is_none() {
            self.read_discovery();
        }
        let now = self.now();
        if self.is_discovery_drained(now) {
            return true;
        }
        let overdue_at = now + self.connect_timeout * MAX_HOLD_BACK_FRACTION;
        self.discovery.hold_back(now, overdue_at, worker_connection);
        self.heartbeat.set_holds_work_back(true);
        false
    }

    /// Sends what was held back once all events have been applied. Where that takes too long, it is reported as not
    /// sent instead, and the dispatcher decides anew.
    pub(crate) fn release_backlog(&mut self) {
        let Some(overdue_at) = self.discovery.overdue_at() else { return };
        let is_drained = self.peek_discovery();
        let is_overdue = self.now() >= overdue_at;
        if !is_drained && !is_overdue {
            return;
        }
        let backlog = self.discovery.backlog.take();
        self.heartbeat.set_holds_work_back(false);
        self.report_released(backlog.as_ref(), is_drained);
        for slot in backlog.into_iter().flat_map(|backlog| backlog.worker_connections) {
            if is_drained {
                self.flush_worker(slot);
            } else {
                self.fail_queued_as_unsent(slot);
            }
            // The connection's task waits again until its socket is writable, if anything is left to write.
            if let Some(connection) = self.worker_connections.get(slot) {
                connection.wake.notify_one();
            }
        }
        self.run_actions();
    }

    /// Logs how long work was held back, and whether it is sent.
    fn report_released(&self, backlog: Option<&Backlog>, is_sent: bool) {
        let Some(Backlog { since, worker_connections, .. }) = backlog else { return };
        let held_seconds = self.now() - since;
        let connections = worker_connections.len();
        let last_event = self.discovery.last_event;
        if is_sent {
            tracing::info!(held_seconds, connections, last_event, "sending what waited for discovery events");
        } else {
            tracing::warn!(
                held_seconds,
                connections,
                last_event,
                "discovery events are not applied in time: what waited for them is placed again"
            );
        }
    }
}
