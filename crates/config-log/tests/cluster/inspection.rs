//! What stories share: changes, and looks at control machines.

use super::SimulatedCluster;
use milletpath_config_log::{Action, Change, ReplicaView};

pub fn change(id: u64, key: &str, text: &str, replaces: u64) -> Change {
    Change { id, key: key.into(), text: Some(text.into()), replaces }
}

impl SimulatedCluster {
    /// What a machine does next; where nothing is left, all before it is durable.
    pub fn next_action(&mut self, n: usize) -> Option<Action> {
        let core = self.machines[n].core.as_mut()?;
        core.next_action().or_else(|| {
            core.confirm_stored();
            core.next_action()
        })
    }

    /// All machines that are up have the same in force.
    pub fn assert_agreement(&self) {
        let up: Vec<_> = self.machines.iter().filter_map(|node| node.core.as_ref()).collect();
        assert!(up.iter().all(|core| core.state() == up[0].state()), "heads {:?}", self.heads());
    }

    /// The heads of the machines that are up.
    pub fn heads(&self) -> Vec<u64> {
        self.machines.iter().filter_map(|node| node.core.as_ref()).map(|core| core.state().head()).collect()
    }

    /// At which numbers a change stands in the log.
    pub fn numbers_of(&self, id: u64) -> Vec<u64> {
        self.log.entries.values().filter(|e| e.change.id == id).map(|e| e.number).collect()
    }

    pub fn machine_view(&mut self, n: usize) -> ReplicaView {
        let clock = self.machines[n].clock(self.now);
        self.machines[n].core.as_mut().expect("it is up").view(clock)
    }
}
