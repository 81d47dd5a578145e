//! State of the fetch of what this replica missed.

use crate::snapshot::SnapshotAssembly;

/// A snapshot that is being fetched from a replica.
#[derive(Clone, Debug)]
pub(super) struct SnapshotFetch {
    pub source: usize,
    pub assembly: SnapshotAssembly,
}

#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// Earliest time of the next fetch.
    pub fetch_at: f64,
    pub snapshot: Option<SnapshotFetch>,
}

impl CatchUp {
    /// Gives up a snapshot that the log has passed.
    pub fn discard_through(&mut self, head: u64) {
        if self.snapshot.as_ref().is_some_and(|fetch| fetch.assembly.cursor < head) {
            self.snapshot = None;
        }
    }
}
