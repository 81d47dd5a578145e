//! What the datagrams that pass show of the gateways' processes and of what gateways report of each other.

use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use milletpath_membership::datagram;
use std::collections::BTreeMap;

/// The history of the links.
#[derive(Default)]
pub(super) struct Observations {
    history: Vec<HistoryRecord>,
    /// The gateway that each incarnation is a process of.
    incarnations: BTreeMap<u64, usize>,
    /// What each gateway last reported of each incarnation.
    reported_states: BTreeMap<(usize, u64), u8>,
}

impl Observations {
    /// Adds an event.
    pub(super) fn record(&mut self, at: f64, event: HistoryEvent) {
        self.history.push(HistoryRecord { at, event });
    }

    /// Takes the history so far.
    pub(super) fn take(&mut self) -> Vec<HistoryRecord> {
        std::mem::take(&mut self.history)
    }

    /// Adds a datagram of a gateway, and what it reports if that is news.
    pub(super) fn observe(&mut self, at: f64, gateway: usize, bytes: &[u8]) {
        self.record(at, HistoryEvent::DatagramSent { gateway, bytes: bytes.len() });
        let Some(datagram) = datagram::decode_unverified(bytes) else { return };
        let incarnation = datagram.sender.instance_id;
        if self.incarnations.insert(incarnation, gateway).is_none() {
            self.record(at, HistoryEvent::IncarnationObserved { gateway, incarnation });
        }
        for update in datagram.updates {
            let incarnation = update.instance_id;
            let Some(about) = self.incarnations.get(&incarnation).copied() else { continue };
            let before = self.reported_states.insert((gateway, incarnation), update.state);
            if before != Some(update.state) {
                let state = update.state;
                self.record(at, HistoryEvent::MemberStateReported { gateway, about, incarnation, state });
            }
        }
    }
}
