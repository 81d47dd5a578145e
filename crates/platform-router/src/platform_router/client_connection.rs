//! The connection of one client.

use crate::memory_budget::MemoryReservation;
use crate::request_ids_seen::RequestIdsSeen;
use crate::sockets::{SocketState, peek_socket};
use crate::write_buffer::WriteBuffer;
use milletpath_dispatcher::dispatcher::RequestId;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A call that has no final response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenCall {
    /// The number that the client gave it on its connection.
    pub number: u64,
    /// The request as the dispatcher knows it.
    pub request: RequestId,
}

/// The connection of a client. Times are in seconds on the router's clock.
pub(crate) struct ClientConnection {
    /// Distinguishes it from others that have, or had, its slot.
    pub serial: u64,
    /// The socket.
    pub stream: Rc<TcpStream>,
    /// Wakes its task where there is something to write, or the connection was closed.
    pub wake: Rc<Notify>,
    /// The beginning of a line whose end has not come yet.
    pub partial_line: Vec<u8>,
    /// Responses that the socket has not taken yet.
    pub write_buffer: WriteBuffer,
    /// The bytes of both buffers in the memory budget.
    pub reservation: MemoryReservation,
    /// Calls without a final response.
    pub open_calls: Vec<OpenCall>,
    /// Numbers that the client has used.
    pub request_ids_seen: RequestIdsSeen,
    /// Whether a whole valid line ever came.
    pub has_sent_message: bool,
    /// When bytes were last written to it, a valid line came or a line began.
    pub last_progress: f64,
    /// When bytes last came; negative infinity before the first.
    pub last_received: f64,
    /// When its socket was last found open with nothing unread.
    pub checked_at: f64,
    /// When a read last left nothing in its socket.
    pub emptied_at: f64,
    /// Reads since `checked_at` that were made to find its socket so.
    pub reads_before_check: usize,
    /// An invalid line came: what is in the buffer is written, and the connection closed.
    pub closing: bool,
    /// It was accepted beyond the limit, where all others wait for responses: its calls are rejected while that holds.
    pub overflow: bool,
    /// When its sending direction was shut down. From then on what comes is read and dropped.
    pub write_closed_at: Option<f64>,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(serial: u64, stream: Rc<TcpStream>, reservation: MemoryReservation, now: f64) -> Self {
        Self {
            serial,
            stream,
            wake: Rc::new(Notify::new()),
            partial_line: Vec::new(),
            write_buffer: WriteBuffer::default(),
            reservation,
            open_calls: Vec::new(),
            request_ids_seen: RequestIdsSeen::default(),
            has_sent_message: false,
            last_progress: now,
            last_received: f64::NEG_INFINITY,
            checked_at: f64::NEG_INFINITY,
            emptied_at: f64::NEG_INFINITY,
            reads_before_check: 0,
            closing: false,
            overflow: false,
            write_closed_at: None,
        }
    }

    /// Brings its part of the memory budget up to date with its buffers.
    pub fn update_reservation(&mut self) {
        self.reservation.resize(self.partial_line.capacity() + self.write_buffer.bytes.capacity());
    }

    /// When it was last of use. Until a whole valid line has come, pieces of one do not count.
    pub fn last_used(&self) -> f64 {
        if self.has_sent_message { self.last_progress.max(self.last_received) } else { self.last_progress }
    }

    /// Whether its socket has no unread bytes: a call among them would be lost with the connection.
    pub fn has_no_unread_bytes(&self) -> bool {
        peek_socket(&self.stream) != SocketState::Readable
    }

    /// Whether no call is open, no line has begun and no response waits to be written.
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty() && self.partial_line.is_empty() && self.write_buffer.remaining() == 0
    }
}
