//! What a fleet uses: its processes, their memory, the threads of real gateways.

use super::Fleet;
use crate::children::{Host, Real};
use crate::control::Machine;
use crate::machine_load;
use std::collections::BTreeMap;

impl Fleet {
    /// All processes of the run, this one among them.
    pub fn processes(&self) -> Vec<u32> {
        let hosts = self.hosts.iter().map(Host::process);
        let reals = self.reals.values().map(Real::process);
        let machines = self.machines.iter().flatten().map(Machine::process);
        std::iter::once(std::process::id()).chain(hosts).chain(reals).chain(machines).collect()
    }

    /// Memory of each gateway that runs, in MB: a hollow one's part of its host, a real one's process.
    pub fn memory(&self) -> BTreeMap<usize, f64> {
        let mut in_host: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for gateway in (self.plan.real_gateways..self.plan.gateways).filter(|g| self.book.is_running(*g)) {
            in_host.entry(self.host_of(gateway)).or_default().push(gateway);
        }
        let mut memory = BTreeMap::new();
        for (host, gateways) in in_host {
            if let Some(all) = machine_load::process_memory_mb(self.hosts[host].process()) {
                let each = all / gateways.len() as f64;
                memory.extend(gateways.into_iter().map(|g| (g, each)));
            }
        }
        let real =
            self.reals.iter().filter_map(|(g, r)| Some((*g, machine_load::process_memory_mb(r.process())?)));
        memory.extend(real);
        memory
    }

    /// Processor time of a thread of that name of each real gateway.
    pub fn real_thread(&self, name: &str) -> BTreeMap<usize, f64> {
        let of = |(g, r): (&usize, &Real)| Some((*g, machine_load::thread_cpu_seconds(r.process(), name)?));
        self.reals.iter().filter_map(of).collect()
    }

    /// When each real gateway began, so that two readings are known to be of one process.
    pub fn real_lives(&self) -> BTreeMap<usize, u64> {
        self.reals.iter().map(|(g, r)| (*g, r.life)).collect()
    }
}
