//! How much of the machine was in use.

use crate::machine_load::SATURATION_THRESHOLD;

/// How much of the machine was in use. Utilizations are fractions of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    /// Cores of the machine.
    pub cores: usize,
    /// Over the entire run, by all processes of the machine.
    pub utilization: Option<f64>,
    /// While the cost of control was measured, at the worst.
    pub utilization_while_measuring: Option<f64>,
    /// In the worst second.
    pub peak_utilization: Option<f64>,
    /// By the processes of the run.
    pub own_utilization: f64,
    /// Resident memory of all processes of the run at its highest, in GB.
    pub memory_gb: f64,
    /// Datagrams that the system dropped at the relay's sockets.
    pub dropped_datagrams: u64,
    /// Datagrams that the relay had no room for.
    pub overflowed_datagrams: u64,
    /// Datagrams that were lost at random or to a partition, as planned.
    pub lost_datagrams: u64,
}

impl MachineUsage {
    /// Whether the machine had no processors to spare, in the entire run or while the cost of control was measured. Times
    /// and costs that were measured are then also those of the load.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        let utilizations = [self.utilization, self.utilization_while_measuring];
        utilizations.into_iter().flatten().any(|utilization| utilization > SATURATION_THRESHOLD)
    }
}
