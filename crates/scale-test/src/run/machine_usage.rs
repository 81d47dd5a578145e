//! Computes the utilization of the machine during a run from two samples.

use crate::fleet::Fleet;
use crate::machine_load::{self, CpuTime};
use crate::report::MachineUsage;

/// A sample from before the fleet was started.
pub struct UsageBaseline {
    cores: Option<CpuTime>,
    /// Processor time of this process, in seconds.
    own_cpu_seconds: f64,
}

impl UsageBaseline {
    /// Takes the sample.
    pub fn read() -> Self {
        let own_cpu_seconds = machine_load::process_cpu_seconds(std::process::id());
        Self { cores: CpuTime::read(), own_cpu_seconds }
    }

    /// Utilization since the sample, by the fleet and by all processes. `seconds` is the duration of the run.
    pub fn usage(&self, fleet: &Fleet, seconds: f64) -> MachineUsage {
        let processes = fleet.process_ids().into_iter();
        let cpu_seconds =
            processes.map(machine_load::process_cpu_seconds).sum::<f64>() - self.own_cpu_seconds;
        let utilization =
            self.cores.zip(CpuTime::read()).map(|(earlier, later)| later.utilization_since(earlier));
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let lost = fleet.links.lost_datagrams();
        MachineUsage {
            cores,
            utilization,
            utilization_while_measuring: None,
            peak_utilization: fleet.load_monitor.peak_utilization,
            own_utilization: cpu_seconds / seconds.max(1e-9) / cores as f64,
            memory_gb: fleet.load_monitor.peak_memory_gb,
            dropped_datagrams: machine_load::dropped_datagrams(&fleet.links.ports()),
            overflowed_datagrams: lost.overflowed,
            lost_datagrams: lost.by_plan,
        }
    }
}
