//! Connections of clients are closed gracefully: once nothing is open or unread on one, its sending direction is shut
//! down, and what still comes is read and dropped until the client closes as well. A close with bytes unread would
//! reset the connection, and answers on their way could be lost with it.

use super::ClientConnection;
use crate::platform_router::PlatformRouter;
use socket2::SockRef;
use std::net::Shutdown;

/// Seconds for which a connection that was shut down is read on, for a client that does not close it.
const LINGER: f64 = 0.1;
/// Seconds that a connection has for its first call when a router that shuts down closes it.
const FIRST_CALL: f64 = 0.1;

impl ClientConnection {
    /// Whether nothing is owed on this connection: no call is open, no line has begun, no answer waits to be written.
    fn idle(&self) -> bool {
        self.open.is_empty() && self.partial_line.is_empty() && self.write_buffer.remaining() == 0
    }
}

impl PlatformRouter {
    /// Shuts the sending direction of a connection down if it is idle and its first call has come, or had the time to.
    pub(super) fn shut_down_if_idle(&mut self, key: usize, now: f64) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let called = client.has_sent_message
            || self.shutdown.admission_closed() && now - client.last_progress >= FIRST_CALL;
        if client.write_closed_at.is_some()
            || client.closing
            || !called
            || !client.idle()
            || !client.nothing_unread()
        {
            return;
        }
        client.write_closed_at = Some(now);
        if let Err(e) = SockRef::from(&*client.stream).shutdown(Shutdown::Write) {
            self.close_client(key, &e.to_string());
        }
    }

    /// The same for all connections of this kind.
    pub(super) fn shut_down_idle(&mut self, now: f64, kind: impl Fn(&ClientConnection) -> bool) {
        let all: Vec<_> = self.clients.iter().filter(|(_, c)| kind(c)).map(|(key, _)| key).collect();
        for key in all {
            self.shut_down_if_idle(key, now);
        }
    }

    /// Closes the connections whose clients had long enough to close them.
    pub(super) fn close_shut_down(&mut self, now: f64) {
        let over =
            |c: &ClientConnection| c.write_closed_at.is_some_and(|closed_at| now - closed_at >= LINGER);
        let over: Vec<_> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        over.into_iter().for_each(|key| self.close_client(key, "it was closed gracefully"));
    }
}
