//! The reference log, with which everything that nodes commit or apply is compared.

use milletpath_config_log::{Entry, State};
use std::collections::BTreeMap;

/// The entries as the first replica committed them.
#[derive(Default)]
pub struct ReferenceLog {
    pub entries: BTreeMap<u64, Entry>,
    pub state: State,
    /// Digests of the state by number, from 0 on.
    pub digests: Vec<u64>,
    /// When each number was first committed.
    pub committed_at: Vec<f64>,
}

impl ReferenceLog {
    pub fn record_committed(&mut self, now: f64, entry: &Entry) {
        if self.digests.is_empty() {
            self.digests.push(0);
            self.committed_at.push(0.0);
        }
        let number = entry.number;
        if let Some(before) = self.entries.get(&number) {
            assert_eq!(before, entry, "two different entries were committed at {number}");
            return;
        }
        assert_eq!(number, self.state.head() + 1, "an entry was committed out of order");
        self.state.apply(entry.clone());
        self.entries.insert(number, entry.clone());
        self.digests.push(self.state.digest());
        self.committed_at.push(now);
    }

    pub fn digest(&self, number: u64) -> Option<u64> {
        if number == 0 { Some(0) } else { self.digests.get(number as usize).copied() }
    }
}
