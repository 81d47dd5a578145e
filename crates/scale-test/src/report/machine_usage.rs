//! Utilization of the machine.

use crate::machine_load::SATURATION_THRESHOLD;

/// Utilization of the machine. Utilizations are fractions of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    /// Number of cores.
    pub cores: usize,
    /// Utilization by all processes of the machine over the entire run.
    pub utilization: Option<f64>,
    /// Highest utilization during a measurement of the control-plane cost.
    pub utilization_while_measuring: Option<f64>,
    /// Highest utilization in any second.
    pub peak_utilization: Option<f64>,
    /// Utilization by the processes of the run.
    pub own_utilization: f64,
    /// Highest total resident memory of the run's processes, in GB.
    pub memory_gb: f64,
    /// Datagrams that the kernel dropped at the sockets of the relay and of the owners of its links.
    pub dropped_datagrams: u64,
    /// Datagrams that the relay dropped because its queues were full.
    pub overflowed_datagrams: u64,
    /// Datagrams lost at random or to a partition, as planned.
    pub lost_datagrams: u64,
}

impl MachineUsage {
    /// Whether the machine was saturated during the entire run or during a measurement of the control-plane cost.
    /// Measured times and costs then also include the effects of the load.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        let utilizations = [self.utilization, self.utilization_while_measuring];
        utilizations.into_iter().flatten().any(|utilization| utilization > SATURATION_THRESHOLD)
    }
}
