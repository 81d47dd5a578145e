//! Applies the lines of the discovery stream. They are read either by the task that waits for the socket, or before
//! work is sent to a worker, when the socket is checked first. A process that was paused or is busy may find an event
//! and a request at the same time; the event is then applied before the request is sent.
//!
//! A heartbeat states that the list was current when the heartbeat was written. That time is not known, only that the
//! socket was empty at the last check before, so the list counts as confirmed at the time of that check.

use crate::discovery_feed::{Backlog, StreamEnd};
use crate::platform_router::PlatformRouter;
use crate::sockets::{SocketState, peek_socket};
use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_process_environment::wall_clock::unix_time;
use socket2::SockRef;
use std::io::Read;
use tokio::time::Instant;

/// Seconds for which a check of the socket is considered valid before something is sent. Short compared with any
/// grace period.
const PEEK_VALID_SECONDS: f64 = 0.02;
/// Maximum number of bytes of events that are applied before something is sent. The rest is left for later turns, so
/// that other sockets are served meanwhile.
const MAX_BYTES_BEFORE_SEND: usize = 32 << 10;
/// Fraction of the connect timeout for which work is held back until unread events have been applied. It is then
/// reported as not sent, before the timeout counts against the worker.
const MAX_HOLD_BACK_FRACTION: f64 = 0.5;

impl PlatformRouter {
    /// Applies all lines that the received bytes complete, and keeps the rest. Queued requests are placed again once after
    /// all of them: no decision is taken between two lines of one read.
    pub(super) fn receive_from_discovery(&mut self, bytes: &[u8]) -> Result<(), StreamEnd> {
        let last = self.discovery.last_event;
        let result = self.apply_discovery_lines(bytes);
        if self.discovery.last_event != last {
            let now = self.now();
            self.dispatcher.end_endpoints(now);
        }
        result
    }

    fn apply_discovery_lines(&mut self, mut bytes: &[u8]) -> Result<(), StreamEnd> {
        while let Some(end) = bytes.iter().position(|&byte| byte == b'\n') {
            let mut line = std::mem::take(&mut self.discovery.partial_line);
            line.extend_from_slice(&bytes[..end]);
            bytes = &bytes[end + 1..];
            self.discovery.last_line_at = Instant::now();
            self.apply_discovery_line(line.trim_ascii())?;
        }
        self.discovery.partial_line.extend_from_slice(bytes);
        if self.discovery.partial_line.len() > events::MAX_LINE {
            return Err(StreamEnd::LineTooLong);
        }
        Ok(())
    }

    fn apply_discovery_line(&mut self, line: &[u8]) -> Result<(), StreamEnd> {
        tracing::trace!(line = %String::from_utf8_lossy(line), "received a line from discovery");
        let last = self.discovery.last_event;
        let now = self.now();
        match events::read(line)? {
            // Already applied.
            DiscoveryLine::Event { number, .. } if number <= last => {}
            DiscoveryLine::Event { number, complete, entries } if complete || number == last + 1 => {
                self.discovery.last_event = number;
                self.dispatcher.wall_clock_read(now, unix_time());
                self.dispatcher.apply_endpoints(now, complete, &entries);
            }
            DiscoveryLine::Heartbeat(number) if number == last => {
                self.dispatcher.endpoint_list_confirmed(now, self.discovery.emptied_at);
            }
            // From a source that lags behind the previous one.
            DiscoveryLine::Heartbeat(number) if number < last => {}
            _ => return Err(StreamEnd::MissingEvents { after: last }),
        }
        Ok(())
    }

    /// Checks the socket without reading from it. Returns true if it has no unread bytes, as far as the kernel knows.
    pub(crate) fn peek_discovery(&mut self) -> bool {
        // Taken before the check, as the process may be paused right after it.
        let now = self.now();
        let state = self.discovery.socket.as_deref().map_or(SocketState::Empty, peek_socket);
        if state == SocketState::Readable {
            return false;
        }
        self.discovery.emptied_at = now;
        true
    }

    /// Whether everything that discovery has sent was read, so that new work may be sent to a worker. If not, call
    /// [`catch_up_with_discovery`](Self::catch_up_with_discovery) first.
    pub(crate) fn is_discovery_drained(&mut self, now: f64) -> bool {
        let recently_empty =
            self.discovery.backlog.is_none() && now - self.discovery.emptied_at < PEEK_VALID_SECONDS;
        recently_empty || self.peek_discovery()
    }

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

    /// Reads and applies a bounded number of unread lines. The caller runs the resulting dispatcher actions.
    pub(super) fn read_discovery(&mut self) {
        let Some(socket) = self.discovery.socket.clone() else { return };
        let now = self.now();
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // The stream's task detects the end of the stream and read errors itself.
        let length =
            (&*SockRef::from(&*socket)).read(&mut read_buffer[..MAX_BYTES_BEFORE_SEND]).unwrap_or_default();
        if let Err(end) = self.receive_from_discovery(&read_buffer[..length]) {
            self.discovery.end = Some(end);
        }
        self.read_buffer = read_buffer;
        if length < MAX_BYTES_BEFORE_SEND {
            self.discovery.emptied_at = now;
        }
        self.discovery.read_outside_task.notify_one();
    }
}
