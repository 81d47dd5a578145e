//! State of catching up with other replicas.

use crate::snapshot::SnapshotAssembly;

/// A snapshot that is being fetched from another replica.
#[derive(Clone, Debug)]
pub(super) struct SnapshotFetch {
    /// Index of the replica.
    pub source: usize,
    pub assembly: SnapshotAssembly,
}

/// The schedule of fetches and the snapshot being fetched, if any.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// Earliest time of the next fetch.
    pub fetch_at: f64,
    pub snapshot: Option<SnapshotFetch>,
}

impl CatchUp {
    /// Abandons a snapshot that is behind the log.
    pub fn discard_through(&mut self, head: u64) {
        if self.snapshot.as_ref().is_some_and(|fetch| fetch.assembly.cursor < head) {
            self.snapshot = None;
        }
    }
}
