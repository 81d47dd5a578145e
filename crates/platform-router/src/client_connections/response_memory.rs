//! Decides before memory is taken, not after a request has run: whether there is room for the response of a request that
//! is about to be sent, and whether a client's socket is read.

use super::validate::MAX_OPEN_CALLS;
use crate::platform_router::{ClientConnection, PlatformRouter};
use crate::write_buffer::RETAINED_CAPACITY;
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines::{self, MAX_REQUEST_BODY};
use milletpath_policy::may_await_response;

/// Maximum length in bytes of a response with the longest body that the platform specifies.
const MAX_RESPONSE_LINE: usize = lines::max_success_length(MAX_REQUEST_BODY);

/// Unwritten bytes past which a client's requests are not read: more than a client can be owed that has no more requests
/// open than it may.
const MAX_UNWRITTEN: usize = MAX_OPEN_CALLS * MAX_RESPONSE_LINE;

impl PlatformRouter {
    /// Reserves memory for the response of a request that is about to be sent to a worker. Returns false if there is not
    /// enough for it beside what the client is owed already.
    pub fn reserve_response(&mut self, request: RequestId) -> bool {
        let Some(context) = self.dispatcher.context(request) else { return true };
        if context.response_reservation.is_some() {
            return true;
        }
        // The body is kept until the response has arrived, and then makes room for it.
        let needed = MAX_RESPONSE_LINE.saturating_sub(context.body.len());
        let key = context.client;
        let Some(client) = self.client_by_key(key) else { return true };
        let open_calls: Vec<_> = client.open_calls.iter().map(|call| call.request).collect();
        let buffered = client.reservation.bytes();
        let reserved = open_calls.into_iter().map(|call| self.reserved_for_response(call)).sum::<usize>();
        if !may_await_response(self.memory_budget.available(), buffered + reserved, needed) {
            return false;
        }
        let reservation = self.memory_budget.reserve(needed);
        if let Some(context) = self.dispatcher.context(request) {
            context.response_reservation = Some(reservation);
        }
        true
    }

    fn reserved_for_response(&mut self, request: RequestId) -> usize {
        let context = self.dispatcher.context(request);
        let reservation = context.and_then(|context| context.response_reservation.as_ref());
        reservation.map_or(0, |reservation| reservation.bytes())
    }

    /// Whether there is room for a response with a body of this length. A longer body than the platform specifies was
    /// not reserved.
    pub fn has_room_for_response(&self, body: usize) -> bool {
        body <= MAX_REQUEST_BODY || lines::max_success_length(body) <= self.memory_budget.available().free
    }

    /// Whether a client's socket is left unread for now: the client has left too many responses unread, or the memory is
    /// full and the client has sent a large part of a line. Its responses are written meanwhile.
    fn pauses_reading(&self, client: &ClientConnection) -> bool {
        let unwritten = client.write_buffer.remaining();
        unwritten > MAX_UNWRITTEN
            || self.limits_reading()
                && (unwritten > RETAINED_CAPACITY || client.partial_line.len() >= RETAINED_CAPACITY)
    }

    /// Whether the memory is full. During a shutdown everything is read all the same, as it is rejected at once.
    fn limits_reading(&self) -> bool {
        self.memory_budget.is_full() && !self.shutdown.begun()
    }

    /// Maximum number of bytes to read from a client's socket at once. While the memory is full, an incomplete line
    /// stays small.
    pub fn max_read_length(&self, client: &ClientConnection) -> usize {
        if self.limits_reading() {
            RETAINED_CAPACITY.saturating_sub(client.partial_line.len())
        } else {
            self.read_buffer.len()
        }
    }

    /// Whether a client's socket is read now, and records since when it is not. What it holds when it is read again may
    /// have come at the beginning of the pause.
    pub fn update_reading(&mut self, slot: usize) -> bool {
        let paused = self.clients.get(slot).is_some_and(|client| self.pauses_reading(client));
        // The clock is read in a pause alone, as a client's task comes here for each event.
        let paused_at = paused.then(|| self.now());
        let Some(client) = self.clients.get_mut(slot) else { return false };
        if paused {
            client.reading_paused_since = client.reading_paused_since.or(paused_at);
        } else if client.reading_paused_since.is_some() && client.has_no_unread_bytes() {
            client.reading_paused_since = None;
        }
        !paused
    }

    /// Wakes the tasks of clients that are not read, to look whether they are read again.
    pub fn wake_paused_clients(&mut self) {
        for (_, client) in &self.clients {
            if client.reading_paused_since.is_some() {
                client.wake.notify_one();
            }
        }
    }
}
