//! Processes and memory usage of a fleet.

use super::Fleet;
use std::collections::BTreeMap;

impl Fleet {
    /// Ids of all processes of the run, beginning with this one.
    pub fn process_ids(&self) -> Vec<u32> {
        let hosts = self.hosts.process_ids();
        let others = self.real_gateways.process_ids().chain(self.control_machines.process_ids());
        std::iter::once(std::process::id()).chain(hosts).chain(others).collect()
    }

    /// Resident memory of each running gateway in MB: for a real one that of its process, for a hollow one its share of
    /// its host's.
    pub fn gateway_memory_mb(&self) -> BTreeMap<usize, f64> {
        let mut memory = self.hosts.memory_mb(&self.running_hollow_gateways());
        memory.extend(self.real_gateways.memory_mb());
        memory
    }
}
