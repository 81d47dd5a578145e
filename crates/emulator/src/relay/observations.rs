//! Records what the forwarded datagrams show: the incarnations of the gateways' processes, and the member states that
//! gateways report about each other.

use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use milletpath_membership::datagram;
use std::collections::BTreeMap;

/// The history of the links, and the last reported values, so that only changes are recorded.
#[derive(Default)]
pub(super) struct Observations {
    history: Vec<HistoryRecord>,
    /// The gateway to which each incarnation belongs.
    incarnations: BTreeMap<u64, usize>,
    /// The member state that each gateway last reported about each incarnation.
    reported_states: BTreeMap<(usize, u64), u8>,
}

impl Observations {
    /// Appends an event.
    pub(super) fn record(&mut self, at: f64, event: HistoryEvent) {
        self.history.push(HistoryRecord { at, event });
    }

    /// Takes the history recorded so far.
    pub(super) fn take(&mut self) -> Vec<HistoryRecord> {
        std::mem::take(&mut self.history)
    }

    /// Records a datagram sent by a gateway, a new incarnation of the sender, and each reported member state that has
    /// changed.
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
