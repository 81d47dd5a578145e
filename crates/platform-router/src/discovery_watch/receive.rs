//! Takes in the lines of the stream, whoever reads them: the task that waits for the socket, or a send that looks at the
//! socket first. A process that was paused, or that is busy, may find an event and a request at once: the event is
//! applied before the request is sent on.
//!
//! A heartbeat states that the list was current when it was written. All that is known of that time is that the socket
//! was empty at the last look before it, so the list counts as confirmed then.

use crate::discovery_feed::StreamEnd;
use crate::platform_router::PlatformRouter;
use crate::sockets::{SocketState, peek_socket};
use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_process_environment::wall_clock::unix_time;
use socket2::SockRef;
use std::io::Read;
use tokio::time::Instant;

/// Seconds for which a look at the socket is believed before something is sent: short against any grace.
const LOOK_SECONDS: f64 = 0.02;
/// Reads of the socket before something is sent; what is left after them waits for the next look.
const MAX_READS: usize = 16;

impl PlatformRouter {
    /// Takes bytes of the stream and applies the lines that end in them.
    pub(super) fn receive_from_discovery(&mut self, bytes: &[u8]) -> Result<(), StreamEnd> {
        self.discovery.partial_line.extend_from_slice(bytes);
        while let Some(end) = self.discovery.partial_line.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.discovery.partial_line.drain(..=end).collect();
            self.discovery.last_line_at = Instant::now();
            self.apply_discovery_line(line.trim_ascii())?;
        }
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
            // Applied before.
            DiscoveryLine::Event { number, .. } if number <= last => {}
            DiscoveryLine::Event { number, complete, entries } if complete || number == last + 1 => {
                self.discovery.last_event = number;
                self.dispatcher.wall_clock_read(now, unix_time());
                self.dispatcher.update_endpoints(now, complete, &entries);
            }
            DiscoveryLine::Heartbeat(number) if number == last => {
                self.dispatcher.endpoint_list_confirmed(now, self.discovery.emptied_at);
            }
            // From a source that is behind the one that was followed before.
            DiscoveryLine::Heartbeat(number) if number < last => {}
            _ => return Err(StreamEnd::MissingEvents { after: last }),
        }
        Ok(())
    }

    /// Looks at the socket without reading. True where nothing is unread, as far as the system knows.
    pub(crate) fn look_at_discovery(&mut self) -> bool {
        // The time before the look: the process may be paused right after it.
        let now = self.now();
        let state = self.discovery.socket.as_deref().map_or(SocketState::Empty, peek_socket);
        if state == SocketState::Readable {
            return false;
        }
        self.discovery.emptied_at = now;
        true
    }

    /// Whether all that discovery has sent was read, so that new work may go to a worker. Otherwise
    /// [`read_discovery`](Self::read_discovery) comes first.
    pub(crate) fn is_discovery_read(&mut self, now: f64) -> bool {
        now - self.discovery.emptied_at < LOOK_SECONDS || self.look_at_discovery()
    }

    /// Reads and applies what is unread. What the dispatcher decides upon it is left to be carried out.
    pub(crate) fn read_discovery(&mut self) {
        let Some(socket) = self.discovery.socket.clone() else { return };
        let now = self.now();
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        for _ in 0..MAX_READS {
            // The end of the stream and errors are found by its task as well.
            let Ok(length @ 1..) = (&*SockRef::from(&*socket)).read(&mut read_buffer) else { break };
            if let Err(end) = self.receive_from_discovery(&read_buffer[..length]) {
                self.discovery.end = Some(end);
                break;
            }
        }
        self.read_buffer = read_buffer;
        self.discovery.emptied_at = now;
        self.discovery.read_elsewhere.notify_one();
    }
}
