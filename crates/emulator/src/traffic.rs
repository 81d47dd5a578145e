//! Plans the clients' requests in advance; the same scenario and seed give the same requests.

use crate::scenario_file::{FaultKind, Scenario, ScheduledFault};
use crate::weighted_choice::weighted_choice;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// The minimum of divisors, which are request rates and mean amounts of work.
const MIN_DIVISOR: f64 = 1e-9;
const MIN_EXPONENT: f64 = 0.01;

/// A client that cancels does so before this fraction of its timeout.
const MAX_ABANDONMENT_FRACTION: f64 = 0.5;

/// A call as its client plans it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Seconds after the start of the scenario.
    pub at: f64,
    /// The function's name.
    pub function: String,
    /// The number of its profile.
    pub profile: usize,
    /// The number of its client group.
    pub group: usize,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    /// Seconds of waiting for I/O after the work.
    pub io: f64,
    /// The timeout of the first attempt in seconds.
    pub timeout: f64,
    /// Seconds after which the client cancels the call, if it does.
    pub abandoned_after: Option<f64>,
    /// The number of the fault under which it is counted: of the active ones, the last that began.
    pub fault: Option<usize>,
}

/// All requests of a scenario, in order of time.
#[must_use]
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<PlannedRequest> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    // The reader has checked the bounds; parameters that are invalid for a distribution give no requests.
    TrafficPlanner::new(scenario, rng).map(Iterator::collect).unwrap_or_default()
}

/// Generates one request after the other.
struct TrafficPlanner<'s> {
    scenario: &'s Scenario,
    rng: ChaCha8Rng,
    popularity: Zipf<f64>,
    /// The time between two requests at a rate of one per second.
    gap: Exp<f64>,
    work: Exp<f64>,
    /// When the previous request was sent.
    at: f64,
    /// The number of one-time functions so far.
    one_time_functions: u64,
}

impl<'s> TrafficPlanner<'s> {
    fn new(scenario: &'s Scenario, rng: ChaCha8Rng) -> Option<Self> {
        let exponent = scenario.zipf.max(MIN_EXPONENT);
        Some(Self {
            scenario,
            rng,
            popularity: Zipf::new(scenario.functions as f64, exponent).ok()?,
            gap: Exp::new(1.0).ok()?,
            work: Exp::new(1.0 / scenario.traffic.work.max(MIN_DIVISOR)).ok()?,
            at: 0.0,
            one_time_functions: 0,
        })
    }

    /// The active faults of a kind.
    fn active(&self, kind: FaultKind) -> impl Iterator<Item = &'s ScheduledFault> + use<'s> {
        let at = self.at;
        self.scenario.faults.iter().filter(move |fault| fault.kind == kind && fault.is_active(at))
    }

    fn gap(&mut self) -> f64 {
        let bursts: f64 = self.active(FaultKind::TrafficBurst).map(|fault| fault.magnitude).product();
        let rate = self.scenario.traffic.rate * bursts;
        self.gap.sample(&mut self.rng) / rate.max(MIN_DIVISOR)
    }

    fn function(&mut self) -> String {
        let mut function = format!("pack-{}", self.popularity.sample(&mut self.rng) as usize);
        for fault in self.active(FaultKind::HotFunctions) {
            if self.rng.random_bool(fault.fraction) {
                let functions = fault.magnitude.max(1.0) as u32;
                function = format!("hot-{}", self.rng.random_range(0..functions));
            }
        }
        for fault in self.active(FaultKind::OneTimeFunctions) {
            if self.rng.random_bool(fault.fraction) {
                self.one_time_functions += 1;
                function = format!("once-{}", self.one_time_functions);
            }
        }
        function
    }

    fn work(&mut self) -> f64 {
        let mut work = self.work.sample(&mut self.rng);
        for fault in self.active(FaultKind::HeavyRequests) {
            if self.rng.random_bool(fault.fraction) {
                work *= fault.magnitude;
            }
        }
        work
    }

    fn timeout(&mut self, profile: usize) -> f64 {
        let profile = &self.scenario.profiles[profile];
        let fraction = self.rng.random_range(self.scenario.traffic.shortest_timeout..=1.0);
        let mut timeout = profile.deadline * fraction;
        for fault in self.active(FaultKind::ImpatientClients) {
            if self.rng.random_bool(fault.fraction) {
                timeout = profile.latency_objective * fault.magnitude;
            }
        }
        timeout
    }

    fn abandoned_after(&mut self, timeout: f64) -> Option<f64> {
        let is_cancelled = self.rng.random_bool(self.scenario.traffic.abandonment);
        is_cancelled.then(|| timeout * self.rng.random_range(0.0..MAX_ABANDONMENT_FRACTION))
    }

    /// The number of the active fault that began last.
    fn latest_fault(&self) -> Option<usize> {
        let faults = self.scenario.faults.iter().enumerate();
        let active = faults.filter(|(_, fault)| fault.is_active(self.at));
        active.max_by(|(_, a), (_, b)| a.at.total_cmp(&b.at)).map(|(number, _)| number)
    }
}

impl Iterator for TrafficPlanner<'_> {
    type Item = PlannedRequest;

    /// Draws random numbers in a fixed order; another order would change what a seed means.
    fn next(&mut self) -> Option<PlannedRequest> {
        self.at += self.gap();
        if self.at >= self.scenario.seconds {
            return None;
        }
        let profile =
            weighted_choice(&mut self.rng, self.scenario.profiles.iter().map(|profile| profile.share));
        let group = weighted_choice(&mut self.rng, self.scenario.groups.iter().map(|client| client.share));
        let function = self.function();
        let work = self.work();
        let timeout = self.timeout(profile);
        let abandoned_after = self.abandoned_after(timeout);
        Some(PlannedRequest {
            at: self.at,
            function,
            profile,
            group,
            work,
            io: self.scenario.traffic.io,
            timeout,
            abandoned_after,
            fault: self.latest_fault(),
        })
    }
}
