//! Wall clocks of a day: all are right until one step, and the monotonic clock, which is the day's, runs on.

/// Which machines' wall clocks a step moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machines {
    Gateways,
    Workers,
    /// One clock of both.
    All,
}

/// A step of wall clocks by so many seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    pub at: f64,
    pub by: f64,
    pub machines: Machines,
}

/// What a day may have beside its script.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variation {
    pub clock_step: Option<ClockStep>,
    /// A process that begins anew has the address of the one before it.
    pub same_address: bool,
}

impl Variation {
    /// The wall clock of a gateway.
    pub(crate) fn gateway_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Workers)
    }

    /// The wall clock of a worker.
    pub(crate) fn worker_time(&self, now: f64) -> f64 {
        self.unix_time(now, Machines::Gateways)
    }

    /// A wall clock that a step of the others' alone leaves as it is.
    fn unix_time(&self, now: f64, others: Machines) -> f64 {
        let step = self.clock_step.filter(|step| step.machines != others && now >= step.at);
        now + step.map_or(0.0, |step| step.by)
    }
}
