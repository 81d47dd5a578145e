//! Applies confirmed entries, verifies the state against the digests of the replicas, and hands updates to the gateway.

use super::agreement::Confirmed;
use super::state::Follower;
use crate::entry::{Change, Entry};
use crate::state::State;

/// Seconds by which the follower's clock and a replica's may drift apart over the age that a replica reports.
const MAX_CLOCK_DRIFT: f64 = 1.0;

impl Follower {
    /// Applies the next entries as long as they are confirmed.
    pub(super) fn apply_confirmed(&mut self) {
        while let Some(logged) = self.sources.confirmed_entry(self.state.head() + 1) {
            if self.state.digest_after(&logged.entry) != logged.digest {
                // Either this state is not one of the log, or all of those replicas are wrong; a rebuild finds out.
                self.start_rebuild();
                return;
            }
            let number = logged.entry.number;
            self.sources.distrust_contradicting(self.clock.now, Confirmed::Entry(&logged));
            self.state.apply(logged.entry);
            self.changed_at = self.clock.now;
            self.sources.discard_through(number);
        }
    }

    /// Compares the digest of the state with the confirmed digest at its head.
    pub(super) fn check_digest(&mut self) {
        let checkpoint = self.state.checkpoint();
        match self.sources.confirmed_digest(checkpoint.head) {
            Some(digest) if digest == checkpoint.digest => {
                self.sources.distrust_contradicting(self.clock.now, Confirmed::Digest(checkpoint));
            }
            Some(_) => self.start_rebuild(),
            None if self.sources.never_reached(checkpoint.head, self.changed_at + MAX_CLOCK_DRIFT) => {
                self.start_rebuild();
            }
            None => {}
        }
    }

    /// Replaces the complete state. The next updates for the gateway are all entries of the new state, and removals of the
    /// keys that it does not have.
    pub(super) fn replace_state(&mut self, state: State) {
        let disappeared =
            self.state.iter().filter(|(_, change)| state.get(&change.key).is_none() && change.text.is_some());
        let removal = |(number, change): (u64, &Change)| Entry {
            number,
            change: Change { id: 0, key: change.key.clone(), text: None, replaces: number },
        };
        self.removals = disappeared.map(removal).collect();
        self.delivered = 0;
        self.state = state;
    }

    /// The next batch of entries, which the gateway has to apply together and in order. It has only current entries: no
    /// no-ops, no changes without effect, and at most one entry for each key. A removal with id 0 means that the key does
    /// not exist in the log: it came from a saved state that turned out to be wrong.
    #[must_use]
    pub fn take_updates(&mut self) -> Option<Vec<Entry>> {
        if self.delivered == self.state.head() && self.removals.is_empty() {
            return None;
        }
        let mut updates = std::mem::take(&mut self.removals);
        updates.extend(self.state.entries_after(self.delivered, usize::MAX));
        self.delivered = self.state.head();
        (!updates.is_empty()).then_some(updates)
    }
}
