//! Wall clocks of the simulated machines: all are right until one step. The monotonic clock is the simulation's own.

/// The machines whose wall clocks a step moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machines {
    /// Those of the gateways.
    Gateways,
    /// Those of the workers.
    Workers,
    /// All, as on one machine.
    All,
}

/// A step of wall clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    /// When, in seconds since the scenario's start.
    pub at: f64,
    /// Seconds by which the clocks move; below 0 they go back.
    pub by: f64,
    /// Whose clocks move.
    pub machines: Machines,
}

/// What a simulation may have beside its scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationOptions {
    /// A step of wall clocks.
    pub clock_step: Option<ClockStep>,
    /// A worker's new process has the address of the former one.
    pub reuse_worker_addresses: bool,
    /// Gateways believe the endpoint list however long the registry has been silent: they break the rules that a silence
    /// tests.
    pub endpoint_list_never_expires: bool,
}

impl SimulationOptions {
    /// The wall clock of a gateway at a time of the simulation, in seconds.
    pub(crate) fn gateway_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Workers)
    }

    /// The wall clock of a worker at a time of the simulation, in seconds.
    pub(crate) fn worker_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Gateways)
    }

    /// A wall clock that a step of `others` alone leaves as it is.
    fn unix_time(&self, now: f64, others: Machines) -> f64 {
        let step = self.clock_step.filter(|step| step.machines != others && now >= step.at);
        now + step.map_or(0.0, |step| step.by)
    }
}
