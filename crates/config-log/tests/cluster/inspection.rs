//! Helpers for tests: changes, and inspection of replicas.

use super::SimulatedCluster;
use milletpath_config_log::{Action, Change, ReplicaView};

pub fn change(id: u64, key: &str, text: &str, replaces: u64) -> Change {
    Change { id, key: key.into(), text: Some(text.into()), replaces }
}

impl SimulatedCluster {
    /// The next action of a replica. When none is left, all stored records are confirmed as durable, which may yield more.
    pub fn next_action(&mut self, n: usize) -> Option<Action> {
        let process = self.replicas[n].process.as_mut()?;
        process.next_action().or_else(|| {
            process.confirm_stored();
            process.next_action()
        })
    }

    /// Asserts that all running replicas have the same state.
    pub fn assert_agreement(&self) {
        let up: Vec<_> = self.replicas.iter().filter_map(|node| node.process.as_ref()).collect();
        assert!(up.iter().all(|process| process.state() == up[0].state()), "heads {:?}", self.heads());
    }

    /// The heads of the running replicas.
    pub fn heads(&self) -> Vec<u64> {
        self.replicas
            .iter()
            .filter_map(|node| node.process.as_ref())
            .map(|process| process.state().head())
            .collect()
    }

    /// The numbers at which a change is in the log.
    pub fn numbers_of(&self, id: u64) -> Vec<u64> {
        self.log.entries.values().filter(|e| e.change.id == id).map(|e| e.number).collect()
    }

    pub fn replica_view(&mut self, n: usize) -> ReplicaView {
        let clock = self.replicas[n].clock(self.now);
        self.replicas[n].process.as_mut().expect("the node is running").view(clock)
    }
}
