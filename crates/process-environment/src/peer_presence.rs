//! Whether the peer of a connection is still there. The end of a stream shows only once everything before it has arrived,
//! so a peer may have left behind bytes that the receive buffer had no room for. [`PeerPresence`] performs no I/O; its
//! times are in seconds on any monotonic clock.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

/// Bytes of a backlog behind which the end of the stream may be held up at the peer: less than any receive buffer. Where
/// fewer are unread, the peer's system sends what follows at once.
const HIDING_BYTES: usize = 32 << 10;
/// Seconds for which the peer counts as connected after it was known to be: less than the 0.1 s after its departure for
/// which an attempt may still begin.
const VALID_SECONDS: f64 = 0.08;
/// Seconds without a byte after which nothing more of a backlog follows.
const SETTLED_SECONDS: f64 = 0.02;

/// What is known about a peer whose socket is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The peer is connected, or was a moment ago.
    Confirmed,
    /// More of a backlog may follow, and the end of the stream with it.
    Unsettled,
    /// The peer has not sent the rest of a message, and may have left.
    Unknown,
}

/// When a peer was last known to be connected.
#[derive(Clone, Copy, Debug)]
pub struct PeerPresence {
    confirmed_at: f64,
    last_received: f64,
    /// Bytes received in a row, without a pause in which the socket was empty.
    backlog: usize,
}

impl PeerPresence {
    /// The presence of a peer that connected at `now`.
    #[must_use]
    pub fn new(now: f64) -> Self {
        Self { confirmed_at: now, last_received: f64::NEG_INFINITY, backlog: 0 }
    }

    /// Records that bytes were read at `now`, and whether they emptied the socket. If the socket was empty before they came,
    /// `arrived_at` is the earliest time at which they may have come.
    pub fn received(&mut self, now: f64, arrived_at: Option<f64>, length: usize, emptied: bool) {
        if let Some(at) = arrived_at.filter(|at| at - self.last_received >= SETTLED_SECONDS) {
            self.confirm(at);
        }
        self.backlog = self.backlog.saturating_add(length);
        self.last_received = now;
        if emptied && !self.has_backlog() {
            self.confirm(now);
        }
    }

    /// Whether the peer was known to be connected a moment ago.
    #[must_use]
    pub fn is_recent(&self, now: f64) -> bool {
        now - self.confirmed_at < VALID_SECONDS
    }

    /// Whether the peer has sent so much in a row that more of it may follow.
    #[must_use]
    pub fn has_backlog(&self) -> bool {
        self.backlog >= HIDING_BYTES
    }

    /// What an empty socket shows at `now`. `is_mid_message` tells whether the last message received is incomplete, so that
    /// its peer has more to send or has left.
    pub fn on_empty(&mut self, now: f64, is_mid_message: bool) -> Presence {
        if !self.has_backlog() {
            self.confirm(now);
            return Presence::Confirmed;
        }
        if self.is_recent(now) {
            return Presence::Confirmed;
        }
        if now - self.last_received < SETTLED_SECONDS {
            return Presence::Unsettled;
        }
        if is_mid_message {
            return Presence::Unknown;
        }
        self.confirm(now);
        Presence::Confirmed
    }

    /// Seconds after which an unsettled peer is looked at again.
    #[must_use]
    pub fn settles_after() -> f64 {
        SETTLED_SECONDS
    }

    fn confirm(&mut self, at: f64) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.backlog = 0;
    }
}

/// Whether the peer has closed its sending side or reset the connection, even if unread bytes precede that. The end of the
/// stream is not known yet while the receive buffer is too full for it.
#[must_use]
pub fn has_peer_closed(stream: &impl AsFd) -> bool {
    let closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
    let mut descriptors = [PollFd::new(stream.as_fd(), closed)];
    poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

/// Whether so many bytes are unread that the end of the stream may be held up behind them at the peer.
#[must_use]
pub fn may_hide_end_of_stream(stream: &impl AsFd) -> bool {
    let mut unread = [MaybeUninit::uninit(); HIDING_BYTES];
    SockRef::from(stream).peek(&mut unread).is_ok_and(|length| length == HIDING_BYTES)
}

#[cfg(test)]
mod tests;
