//! Changes of authors whose outcome is not known yet.

use crate::entry::Change;
use std::net::SocketAddr;

/// Changes that may be pending at a replica.
const MAX_PENDING_CHANGES: usize = 256;

#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub change: Change,
    /// Who is sent the outcome; `None` if another replica forwarded the change.
    pub author: Option<SocketAddr>,
    /// When it was received.
    pub received_at: f64,
    /// When it was last proposed or forwarded.
    pub sent_at: Option<f64>,
    /// The number at which this replica proposed it.
    pub proposed_number: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    changes: Vec<PendingChange>,
}

impl PendingChanges {
    pub fn is_full(&self) -> bool {
        self.changes.len() >= MAX_PENDING_CHANGES
    }

    pub fn iter(&self) -> impl Iterator<Item = &PendingChange> {
        self.changes.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingChange> {
        self.changes.iter_mut()
    }

    pub fn add(&mut self, change: Change, author: Option<SocketAddr>, now: f64) {
        self.changes.push(PendingChange {
            change,
            author,
            received_at: now,
            sent_at: None,
            proposed_number: None,
        });
    }

    /// Removes the changes for which `is_resolved` holds, and returns them in order.
    pub fn take(&mut self, is_resolved: impl Fn(&PendingChange) -> bool) -> Vec<PendingChange> {
        self.changes.extract_if(.., |pending| is_resolved(pending)).collect()
    }

    /// Makes changes ready to be proposed again that were proposed at numbers for which `is_decided` holds.
    pub fn clear_proposed_numbers(&mut self, is_decided: impl Fn(u64) -> bool) {
        let displaced =
            self.changes.iter_mut().filter(|pending| pending.proposed_number.is_some_and(&is_decided));
        displaced.for_each(|pending| pending.proposed_number = None);
    }

    /// Forgets all proposals and forwards.
    pub fn reset(&mut self) {
        self.changes.iter_mut().for_each(|pending| (pending.proposed_number, pending.sent_at) = (None, None));
    }
}
