//! Closes client connections: immediately, with an error, or gracefully. A graceful close shuts down the write side
//! once no call is open and no byte is unread, then reads and discards input until the client closes its side too.
//! Closing a socket with unread bytes would reset the connection, and responses in transit could be lost.

use super::received_messages::ReceivedMessages;
use crate::platform_router::{ClientConnection, PlatformRouter};
use milletpath_platform_protocol::lines::{self, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;

/// Seconds for which a connection whose write side is shut down is kept open for a client that does not close it.
const LINGER_TIMEOUT: f64 = 0.1;
/// Seconds that a connection is given to send its first call before a router that is shutting down closes it.
const FIRST_CALL_SECONDS: f64 = 0.1;

/// Why a client connection is closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// The client closed the connection or its write side.
    #[error("the client closed the connection")]
    ClosedByClient,
    /// A read, write or shutdown of the socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// No valid line was received in time, or a line was not completed in time.
    #[error("the client was silent for too long")]
    Silent,
    /// The client has read none of its responses for a time.
    #[error("the client does not read its responses")]
    ReadsNothing,
    /// The client was sent an error for an invalid line.
    #[error("the client sent an invalid line")]
    InvalidLine,
    /// The connection was idle and its slot was needed for another one.
    #[error("evicted while idle, to make room for another connection")]
    Evicted,
    /// The connection was an idle overflow connection and its slot was needed for another one.
    #[error("evicted while idle beyond the limit, to make room for another connection")]
    EvictedOverflow,
    /// The write side was shut down and the linger time has passed.
    #[error("the connection was closed gracefully")]
    Graceful,
}

impl PlatformRouter {
    /// Closes a connection immediately and cancels its open calls.
    pub(super) fn close_client(&mut self, slot: usize, reason: &CloseReason) {
        let Some(client) = self.clients.try_remove(slot) else { return };
        tracing::debug!(
            slot,
            %reason,
            open_calls = client.open_calls.len(),
            has_sent_message = client.has_sent_message,
            "closing a client connection"
        );
        client.wake.notify_one();
        self.cancel_requests(client.open_calls);
    }

    /// Handles an invalid line: every open call of the connection, including those received with the invalid line before
    /// or behind it, gets an error response, and the connection is closed once the responses are written.
    pub(super) fn close_after_invalid_line(
        &mut self,
        slot: usize,
        received: &ReceivedMessages,
        invalid: &InvalidLine,
        lines_behind: &[u8],
    ) {
        tracing::debug!(slot, fault = %invalid.fault, "received an invalid line from a client");
        let numbers_behind = self.call_numbers_behind(slot, lines_behind);
        let Some(client) = self.clients.get_mut(slot) else { return };
        let open_calls = std::mem::take(&mut client.open_calls);
        let open_numbers = open_calls.iter().map(|call| call.number);
        let numbers = open_numbers.chain(received.call_numbers()).chain(numbers_behind);
        client.closing = true;
        for number in numbers.filter(|number| Some(*number) != invalid.number) {
            let fault = InputError::new("connection", "is closed for another line");
            client.write_buffer.append_short(|line| lines::write_invalid(line, Some(number), &fault));
        }
        client.write_buffer.append_short(|line| lines::write_invalid(line, invalid.number, &invalid.fault));
        self.cancel_requests(open_calls);
        self.flush_client(slot);
    }

    /// The numbers of the calls and health checks in whole lines behind an invalid one that were not used before.
    fn call_numbers_behind(&mut self, slot: usize, lines_behind: &[u8]) -> Vec<u64> {
        let whole_lines = lines_behind.iter().rposition(|&byte| byte == b'\n').unwrap_or(0);
        let numbers = lines_behind[..whole_lines].split(|&byte| byte == b'\n').filter_map(|line| {
            match lines::read_for_rejection(line.trim_ascii()) {
                Ok(ClientMessage::UnreadCall { number } | ClientMessage::Probe { number }) => Some(number),
                _ => None,
            }
        });
        let numbers: Vec<_> = numbers.collect();
        numbers.into_iter().filter(|&number| self.mark_number_used(slot, number).is_ok()).collect()
    }

    /// Closes connections that have been silent for too long or have not completed a line in time.
    pub fn close_stale_clients(&mut self, now: f64) {
        for slot in self.clients_where(|router, client| router.is_stale(client, now)) {
            let reads_nothing = self.clients[slot].write_buffer.remaining() > 0;
            let reason = if reads_nothing { CloseReason::ReadsNothing } else { CloseReason::Silent };
            self.close_client(slot, &reason);
        }
        self.shut_down_idle(now, |client| client.overflow);
        self.close_lingering(now);
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
        // Nothing is read after an invalid line, or from a client that leaves its responses unread, so unread bytes don't
        // keep the connection open then.
        let leaves_bytes_unread = client.closing || unwritten && client.reading_paused_since.is_some();
        // Of a client that sends nothing but empty lines the next bytes are empty lines too.
        let sends_nothing_valid = !client.has_sent_message
            && self.connection_limits.is_without_calls(client.seconds_without_calls());
        let leaves_bytes_unread = leaves_bytes_unread || sends_nothing_valid;
        late && client.open_calls.is_empty() && (leaves_bytes_unread || client.has_no_unread_bytes())
    }

    /// Shuts down the write side of a connection that is idle and has no unread bytes, provided that it has sent a call
    /// or had the time to.
    pub(super) fn shut_down_if_idle(&mut self, slot: usize, now: f64) {
        let Some(client) = self.clients.get(slot) else { return };
        if self.may_shut_down(client, now) && client.has_no_unread_bytes() {
            self.shut_down(slot, now);
        }
    }

    /// Does the same for a connection whose socket was found empty right before.
    pub(super) fn shut_down_empty_if_idle(&mut self, slot: usize, now: f64) {
        if self.clients.get(slot).is_some_and(|client| self.may_shut_down(client, now)) {
            self.shut_down(slot, now);
        }
    }

    fn may_shut_down(&self, client: &ClientConnection, now: f64) -> bool {
        let had_time_for_first_call = client.has_sent_message
            || self.shutdown.admission_closed() && now - client.last_progress >= FIRST_CALL_SECONDS;
        client.write_closed_at.is_none() && !client.closing && had_time_for_first_call && client.is_idle()
    }

    fn shut_down(&mut self, slot: usize, now: f64) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.write_closed_at = Some(now);
        if let Err(error) = SockRef::from(&*client.stream).shutdown(Shutdown::Write) {
            self.close_client(slot, &CloseReason::Io(error));
        }
    }

    /// Does the same for all connections that match `predicate`.
    pub(super) fn shut_down_idle(&mut self, now: f64, predicate: impl Fn(&ClientConnection) -> bool) {
        for slot in self.clients_where(|_, client| predicate(client)) {
            self.shut_down_if_idle(slot, now);
        }
    }

    /// Closes the connections whose write side was shut down and whose linger time has passed.
    pub(super) fn close_lingering(&mut self, now: f64) {
        let linger_expired =
            |client: &ClientConnection| client.write_closed_at.is_some_and(|at| now - at >= LINGER_TIMEOUT);
        for slot in self.clients_where(|_, client| linger_expired(client)) {
            self.close_client(slot, &CloseReason::Graceful);
        }
    }

    /// Slots of the clients that match `predicate`.
    pub(super) fn clients_where(&self, predicate: impl Fn(&Self, &ClientConnection) -> bool) -> Vec<usize> {
        self.clients.iter().filter(|(_, client)| predicate(self, client)).map(|(slot, _)| slot).collect()
    }
}
