//! State of one client connection.

use crate::memory_budget::MemoryReservation;
use crate::request_ids_seen::RequestIdsSeen;
use crate::sockets::{SocketState, peek_socket};
use crate::write_buffer::{RETAINED_CAPACITY, WriteBuffer};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_process_environment::peer_presence::PeerPresence;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A call without a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenCall {
    /// The number that the client assigned to the call on its connection.
    pub number: u64,
    /// The dispatcher's id of the request.
    pub request: RequestId,
}

/// Lines without a call that came without a pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinesWithoutCalls {
    /// When the first of them were received.
    began_at: f64,
    /// When the last of them were received.
    last_at: f64,
}

/// A client connection. Times are in seconds on the router's clock.
pub(crate) struct ClientConnection {
    /// Distinguishes this connection from others that use the same slot at another time.
    pub serial: u64,
    pub stream: Rc<TcpStream>,
    /// Wakes the connection's task when there is something to write or the connection was closed.
    pub wake: Rc<Notify>,
    /// The incomplete last line.
    pub partial_line: Vec<u8>,
    /// Responses that the socket has not accepted yet.
    pub write_buffer: WriteBuffer,
    /// Whether a final response was appended to `write_buffer` that is written once all current events are handled.
    pub flush_pending: bool,
    /// The bytes of both buffers in the memory budget.
    pub reservation: MemoryReservation,
    /// Calls without a final response.
    pub open_calls: Vec<OpenCall>,
    /// Numbers that the client has used.
    pub request_ids_seen: RequestIdsSeen,
    /// Whether a complete valid line was ever received.
    pub has_sent_message: bool,
    /// Time of the last write, the last valid line or the start of the last line.
    pub last_progress: f64,
    /// Time at which bytes were last received; negative infinity before the first.
    pub last_received: f64,
    /// Time at which the socket was last found open without unread bytes.
    pub checked_at: f64,
    /// When the client was last known to be connected.
    pub presence: PeerPresence,
    /// Time of the last read that emptied the socket.
    pub emptied_at: f64,
    /// Reads since `checked_at` that were made before an attempt to empty the socket.
    pub reads_before_check: usize,
    /// Time since which the socket is not read, because there is no memory for what it holds or the client leaves its
    /// responses unread.
    pub reading_paused_since: Option<f64>,
    /// Whether the last read before the current one left nothing unread.
    pub last_read_emptied: bool,
    /// The lines that the client has last sent without a pause, if no call was among them.
    pub lines_without_calls: Option<LinesWithoutCalls>,
    /// Whether an invalid line was received: the write buffer is flushed and the connection is closed.
    pub closing: bool,
    /// Whether the client has closed its sending side, although what it sent before that is not read yet. Its calls are
    /// rejected.
    pub has_left: bool,
    /// Whether the connection was accepted beyond the limit, while all others waited for responses. Its calls are
    /// rejected as long as the limit is exceeded.
    pub overflow: bool,
    /// Time at which the write side was shut down. Input received later is read and discarded.
    pub write_closed_at: Option<f64>,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub fn new(serial: u64, stream: Rc<TcpStream>, reservation: MemoryReservation, now: f64) -> Self {
        Self {
            serial,
            stream,
            wake: Rc::new(Notify::new()),
            partial_line: Vec::new(),
            write_buffer: WriteBuffer::default(),
            flush_pending: false,
            reservation,
            open_calls: Vec::new(),
            request_ids_seen: RequestIdsSeen::default(),
            has_sent_message: false,
            last_progress: now,
            last_received: f64::NEG_INFINITY,
            checked_at: f64::NEG_INFINITY,
            presence: PeerPresence::new(now),
            emptied_at: f64::NEG_INFINITY,
            reads_before_check: 0,
            reading_paused_since: None,
            last_read_emptied: true,
            lines_without_calls: None,
            closing: false,
            has_left: false,
            overflow: false,
            write_closed_at: None,
        }
    }

    /// Updates the reserved bytes to the current size of the buffers. The bytes that a connection always may hold are not
    /// counted, so that rejections take nothing from the memory for responses.
    pub fn update_reservation(&mut self) {
        let held = self.partial_line.capacity() + self.write_buffer.bytes.capacity();
        self.reservation.resize(held.saturating_sub(RETAINED_CAPACITY));
    }

    /// Time at which the connection was last used. Until a complete valid line was received, parts of a line don't
    /// count.
    pub fn last_used(&self) -> f64 {
        if self.has_sent_message { self.last_progress.max(self.last_received) } else { self.last_progress }
    }

    /// Removes a call that gets its final response now; returns whether it was still open.
    pub fn take_open_call(&mut self, number: u64) -> bool {
        let open = self.open_calls.len();
        self.open_calls.retain(|call| call.number != number);
        self.open_calls.len() < open
    }

    /// Records a read at `now` whose bytes were handled, and whether it left nothing unread.
    pub fn record_read(&mut self, now: f64, emptied: bool) {
        self.last_read_emptied = emptied;
        if emptied {
            self.emptied_at = now;
            self.reading_paused_since = None;
        }
    }

    /// Records that whole lines were received, and whether there was a call or the end of one among them. The
    /// bytes before them were received at `received_before`.
    pub fn record_lines(&mut self, now: f64, received_before: f64, has_call: bool) {
        /// Seconds after the socket was emptied that count as a pause.
        const PAUSE_SECONDS: f64 = 0.1;
        let paused = self.last_read_emptied && now - received_before >= PAUSE_SECONDS;
        let known = self.lines_without_calls.filter(|_| !paused);
        let began_at = known.map_or(now, |lines| lines.began_at);
        self.lines_without_calls = (!has_call).then_some(LinesWithoutCalls { began_at, last_at: now });
    }

    /// Seconds for which the client has sent lines without a pause and no call among them; 0 while it has a call open. Its
    /// unread bytes are then taken for more of the same. Of a client that has sent nothing valid yet, pauses count as well.
    pub fn seconds_without_calls(&self) -> f64 {
        if !self.has_sent_message && self.partial_line.is_empty() {
            return (self.last_received - self.last_progress).max(0.0);
        }
        let lines = self.lines_without_calls.filter(|_| self.open_calls.is_empty());
        lines.map_or(0.0, |lines| lines.last_at - lines.began_at)
    }

    /// Whether the socket has no unread bytes. A call among them would be lost if the connection were closed.
    pub fn has_no_unread_bytes(&self) -> bool {
        peek_socket(&self.stream) != SocketState::Readable
    }

    /// Whether there is no open call, no incomplete line and no unwritten response.
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty() && self.partial_line.is_empty() && self.write_buffer.remaining() == 0
    }
}
