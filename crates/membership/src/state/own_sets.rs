//! The current sets of processes that this gateway endorses and lists.

use std::collections::{BTreeMap, BTreeSet};

/// The endorsed and the listed processes. On the wire a set is the wrapping sum of its members' hashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnSets {
    /// Instance ids of all known processes, by hash.
    pub members_by_hash: BTreeMap<u64, u64>,
    /// Sum of the hashes of the endorsed processes.
    pub endorsed: u64,
    /// Sum of the hashes of the listed processes.
    pub listed: u64,
    /// Instance ids of the listed processes.
    pub listed_ids: BTreeSet<u64>,
    /// Whether this gateway endorses itself.
    pub endorses_self: bool,
}

/// A process and the sets that it belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnSetsEntry {
    pub instance_id: u64,
    pub endorsed: bool,
    pub listed: bool,
}

impl OwnSets {
    /// Adds a process to the sets that it belongs to.
    pub(crate) fn add(&mut self, process: OwnSetsEntry, hash: u64) {
        self.members_by_hash.insert(hash, process.instance_id);
        if process.endorsed {
            self.endorsed = self.endorsed.wrapping_add(hash);
        }
        if process.listed {
            self.listed = self.listed.wrapping_add(hash);
            self.listed_ids.insert(process.instance_id);
        }
    }
}
