//! Measures how far the router is behind its sockets. A turn begins when a socket is read while nothing else waits to be
//! handled, and ends once every task that was ready by then has run. Performs no I/O. Times are in seconds on the
//! router's clock.
//!
//! A socket that is read late in a long turn has waited for about as long as the turn has taken. A pause of the process
//! between two turns does not count: what is read first after it is read early in its turn.

/// The current turn, if one is in progress.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    began_at: Option<f64>,
}

impl Turn {
    /// Begins a turn unless one is in progress; returns whether it did. The caller then arranges for
    /// [`end`](Self::end) to be called after every task that is ready now.
    pub fn begin(&mut self, now: f64) -> bool {
        let begins = self.began_at.is_none();
        self.began_at.get_or_insert(now);
        begins
    }

    /// Ends the turn.
    pub fn end(&mut self) {
        self.began_at = None;
    }

    /// Seconds for which the current turn has taken.
    pub fn seconds(&self, now: f64) -> f64 {
        self.began_at.map_or(0.0, |began_at| now - began_at)
    }

    /// The earliest time at which a signal may have arrived that is noticed at `now`. Signals are looked for several
    /// times in a long turn.
    pub fn earliest_signal(&self, now: f64) -> f64 {
        self.began_at.unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
