//! Timed steps of the faults on workers and on the store. Both ways to run a scenario, on sockets
//! ([`play`](super::play)) and in the simulator, carry out the same steps.
//!
//! When a fault begins, the runner chooses its targets with [`pick`] and gets its steps from [`worker_steps`], in order
//! of time. The run on sockets sleeps until each step is due; the simulator carries out the steps that are due
//! immediately and puts the others into its event queue.

use crate::scenario_file::{FaultKind, RuleSettings, ScheduledFault};
use milletpath_protocol::registry::EndpointStatus;
use rand::Rng;
use rand::seq::SliceRandom;

/// Seconds between the end of a worker's admission and the end of its process.
const STOP_DELAY: f64 = 0.5;

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// The processes of these workers end immediately.
    Kill(Vec<usize>),
    /// The registry lists these workers with this status.
    SetStatus(Vec<usize>, EndpointStatus),
    /// This worker rejects new jobs.
    StopAdmission(usize),
    /// New processes replace these workers; a process that is still running is killed.
    Replace(Vec<usize>),
    /// These workers fail this fraction of their requests.
    FailRequests(Vec<usize>, f64),
    /// These workers respond normally again.
    ClearResponseFaults(Vec<usize>),
    /// Work at these workers takes longer by this factor.
    SetSlowness(Vec<usize>, f64),
    /// Fetches from the store take longer by this factor.
    SetStoreSlowness(f64),
    /// The store rejects all fetches, or accepts them again.
    SetStoreRejecting(bool),
    /// The store has an outage of this many seconds.
    BeginStoreOutage(f64),
}

/// A step and the time at which it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// When it is due, on the same clock as the argument `began` of [`worker_steps`].
    pub at: f64,
    /// The step.
    pub step: FaultStep,
}

/// Chooses a fraction of `count` numbered items, at least one, in random order.
#[must_use]
pub fn pick(rng: &mut impl Rng, count: usize, fraction: f64) -> Vec<usize> {
    let mut numbers: Vec<_> = (0..count).collect();
    numbers.shuffle(rng);
    numbers.truncate(((count as f64 * fraction).round() as usize).max(1));
    numbers
}

/// Whether a fault affects individual workers, so that [`worker_steps`] needs a [`pick`] of them.
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

/// The steps of a fault that begins at `began`; none for faults that the simulator does not share.
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

/// Processes end immediately, the registry notices it after a delay, and new processes start when the fault ends.
fn crash(fault: &ScheduledFault, began: f64, workers: Vec<usize>, rules: &RuleSettings) -> Vec<TimedStep> {
    let detected = began + rules.notification_delay.min(fault.duration);
    vec![
        TimedStep { at: began, step: FaultStep::Kill(workers.clone()) },
        TimedStep { at: detected, step: FaultStep::SetStatus(workers.clone(), EndpointStatus::Gone) },
        TimedStep { at: began + fault.duration, step: FaultStep::Replace(workers) },
    ]
}

/// One worker after the other is listed as draining, rejects new jobs once all gateways have been notified, and is
/// replaced.
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
