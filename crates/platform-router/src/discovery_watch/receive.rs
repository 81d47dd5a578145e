//! Applies the lines of the discovery stream. They are read either by the task that waits for the socket, or before
//! work is sent to a worker, when the socket is checked first. A process that was paused or is busy may find an event
//! and a request at the same time; the event is then applied before the request is sent.
//!
//! A heartbeat states that the list was current when the heartbeat was written. That time is not known, only that the
//! socket was empty at the last check before, so the list counts as confirmed at the time of that check.

use crate::discovery_feed::StreamEnd;
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
