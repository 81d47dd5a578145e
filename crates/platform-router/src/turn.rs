//! Measures how far the router is behind its sockets. A turn begins when a socket is read while nothing else waits to be
//! handled, and ends once every task that was ready by then has run. Performs no I/O. Times are in seconds on the
//! router's clock.
//!
//! A socket that is read late in a long turn has waited for about as long as the turn has taken. Pauses of the process do
//! not count: what was unread during one can still be served, as far as its clients wait.

use milletpath_policy::ReadDelayLimits;

/// Seconds between two turns up to which the second one continues the first.
const MAX_GAP: f64 = 0.05;

/// A turn that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedTurn {
    seconds: f64,
    ended_at: f64,
}

/// The current turn, if one is in progress, and the previous one.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    began_at: Option<f64>,
    previous: Option<EndedTurn>,
}

impl Turn {
    /// Begins a turn unless one is in progress; returns whether it did. The caller then arranges for
    /// [`end`](Self::end) to be called after every task that is ready now.
    pub fn begin(&mut self, now: f64) -> bool {
        let begins = self.began_at.is_none();
        self.began_at.get_or_insert(now);
        begins
    }

    /// Counts the current turn from the end of a pause of the process, if that came after its beginning.
    pub fn resume(&mut self, resumed_at: f64) {
        self.began_at = self.began_at.map(|began_at| began_at.max(resumed_at));
    }

    /// Ends the turn.
    pub fn end(&mut self, now: f64) {
        let ended = |began_at| EndedTurn { seconds: now - began_at, ended_at: now };
        self.previous = self.began_at.take().map(ended);
    }

    /// Whether the current turn has taken so long that what is read in it was read too late. One long turn may be a burst;
    /// a turn that follows another long one is not.
    pub fn is_behind(&self, now: f64, limits: ReadDelayLimits) -> bool {
        let Some(began_at) = self.began_at else { return false };
        let continues =
            |turn: EndedTurn| turn.seconds > limits.sustained && began_at - turn.ended_at <= MAX_GAP;
        let limit = if self.previous.is_some_and(continues) { limits.sustained } else { limits.burst };
        now - began_at > limit
    }

    /// The earliest time at which a signal may have arrived that is noticed at `now`. Signals are looked for several
    /// times in a long turn.
    pub fn earliest_signal(&self, now: f64) -> f64 {
        self.began_at.unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
