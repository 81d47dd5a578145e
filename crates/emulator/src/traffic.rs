//! What clients will ask for on a day, worked out ahead from its seed: the same day, the same calls.

use crate::scenario_file::{FaultKind, Scenario, ScheduledFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// One call as its client means it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    pub at: f64,
    pub function: String,
    pub profile: usize,
    pub group: usize,
    pub work: f64,
    pub io: f64,
    /// Seconds until the client gives up its first try.
    pub timeout: f64,
    /// Seconds after which the client leaves, where it does.
    pub abandoned_after: Option<f64>,
    /// The trouble under which it is asked for: the last that began.
    pub fault: Option<usize>,
}

/// All calls of a day, in order.
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<PlannedRequest> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    // Bounds were checked when the day was read; a day without sense has no calls.
    let (Ok(zipf), Ok(gap), Ok(work)) = (
        Zipf::new(scenario.functions as f64, scenario.zipf.max(0.01)),
        Exp::new(1.0f64),
        Exp::new(1.0 / scenario.traffic.work.max(1e-9)),
    ) else {
        return calls;
    };
    let mut at = 0.0;
    let mut once = 0;
    loop {
        let faults = |what| {
            scenario.faults.iter().filter(move |t: &&ScheduledFault| t.kind == what && t.is_active(at))
        };
        let rate =
            scenario.traffic.rate * faults(FaultKind::TrafficBurst).map(|t| t.magnitude).product::<f64>();
        at += gap.sample(&mut chance) / rate.max(1e-9);
        if at >= scenario.seconds {
            return calls;
        }
        let faults = |what| {
            scenario.faults.iter().filter(move |t: &&ScheduledFault| t.kind == what && t.is_active(at))
        };
        let profile = pick(&mut chance, scenario.profiles.iter().map(|p| p.share));
        let group = pick(&mut chance, scenario.groups.iter().map(|g| g.share));
        let mut function = format!("pack-{}", zipf.sample(&mut chance) as usize);
        for fault in faults(FaultKind::HotFunctions) {
            if chance.random_bool(fault.fraction) {
                function = format!("hot-{}", chance.random_range(0..fault.magnitude.max(1.0) as u32));
            }
        }
        for fault in faults(FaultKind::OneTimeFunctions) {
            if chance.random_bool(fault.fraction) {
                once += 1;
                function = format!("once-{once}");
            }
        }
        let mut takes = work.sample(&mut chance);
        for fault in faults(FaultKind::HeavyRequests) {
            if chance.random_bool(fault.fraction) {
                takes *= fault.magnitude;
            }
        }
        let p = &scenario.profiles[profile];
        let mut timeout = p.deadline * chance.random_range(scenario.traffic.timeout..=1.0);
        for fault in faults(FaultKind::ImpatientClients) {
            if chance.random_bool(fault.fraction) {
                timeout = p.latency_objective * fault.magnitude;
            }
        }
        let leaves =
            chance.random_bool(scenario.traffic.abandonment).then(|| timeout * chance.random_range(0.0..0.5));
        let fault = scenario.faults.iter().enumerate().filter(|(_, t)| t.is_active(at));
        let fault = fault.max_by(|(_, a), (_, b)| a.at.total_cmp(&b.at)).map(|(n, _)| n);
        let io = scenario.traffic.io;
        calls.push(PlannedRequest {
            at,
            function,
            profile,
            group,
            work: takes,
            io,
            timeout,
            abandoned_after: leaves,
            fault,
        });
    }
}

/// One of several, by their shares.
fn pick(chance: &mut ChaCha8Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = chance.random_range(0.0..shares.clone().sum::<f64>().max(1e-9));
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        last = n;
        if left < share {
            break;
        }
        left -= share;
    }
    last
}
