//! Gateways that were asked to start or to stop and have not reported that they did.

use std::collections::BTreeSet;

/// The gateways that are on their way.
#[derive(Debug, Default)]
pub struct Transitions {
    pending: BTreeSet<usize>,
    /// Of them, those that start again once they have stopped.
    to_restart: BTreeSet<usize>,
}

impl Transitions {
    /// A gateway is asked to start or to stop.
    pub fn begin(&mut self, gateway: usize) {
        self.pending.insert(gateway);
    }

    /// A gateway is asked to stop, and is to start again then.
    pub fn begin_restart(&mut self, gateway: usize) {
        self.pending.insert(gateway);
        self.to_restart.insert(gateway);
    }

    /// A gateway started.
    pub fn started(&mut self, gateway: usize) {
        self.pending.remove(&gateway);
    }

    /// A gateway stopped. Gives whether it is to start again.
    pub fn stopped(&mut self, gateway: usize) -> bool {
        self.pending.remove(&gateway);
        self.to_restart.remove(&gateway)
    }

    /// Whether none is on its way.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests;
