//! Tracks gateways that were told to start or stop and have not yet reported that they did.

use std::collections::BTreeSet;

/// Gateways with a pending start or stop.
#[derive(Debug, Default)]
pub struct Transitions {
    pending: BTreeSet<usize>,
    /// Pending gateways that restart once they have stopped.
    to_restart: BTreeSet<usize>,
}

impl Transitions {
    /// Records that a gateway was told to start or to stop.
    pub fn begin(&mut self, gateway: usize) {
        self.pending.insert(gateway);
    }

    /// Records that a gateway was told to stop and restarts afterwards.
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
