//! Reads the sockets of clients and splits what comes into lines.

use super::close::CloseReason;
use crate::platform_router::{DeferredFlush, PlatformRouter, READ_SIZE, UnreadSocket};
use crate::sockets::{SocketState, peek_socket};
use crate::write_buffer::RETAINED_CAPACITY;
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines::{self, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;
use std::io::ErrorKind;
use tokio::net::TcpStream;

/// Seconds for which a look at a client's socket is believed before an attempt of its request begins: a fifth of the
/// 0.1 s after which nothing may begin for a client that has gone.
const CLIENT_CHECK_SECONDS: f64 = 0.02;
/// Reads of a client's socket before an attempt of its request begins, to find whether it gave the call up: more than
/// the calls that it may have open can fill.
const MAX_READS_BEFORE_CHECK: usize = 16;

impl PlatformRouter {
    /// The socket of a client is readable.
    pub fn on_client_readable(&mut self, slot: usize) {
        self.read_client(slot);
        self.run_actions();
    }

    /// Reads from a client's socket once. What the dispatcher decides upon it is left to be carried out.
    pub fn read_client(&mut self, slot: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.closing {
            return;
        }
        let stream = client.stream.clone();
        let write_closed = client.write_closed_at.is_some();
        self.read_stream(&stream, |router, result| match result {
            Ok(_) if write_closed => {}
            Ok(bytes) => {
                router.receive_bytes(slot, bytes);
                if let Some(client) = router.clients.get_mut(slot).filter(|_| bytes.len() < READ_SIZE) {
                    client.emptied_at = now;
                }
            }
            Err(reason) => router.close_client(slot, &reason),
        });
        if self.clients.get(slot).is_some_and(|client| client.overflow) {
            self.shut_down_if_idle(slot, now);
        }
    }

    /// Reads once and passes on the bytes, or why there will be no more; nothing where none are there. The read buffer
    /// is put back on every way out of here.
    fn read_stream(
        &mut self,
        stream: &TcpStream,
        on_read: impl FnOnce(&mut Self, Result<&[u8], CloseReason>),
    ) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        match stream.try_read(&mut read_buffer) {
            Ok(0) => on_read(self, Err(CloseReason::ClosedByClient)),
            Ok(length) => on_read(self, Ok(&read_buffer[..length])),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => on_read(self, Err(CloseReason::Io(error))),
        }
        self.read_buffer = read_buffer;
    }

    /// Whether an attempt may begin as far as its client goes. After a pause the connection to the worker may be
    /// ready before the client's socket was read, which may hold a cancel or the end of the connection. False where
    /// the socket has unread bytes: they are read first, and the worker's connection is flushed then.
    pub fn may_begin_attempt(&mut self, request: RequestId, worker_connection: usize, now: f64) -> bool {
        let Some(key) = self.dispatcher.context(request).map(|context| context.client) else { return true };
        let Some(client) = self.client_by_key(key) else { return true };
        if now - client.checked_at < CLIENT_CHECK_SECONDS || client.closing {
            return true;
        }
        match peek_socket(&client.stream) {
            // All calls on the connection end with it, this one too.
            SocketState::Closed => self.close_client(key.slot, &CloseReason::ClosedByClient),
            SocketState::Readable if client.reads_before_check < MAX_READS_BEFORE_CHECK => {
                client.reads_before_check += 1;
                let unread = UnreadSocket::Client(key.slot);
                self.deferred_flushes.push(DeferredFlush { unread, worker_connection });
                return false;
            }
            SocketState::Empty | SocketState::Readable => {
                client.checked_at = now;
                client.reads_before_check = 0;
            }
        }
        true
    }

    /// Takes bytes of a client. All lines among them are checked before the first is acted on: what comes with an
    /// invalid line is not acted on either.
    fn receive_bytes(&mut self, slot: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(slot) else { return };
        let mut partial_line = std::mem::take(&mut client.partial_line);
        // Before a first valid line only the first bytes count: empty lines would hold the connection open for good.
        if partial_line.is_empty() && (client.has_sent_message || client.last_received == f64::NEG_INFINITY) {
            client.last_progress = now;
        }
        client.last_received = now;
        let mut messages = Vec::new();
        if let Err(invalid) = self.read_lines(slot, bytes, &mut partial_line, &mut messages) {
            return self.close_invalid(slot, &messages, &invalid);
        }
        if partial_line.is_empty() && partial_line.capacity() > RETAINED_CAPACITY {
            partial_line = Vec::new();
        }
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.partial_line = partial_line;
        client.update_reservation();
        client.has_sent_message |= !messages.is_empty();
        if !messages.is_empty() {
            client.last_progress = now;
        }
        for message in messages {
            self.handle_message(slot, message);
        }
    }

    /// Splits bytes into lines and checks each. The first continues `partial_line`, which is left with the beginning
    /// of the line after the last one.
    fn read_lines(
        &mut self,
        slot: usize,
        mut bytes: &[u8],
        partial_line: &mut Vec<u8>,
        messages: &mut Vec<ClientMessage>,
    ) -> Result<(), InvalidLine> {
        while let Some(end) = bytes.iter().position(|&byte| byte == b'\n') {
            let line = &bytes[..end];
            bytes = &bytes[end + 1..];
            if partial_line.is_empty() {
                self.check_line(slot, line, messages)?;
            } else {
                // One byte past the limit is enough for the line to be found too long.
                let space = (lines::MAX_LINE + 1).saturating_sub(partial_line.len());
                partial_line.extend_from_slice(&line[..line.len().min(space)]);
                self.check_line(slot, partial_line, messages)?;
                partial_line.clear();
            }
        }
        let length = partial_line.len() + bytes.len();
        if length > lines::MAX_LINE {
            return Err(InvalidLine { number: None, fault: InputError::new("line", "is too long") });
        }
        if length > RETAINED_CAPACITY && self.memory_budget.is_full() {
            let fault = InputError::new("line", "finds no memory, too many are open");
            return Err(InvalidLine { number: None, fault });
        }
        partial_line.extend_from_slice(bytes);
        Ok(())
    }

    fn handle_message(&mut self, slot: usize, message: ClientMessage) {
        match message {
            ClientMessage::Call(call) => self.submit_call(slot, *call),
            ClientMessage::Cancel { id, number } => self.cancel_calls(slot, id, number),
            ClientMessage::Probe { number } => {
                let is_healthy = self.dispatcher.has_endpoints() && !self.shutdown.begun();
                if let Some(client) = self.clients.get_mut(slot) {
                    lines::write_health(&mut client.write_buffer.bytes, number, is_healthy);
                    self.flush_client(slot);
                }
            }
        }
    }
}
