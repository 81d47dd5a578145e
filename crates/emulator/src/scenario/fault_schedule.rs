//! The steps of the faults on workers and on the store, with their times. Both players of a scenario carry them out: the one
//! on sockets ([`play`](super::play)) and the simulator, each in its own way.
//!
//! When a fault begins, a player picks what it affects with [`pick`] and asks [`worker_steps`] for its steps. The player on
//! sockets sleeps until each; the simulator carries out those of the present moment at once and puts the others into its queue
//! of events. The steps are in order of time.

use crate::scenario_file::{FaultKind, RuleSettings, ScheduledFault};
use milletpath_protocol::registry::EndpointStatus;
use rand::Rng;
use rand::seq::SliceRandom;

/// Seconds between a worker's own draining and the end of its process.
const STOP_DELAY: f64 = 0.5;

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// These workers' processes end at once.
    Kill(Vec<usize>),
    /// The registry lists these workers so from now on.
    SetStatus(Vec<usize>, EndpointStatus),
    /// This worker rejects new jobs from now on.
    StopAdmission(usize),
    /// New processes take these workers' places; a process that still runs is killed.
    Replace(Vec<usize>),
    /// These workers fail this fraction of their requests from now on.
    FailRequests(Vec<usize>, f64),
    /// Nothing is wrong any more with how these workers respond.
    ClearResponseFaults(Vec<usize>),
    /// These workers take so many times longer from now on.
    SetSlowness(Vec<usize>, f64),
    /// Fetches from the store take so many times longer from now on.
    SetStoreSlowness(f64),
    /// Whether the store rejects all fetches from now on.
    SetStoreRejecting(bool),
    /// The store has an outage of so many seconds.
    BeginStoreOutage(f64),
}

/// A step at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// When, by the clock of `began`.
    pub at: f64,
    /// What.
    pub step: FaultStep,
}

/// Some of `count` things by number, in random order: a fraction of them, one at least.
#[must_use]
pub fn pick(rng: &mut impl Rng, count: usize, fraction: f64) -> Vec<usize> {
    let mut numbers: Vec<_> = (0..count).collect();
    numbers.shuffle(rng);
    numbers.truncate(((count as f64 * fraction).round() as usize).max(1));
    numbers
}

/// Whether a fault affects workers by number, so that [`worker_steps`] needs a [`pick`] of them.
#[must_use]
pub fn affects_workers(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::WorkerCrash
            | FaultKind::RollingReplacement
            | FaultKind::Drain
            | FaultKind::RequestFailures
            | FaultKind::Slowness
    )
}

/// The steps of a fault that begins now, at `began`; none for faults that both players don't have.
#[must_use]
pub fn worker_steps(
    fault: &ScheduledFault,
    began: f64,
    workers: &[usize],
    rules: &RuleSettings,
) -> Vec<TimedStep> {
    let magnitude = fault.magnitude;
    let during = |begin, end| begin_and_end(fault, began, begin, end);
    let workers = workers.to_vec();
    match fault.kind {
        FaultKind::WorkerCrash => crash(fault, began, workers, rules),
        FaultKind::RollingReplacement => rolling_replacement(fault, began, workers, rules),
        FaultKind::Drain => during(
            FaultStep::SetStatus(workers.clone(), EndpointStatus::Draining),
            FaultStep::SetStatus(workers, EndpointStatus::Ready),
        ),
        FaultKind::RequestFailures => during(
            FaultStep::FailRequests(workers.clone(), magnitude),
            FaultStep::ClearResponseFaults(workers),
        ),
        FaultKind::Slowness => {
            during(FaultStep::SetSlowness(workers.clone(), magnitude), FaultStep::SetSlowness(workers, 1.0))
        }
        FaultKind::StoreSlowness => {
            during(FaultStep::SetStoreSlowness(magnitude), FaultStep::SetStoreSlowness(1.0))
        }
        FaultKind::StoreRejections => {
            during(FaultStep::SetStoreRejecting(true), FaultStep::SetStoreRejecting(false))
        }
        FaultKind::StoreOutage => {
            vec![TimedStep { at: began, step: FaultStep::BeginStoreOutage(fault.duration) }]
        }
        _ => Vec::new(),
    }
}

fn begin_and_end(fault: &ScheduledFault, began: f64, begin: FaultStep, end: FaultStep) -> Vec<TimedStep> {
    vec![TimedStep { at: began, step: begin }, TimedStep { at: began + fault.duration, step: end }]
}

/// Processes end; the registry notices it later, and new processes start when the fault ends.
fn crash(fault: &ScheduledFault, began: f64, workers: Vec<usize>, rules: &RuleSettings) -> Vec<TimedStep> {
    let detected = began + rules.notification_delay.min(fault.duration);
    vec![
        TimedStep { at: began, step: FaultStep::Kill(workers.clone()) },
        TimedStep { at: detected, step: FaultStep::SetStatus(workers.clone(), EndpointStatus::Gone) },
        TimedStep { at: began + fault.duration, step: FaultStep::Replace(workers) },
    ]
}

/// One worker after the other is listed as draining, rejects new jobs once all gateways know, and is replaced.
fn rolling_replacement(
    fault: &ScheduledFault,
    began: f64,
    workers: Vec<usize>,
    rules: &RuleSettings,
) -> Vec<TimedStep> {
    let interval = fault.duration / workers.len() as f64;
    let mut steps = Vec::new();
    for (turn, worker) in workers.into_iter().enumerate() {
        let drained = began + interval * turn as f64;
        let stopped = drained + (rules.drain_grace + rules.notification_delay);
        let draining = FaultStep::SetStatus(vec![worker], EndpointStatus::Draining);
        steps.push(TimedStep { at: drained, step: draining });
        steps.push(TimedStep { at: stopped, step: FaultStep::StopAdmission(worker) });
        steps.push(TimedStep { at: stopped + STOP_DELAY, step: FaultStep::Replace(vec![worker]) });
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps
}
