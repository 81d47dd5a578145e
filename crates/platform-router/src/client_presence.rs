//! How long ago a client was last known to be connected. The end of a stream shows only once everything before it has
//! arrived, so a client may have left behind bytes that the receive buffer had no room for. Performs no I/O. Times are in
//! seconds on the router's clock.

/// Bytes of a backlog behind which the end of the stream may be held up at the client: less than any receive buffer. Where
/// fewer are unread, the client's system sends what follows at once.
pub(crate) const HIDING_BYTES: usize = 32 << 10;
/// Seconds for which the client counts as connected after it was known to be: less than the 0.1 s after its departure for
/// which an attempt may still begin.
const VALID_SECONDS: f64 = 0.08;
/// Seconds without a byte after which nothing more of a backlog follows.
const SETTLED_SECONDS: f64 = 0.002;

/// What is known about a client whose socket is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// The client is connected, or was a moment ago.
    Confirmed,
    /// More of a backlog may follow, and the end of the stream with it. Known after this many seconds without a byte.
    Unsettled,
}

/// When a client was last known to be connected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientPresence {
    confirmed_at: f64,
    last_received: f64,
    /// Bytes received since the socket was last empty with no backlog before it.
    backlog: usize,
}

impl ClientPresence {
    /// The presence of a client that connected at `now`.
    pub fn new(now: f64) -> Self {
        Self { confirmed_at: now, last_received: f64::NEG_INFINITY, backlog: 0 }
    }

    /// Records that bytes were read, and whether they emptied the socket.
    pub fn received(&mut self, now: f64, length: usize, emptied: bool) {
        if now - self.last_received >= SETTLED_SECONDS && self.backlog < HIDING_BYTES {
            self.backlog = 0;
        }
        self.backlog = self.backlog.saturating_add(length);
        self.last_received = now;
        if emptied && self.backlog < HIDING_BYTES {
            self.confirm(now);
        }
    }

    /// Whether the client was known to be connected a moment ago.
    pub fn is_recent(&self, now: f64) -> bool {
        now - self.confirmed_at < VALID_SECONDS
    }

    /// Whether the client has sent so much in a row that more of it may follow.
    pub fn has_backlog(&self) -> bool {
        self.backlog >= HIDING_BYTES
    }

    /// What an empty socket shows at `now`.
    pub fn on_empty(&mut self, now: f64) -> Presence {
        if self.has_backlog() && now - self.last_received < SETTLED_SECONDS {
            return if self.is_recent(now) { Presence::Confirmed } else { Presence::Unsettled };
        }
        self.confirm(now);
        Presence::Confirmed
    }

    /// Seconds after which an unsettled client is looked at again.
    pub fn settles_after() -> f64 {
        SETTLED_SECONDS
    }

    fn confirm(&mut self, now: f64) {
        self.confirmed_at = now;
        self.backlog = 0;
    }
}

#[cfg(test)]
mod tests;
