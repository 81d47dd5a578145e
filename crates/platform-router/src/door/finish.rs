//! Connections of clients are closed gracefully: once nothing is open or unread on one, its sending direction is shut
//! down, and what still comes is read and dropped until the client closes as well. A close with bytes unread would
//! reset the connection, and answers on their way could be lost with it.

use super::Client;
use crate::station::Station;
use socket2::SockRef;
use std::net::Shutdown;

/// Seconds for which a connection that was shut down is read on, for a client that does not close it.
const LINGER: f64 = 0.1;
/// Seconds that a connection has for its first call when a router that shuts down closes it.
const FIRST_CALL: f64 = 0.1;

impl Client {
    /// Whether nothing is owed on this connection: no call is open, no line has begun, no answer waits to be written.
    fn idle(&self) -> bool {
        self.open.is_empty() && self.rest.is_empty() && self.out.left() == 0
    }
}

impl Station {
    /// Shuts the sending direction of a connection down if it is idle and its first call has come, or had the time to.
    pub(super) fn finish_if_idle(&mut self, key: usize, now: f64) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let called = client.said || self.shutdown.admission_closed() && now - client.since >= FIRST_CALL;
        if client.finished.is_some() || client.condemned || !called || !client.idle() || !client.quiet() {
            return;
        }
        client.finished = Some(now);
        if let Err(e) = SockRef::from(&*client.stream).shutdown(Shutdown::Write) {
            self.part(key, &e.to_string());
        }
    }

    /// The same for all connections of this kind.
    pub(super) fn finish_idle(&mut self, now: f64, kind: impl Fn(&Client) -> bool) {
        let all: Vec<_> = self.clients.iter().filter(|(_, c)| kind(c)).map(|(key, _)| key).collect();
        for key in all {
            self.finish_if_idle(key, now);
        }
    }

    /// Closes the connections whose clients had long enough to close them.
    pub(super) fn close_finished(&mut self, now: f64) {
        let over = |c: &Client| c.finished.is_some_and(|since| now - since >= LINGER);
        let over: Vec<_> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        over.into_iter().for_each(|key| self.part(key, "it was closed gracefully"));
    }
}
