//! Changes of authors whose outcome is not yet known.

use crate::entry::Change;
use std::net::SocketAddr;

/// Maximum number of pending changes at a replica.
const MAX_PENDING_CHANGES: usize = 256;

/// A change whose outcome is not yet known.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub change: Change,
    /// The address to which the outcome is sent; `None` if another replica forwarded the change.
    pub author: Option<SocketAddr>,
    /// When it was received.
    pub received_at: f64,
    /// When it was last proposed or forwarded.
    pub sent_at: Option<f64>,
    /// The number at which this replica proposed it.
    pub proposed_number: Option<u64>,
}

/// Pending changes in the order in which they were received.
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

    /// Marks changes as not proposed if `is_decided` holds for their number, so that they are proposed again.
    pub fn clear_proposed_numbers(&mut self, is_decided: impl Fn(u64) -> bool) {
        let displaced =
            self.changes.iter_mut().filter(|pending| pending.proposed_number.is_some_and(&is_decided));
        displaced.for_each(|pending| pending.proposed_number = None);
    }

    /// Marks all changes as neither proposed nor forwarded.
    pub fn reset(&mut self) {
        self.changes.iter_mut().for_each(|pending| (pending.proposed_number, pending.sent_at) = (None, None));
    }
}
