//! What the processes of a fleet use.

use super::Fleet;
use std::collections::BTreeMap;

impl Fleet {
    /// The ids of all processes of the run, this one first.
    pub fn process_ids(&self) -> Vec<u32> {
        let hosts = self.hosts.process_ids();
        let others = self.real_gateways.process_ids().chain(self.control_machines.process_ids());
        std::iter::once(std::process::id()).chain(hosts).chain(others).collect()
    }

    /// Resident memory of each gateway that runs, in MB: a real one's process, a hollow one's part of its host.
    pub fn gateway_memory_mb(&self) -> BTreeMap<usize, f64> {
        let mut memory = self.hosts.memory_mb(&self.running_hollow_gateways());
        memory.extend(self.real_gateways.memory_mb());
        memory
    }
}
