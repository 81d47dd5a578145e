//! Closes connections of clients: at once, with an error, or gracefully. Gracefully means that the sending direction
//! is shut down once nothing is open or unread, and that what still comes is read and dropped until the client closes
//! as well. A close with bytes unread would reset the connection, and responses on their way could be lost with it.

use super::validate::calls;
use crate::platform_router::{ClientConnection, PlatformRouter};
use milletpath_platform_protocol::lines::{self, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;

/// Seconds for which a connection that was shut down is read on, for a client that does not close it.
const LINGER_SECONDS: f64 = 0.1;
/// Seconds that a connection has for its first call when a router that shuts down closes it.
const FIRST_CALL_SECONDS: f64 = 0.1;

/// Why a client's connection is closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// The client closed its end, or half of it.
    #[error("the client closed the connection")]
    ClosedByClient,
    /// A read, a write or a shutdown of the socket failed.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// No valid line came in time, or a line did not end in time.
    #[error("the client was silent for too long")]
    Silent,
    /// Too many bytes wait for it.
    #[error("the client reads its responses too slowly")]
    ReadsTooSlowly,
    /// It was sent an error about an invalid line.
    #[error("the client sent an invalid line")]
    InvalidLine,
    /// It was idle, and another connection needs its place.
    #[error("idle while another connection needs its place")]
    Evicted,
    /// The same, among those beyond the limit.
    #[error("idle beyond the limit while another connection needs its place")]
    EvictedOverflow,
    /// Its sending direction was shut down, and its client had the time to close it.
    #[error("the connection was closed gracefully")]
    Graceful,
}

impl PlatformRouter {
    /// Closes a connection at once. Its open calls are cancelled.
    pub(super) fn close_client(&mut self, slot: usize, reason: &CloseReason) {
        let Some(client) = self.clients.try_remove(slot) else { return };
        tracing::debug!(
            slot,
            %reason,
            open_calls = client.open_calls.len(),
            has_sent_message = client.has_sent_message,
            "closing the connection of a client"
        );
        client.wake.notify_one();
        self.cancel_requests(client.open_calls);
    }

    /// A client sent an invalid line: each of its calls, those that came with the line included, is answered with an
    /// error, and the connection is closed once that is written.
    pub(super) fn close_invalid(&mut self, slot: usize, messages: &[ClientMessage], invalid: &InvalidLine) {
        tracing::debug!(slot, fault = %invalid.fault, "received an invalid line from a client");
        let Some(client) = self.clients.get_mut(slot) else { return };
        let open_calls = std::mem::take(&mut client.open_calls);
        let numbers = calls(messages).map(|call| call.number);
        let numbers = numbers.chain(open_calls.iter().map(|call| call.number));
        client.closing = true;
        for number in numbers.filter(|number| Some(*number) != invalid.number) {
            let fault = InputError::new("connection", "is closed for another line");
            lines::write_invalid(&mut client.write_buffer.bytes, Some(number), &fault);
        }
        lines::write_invalid(&mut client.write_buffer.bytes, invalid.number, &invalid.fault);
        self.cancel_requests(open_calls);
        self.flush_client(slot);
    }

    /// Closes connections that have been silent, or have not ended a line, for too long.
    pub fn close_stale_clients(&mut self, now: f64) {
        for slot in self.clients_where(|router, client| router.is_stale(client, now)) {
            self.close_client(slot, &CloseReason::Silent);
        }
        self.shut_down_idle(now, |client| client.overflow);
        self.close_shut_down(now);
    }

    fn is_stale(&self, client: &ClientConnection, now: f64) -> bool {
        let unwritten = client.write_buffer.remaining() > 0;
        let late = if client.partial_line.is_empty() || unwritten {
            (!client.has_sent_message || unwritten)
                && self.connection_limits.is_silent(now, client.last_progress)
        } else {
            self.connection_limits.line_timed_out(
                now,
                client.last_progress,
                client.last_received,
                client.has_sent_message,
            )
        };
        // After an invalid line nothing more is read, so unread bytes do not count then.
        late && client.open_calls.is_empty() && (client.closing || client.has_no_unread_bytes())
    }

    /// Shuts the sending direction of a connection down if it is idle and its first call has come, or had the time to.
    pub(super) fn shut_down_if_idle(&mut self, slot: usize, now: f64) {
        let admission_closed = self.shutdown.admission_closed();
        let Some(client) = self.clients.get_mut(slot) else { return };
        let had_time_for_first_call =
            client.has_sent_message || admission_closed && now - client.last_progress >= FIRST_CALL_SECONDS;
        let is_open = client.write_closed_at.is_none() && !client.closing;
        if !is_open || !had_time_for_first_call || !client.is_idle() || !client.has_no_unread_bytes() {
            return;
        }
        client.write_closed_at = Some(now);
        if let Err(error) = SockRef::from(&*client.stream).shutdown(Shutdown::Write) {
            self.close_client(slot, &CloseReason::Io(error));
        }
    }

    /// The same for all connections that `applies` is true of.
    pub(super) fn shut_down_idle(&mut self, now: f64, predicate: impl Fn(&ClientConnection) -> bool) {
        for slot in self.clients_where(|_, client| predicate(client)) {
            self.shut_down_if_idle(slot, now);
        }
    }

    /// Closes the connections that were shut down and whose clients had the time to close them.
    pub(super) fn close_shut_down(&mut self, now: f64) {
        let linger_expired =
            |client: &ClientConnection| client.write_closed_at.is_some_and(|at| now - at >= LINGER_SECONDS);
        for slot in self.clients_where(|_, client| linger_expired(client)) {
            self.close_client(slot, &CloseReason::Graceful);
        }
    }

    /// Slots of the clients that `applies` is true of.
    pub(super) fn clients_where(&self, predicate: impl Fn(&Self, &ClientConnection) -> bool) -> Vec<usize> {
        self.clients.iter().filter(|(_, client)| predicate(self, client)).map(|(slot, _)| slot).collect()
    }
}
