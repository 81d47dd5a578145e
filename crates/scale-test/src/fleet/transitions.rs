//! Tracks gateways whose requested start or stop is not yet reported as complete.

use std::collections::BTreeSet;

/// Gateways with a pending start or stop.
#[derive(Debug, Default)]
pub struct Transitions {
    pending: BTreeSet<usize>,
    /// Pending gateways that restart once they have stopped.
    to_restart: BTreeSet<usize>,
}

impl Transitions {
    /// Records that the start or stop of a gateway was requested.
    pub fn begin(&mut self, gateway: usize) {
        self.pending.insert(gateway);
    }

    /// Records that the stop of a gateway was requested, and that it is restarted afterwards.
    pub fn begin_restart(&mut self, gateway: usize) {
        self.pending.insert(gateway);
        self.to_restart.insert(gateway);
    }

    /// Records that a gateway has started.
    pub fn started(&mut self, gateway: usize) {
        self.pending.remove(&gateway);
    }

    /// Records that a gateway has stopped. Returns whether it should be restarted.
    pub fn stopped(&mut self, gateway: usize) -> bool {
        self.pending.remove(&gateway);
        self.to_restart.remove(&gateway)
    }

    /// Whether no transition is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests;
