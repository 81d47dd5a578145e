//! The load of warming workers within the overload window, on which rule 4 and the fleet's slow-start bounds are based.

use crate::event::{HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::sliding_window::SlidingWindow;
use std::collections::BTreeMap;

/// The maximum number of requests of mean work that a warming worker may be sent within one window, if the settings allow
/// N (`allowed`) on average: N + 2 √N + 2, or N + 3 √N + 3 if N is below 30. The margin covers random arrivals of requests.
pub fn slow_start_limit(allowed: f64) -> f64 {
    /// The margin is wider below this number.
    const SMALL_BUDGET: f64 = 30.0;
    if allowed < SMALL_BUDGET {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// The load that a warming worker was sent within the overload window that ends with an attempt, and its limits.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartWindow {
    /// End of the window: the time in seconds at which the attempt was received.
    pub at: f64,
    /// The worker.
    pub worker: usize,
    /// Attempts received within the window.
    pub attempts: usize,
    /// Their work, in seconds on one core of speed 1.
    pub work: f64,
    /// The work that the settings allow on average.
    pub budget: f64,
    /// The maximum work that the worker may be sent.
    pub max_work: f64,
    /// The maximum number of attempts that the worker may be sent.
    pub max_attempts: f64,
}

impl SlowStartWindow {
    /// Whether the worker was sent more than allowed.
    pub fn is_overloaded(&self) -> bool {
        self.work > self.max_work || self.attempts as f64 > self.max_attempts
    }
}

/// A worker that has started and is not yet warm.
struct WarmingWorker {
    started: f64,
    capacity: f64,
    received: SlidingWindow,
}

impl WarmingWorker {
    /// The work that the settings allow within the window on average.
    fn budget(&self, age: f64, parameters: &RuleParameters) -> f64 {
        let RuleParameters { initial_capacity, warm_up, overload_multiple, overload_window, .. } =
            *parameters;
        let capacity_fraction = initial_capacity + (1.0 - initial_capacity) * age / warm_up.max(1e-9);
        overload_multiple * self.capacity * capacity_fraction * overload_window
    }
}

/// The mean work per attempt over all attempts so far.
#[derive(Default)]
struct MeanWork {
    work: f64,
    attempts: f64,
}

impl MeanWork {
    fn add(&mut self, work: f64) {
        self.work += work;
        self.attempts += 1.0;
    }

    fn value(&self) -> f64 {
        self.work / self.attempts
    }
}

/// Calls `visit` with the window of each attempt that a warming worker received.
pub fn slow_start_windows(
    records: &[HistoryRecord],
    parameters: &RuleParameters,
    mut visit: impl FnMut(SlowStartWindow),
) {
    let mut warming: BTreeMap<usize, WarmingWorker> = BTreeMap::new();
    let mut mean_work = MeanWork::default();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::WorkerStarted { worker, warm: true, .. } => {
                warming.remove(&worker);
            }
            HistoryEvent::WorkerStarted { worker, capacity, warm: false } => {
                let received = SlidingWindow::default();
                warming.insert(worker, WarmingWorker { started: *at, capacity, received });
            }
            HistoryEvent::AttemptReceived { worker, work, .. } => {
                mean_work.add(work);
                let Some(state) = warming.get_mut(&worker) else { continue };
                if at - state.started > parameters.warm_up {
                    warming.remove(&worker);
                    continue;
                }
                state.received.add_weighted(*at, work);
                visit(window(*at, worker, state, mean_work.value(), parameters));
            }
            _ => {}
        }
    }
}

/// The window of a worker that has just received an attempt.
fn window(
    at: f64,
    worker: usize,
    state: &mut WarmingWorker,
    mean_work: f64,
    parameters: &RuleParameters,
) -> SlowStartWindow {
    /// Attempts of mean work allowed beyond the budget, because gateways know only the mean work of an attempt.
    const ATTEMPT_MARGIN: f64 = 3.0;
    state.received.expire(at, parameters.overload_window);
    let budget = state.budget(at - state.started, parameters);
    SlowStartWindow {
        at,
        worker,
        attempts: state.received.len(),
        work: state.received.sum(),
        budget,
        max_work: budget + ATTEMPT_MARGIN * mean_work,
        max_attempts: slow_start_limit(budget / mean_work.max(1e-9)),
    }
}
