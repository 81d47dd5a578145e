//! Wall clocks of the simulated machines: all are correct until a single step. The monotonic clock is that of the
//! simulation.

/// The machines whose wall clocks are stepped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machines {
    /// The machines of the gateways.
    Gateways,
    /// The machines of the workers.
    Workers,
    /// All machines, as if gateways and workers shared one.
    All,
}

/// A step of the wall clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    /// Time of the step, in seconds since the scenario's start.
    pub at: f64,
    /// Seconds by which the clocks are stepped; negative values step them back.
    pub by: f64,
    /// The machines whose clocks are stepped.
    pub machines: Machines,
}

/// Options of a simulation that a scenario file cannot express.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationOptions {
    /// A step of the wall clocks.
    pub clock_step: Option<ClockStep>,
    /// Whether a worker's new process has the address of its predecessor.
    pub reuse_worker_addresses: bool,
    /// Whether gateways rely on the endpoint list however long the registry has been stalled. This violates the drain rule
    /// that tests of a registry stall check.
    pub endpoint_list_never_expires: bool,
}

impl SimulationOptions {
    /// The wall clock of the gateways at a simulated time, in seconds.
    pub(crate) fn gateway_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Workers)
    }

    /// The wall clock of the workers at a simulated time, in seconds.
    pub(crate) fn worker_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Gateways)
    }

    /// A wall clock that is not affected by a step of the machines `others`.
    fn unix_time(&self, now: f64, others: Machines) -> f64 {
        let step = self.clock_step.filter(|step| step.machines != others && now >= step.at);
        now + step.map_or(0.0, |step| step.by)
    }
}
