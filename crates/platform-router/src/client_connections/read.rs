//! Reads client sockets and splits the received bytes into lines.

use super::close::CloseReason;
use super::received_messages::ReceivedMessages;
use crate::platform_router::PlatformRouter;
use crate::sockets::{DirectSockets, Sockets, SystemSockets};
use crate::write_buffer::RETAINED_CAPACITY;
use milletpath_platform_protocol::lines::{self, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;
use std::io::{self, ErrorKind};
use tokio::net::TcpStream;

/// Maximum number of reads of a client's socket in a row. A client that sends without a pause keeps its socket readable.
const MAX_READS_UNTIL_EMPTY: usize = 4;

/// What one read of a client's socket found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadResult {
    /// Bytes, and there may be more.
    Received,
    /// Nothing.
    Empty,
    /// There is no memory for what the socket may hold.
    Paused,
    /// No more will follow: the connection was closed, or is about to be.
    Closed,
}

impl PlatformRouter {
    /// Handles read readiness of a client's socket.
    pub fn on_client_readable(&mut self, slot: usize) {
        self.read_client(slot);
        self.run_actions();
    }

    /// Reads from a client's socket once. The caller runs the resulting dispatcher actions.
    pub fn read_client(&mut self, slot: usize) {
        self.read_client_once(slot, &SystemSockets);
    }

    /// Does the same for a socket of which the runtime may not know yet that it is readable.
    pub fn read_client_directly(&mut self, slot: usize) {
        self.read_client_once(slot, &DirectSockets);
    }

    fn read_client_once(&mut self, slot: usize, sockets: &dyn Sockets) {
        let now = self.now();
        self.read_client_by(slot, now, |stream, buffer| sockets.read(stream, buffer));
        // At once, as a client that goes on sending has unread bytes again soon.
        if self.shutdown.admission_closed() || self.clients.get(slot).is_some_and(|client| client.overflow) {
            self.shut_down_if_idle(slot, now);
        }
    }

    /// Reads a client's socket until it is empty, which may be before the runtime knows that it is readable. Returns
    /// whether it is known to be empty. The caller runs the resulting dispatcher actions.
    pub(super) fn read_client_until_empty(&mut self, slot: usize) -> bool {
        for _ in 0..MAX_READS_UNTIL_EMPTY {
            let now = self.now();
            match self.read_client_by(slot, now, |stream, buffer| DirectSockets.read(stream, buffer)) {
                ReadResult::Empty => return true,
                ReadResult::Received => {}
                ReadResult::Paused | ReadResult::Closed => return false,
            }
        }
        false
    }

    /// Reads once by `read` from a client's socket, and handles what was received.
    fn read_client_by(
        &mut self,
        slot: usize,
        now: f64,
        read: impl FnOnce(&TcpStream, &mut [u8]) -> io::Result<usize>,
    ) -> ReadResult {
        if !self.clients.contains(slot) {
            return ReadResult::Closed;
        }
        self.begin_turn();
        let Some(client) = self.clients.get(slot).filter(|client| !client.closing) else {
            return ReadResult::Closed;
        };
        let stream = client.stream.clone();
        let write_closed = client.write_closed_at.is_some();
        let max_length = self.max_read_length(client);
        if max_length == 0 {
            return ReadResult::Paused;
        }
        let unread_since = client.reading_paused_since.unwrap_or(now);
        let arrived_at = self.liveness.earliest_arrival(now, client.emptied_at).min(unread_since);
        // Taken from the router while the bytes in it are handled, and restored on every path.
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let result = match read(&stream, &mut read_buffer[..max_length]) {
            Ok(0) => self.end_of_client(slot, &CloseReason::ClosedByClient),
            Ok(_) if write_closed => ReadResult::Received,
            Ok(length) => {
                let emptied = length < max_length;
                if let Some(client) = self.clients.get_mut(slot) {
                    client.presence.received(now, Some(arrived_at), length, emptied);
                }
                self.receive_bytes(slot, &read_buffer[..length]);
                if let Some(client) = self.clients.get_mut(slot) {
                    client.record_read(now, emptied);
                }
                ReadResult::Received
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Empty,
            Err(error) => self.end_of_client(slot, &CloseReason::Io(error)),
        };
        self.read_buffer = read_buffer;
        result
    }

    fn end_of_client(&mut self, slot: usize, reason: &CloseReason) -> ReadResult {
        self.close_client(slot, reason);
        ReadResult::Closed
    }

    /// Processes bytes received from a client. All complete lines are validated before the first one is processed; if
    /// one is invalid, none of them is processed.
    fn receive_bytes(&mut self, slot: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(slot) else { return };
        let mut partial_line = std::mem::take(&mut client.partial_line);
        // Until a first valid line only the first bytes count as progress: empty lines would otherwise keep the
        // connection open forever.
        if partial_line.is_empty() && (client.has_sent_message || client.last_received == f64::NEG_INFINITY) {
            client.last_progress = now;
        }
        let received_before = std::mem::replace(&mut client.last_received, now);
        let mut received = ReceivedMessages::default();
        let mut unread = bytes;
        if let Err(invalid) = self.read_lines(slot, &mut unread, &mut partial_line, &mut received) {
            return self.close_after_invalid_line(slot, &received, &invalid, unread);
        }
        if partial_line.is_empty() && partial_line.capacity() > RETAINED_CAPACITY {
            partial_line = Vec::new();
        }
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.partial_line = partial_line;
        client.update_reservation();
        if bytes.contains(&b'\n') {
            client.record_lines(now, received_before, received.has_call());
        }
        client.has_sent_message |= !received.is_empty();
        if !received.is_empty() {
            client.last_progress = now;
        }
        for message in received.into_messages() {
            self.handle_message(slot, message);
        }
        // Responses written so far go in one write.
        self.flush_client(slot);
    }

    /// Splits bytes into lines and validates each one. The first line continues `partial_line`, which holds the
    /// incomplete last line afterwards. `unread` are the bytes that are not split yet.
    fn read_lines(
        &mut self,
        slot: usize,
        unread: &mut &[u8],
        partial_line: &mut Vec<u8>,
        received: &mut ReceivedMessages,
    ) -> Result<(), InvalidLine> {
        loop {
            if partial_line.is_empty() {
                *unread = without_empty_lines(unread);
            }
            let Some(end) = unread.iter().position(|&byte| byte == b'\n') else { break };
            let line = &unread[..end];
            *unread = &unread[end + 1..];
            if partial_line.is_empty() {
                self.check_line(slot, line, received)?;
            } else {
                // One byte beyond the limit is enough to detect a line that is too long.
                let space = (lines::MAX_LINE + 1).saturating_sub(partial_line.len());
                partial_line.extend_from_slice(&line[..line.len().min(space)]);
                self.check_line(slot, partial_line, received)?;
                partial_line.clear();
            }
        }
        let length = partial_line.len() + unread.len();
        if length > lines::MAX_LINE {
            return Err(InvalidLine { number: None, fault: InputError::new("line", "is too long") });
        }
        partial_line.extend_from_slice(unread);
        Ok(())
    }

    fn handle_message(&mut self, slot: usize, message: ClientMessage) {
        match message {
            ClientMessage::Call(call) => self.submit_call(slot, *call),
            ClientMessage::UnreadCall { number } => self.reject_unread_call(slot, number),
            ClientMessage::Cancel { id, number } => self.cancel_calls(slot, id, number),
            ClientMessage::Probe { number } => {
                let is_healthy = self.dispatcher.has_endpoints() && !self.shutdown.begun();
                if let Some(client) = self.clients.get_mut(slot) {
                    client.write_buffer.append_short(|line| {
                        lines::write_health(line, number, is_healthy);
                    });
                }
            }
        }
    }
}

/// The bytes from the first line that is not empty on. Empty lines may come by the thousand.
fn without_empty_lines(bytes: &[u8]) -> &[u8] {
    let first = bytes.iter().position(|&byte| byte != b'\n').unwrap_or(bytes.len());
    &bytes[first..]
}
