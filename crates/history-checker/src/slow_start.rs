//! The load of warming workers within the window in which they fail from overload: what rule 4 and the fleet's bounds go
//! by.

use crate::event::{HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::sliding_window::SlidingWindow;
use std::collections::BTreeMap;

/// Most requests of mean work within one window that a warming worker may be sent where the settings allow it `allowed` in
/// the mean: N + 2 √N + 2, under thirty N + 3 √N + 3. The margin is for the random arrival of requests.
pub fn slow_start_limit(allowed: f64) -> f64 {
    /// Below this number the margin is wider.
    const SMALL_BUDGET: f64 = 30.0;
    if allowed < SMALL_BUDGET {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// What a warming worker was sent within the overload window up to an attempt, and what it may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartWindow {
    /// When the attempt was received, in seconds: the end of the window.
    pub at: f64,
    /// The worker.
    pub worker: usize,
    /// Attempts received within the window.
    pub attempts: usize,
    /// Their work, in seconds of one core of speed 1.
    pub work: f64,
    /// The work that the settings allow in the mean.
    pub budget: f64,
    /// The most work that it may be sent.
    pub max_work: f64,
    /// The most attempts that it may be sent.
    pub max_attempts: f64,
}

impl SlowStartWindow {
    /// Whether the worker was sent more than it may be.
    pub fn is_overloaded(&self) -> bool {
        self.work > self.max_work || self.attempts as f64 > self.max_attempts
    }
}

/// A worker that has started and is not warm yet.
struct WarmingWorker {
    started: f64,
    capacity: f64,
    received: SlidingWindow,
}

impl WarmingWorker {
    /// The work that the settings allow it within the window, in the mean.
    fn budget(&self, age: f64, parameters: &RuleParameters) -> f64 {
        let RuleParameters { initial_capacity, warm_up, overload_multiple, overload_window, .. } =
            *parameters;
        let capacity_fraction = initial_capacity + (1.0 - initial_capacity) * age / warm_up.max(1e-9);
        overload_multiple * self.capacity * capacity_fraction * overload_window
    }
}

/// The mean work of an attempt, over all attempts so far.
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

/// Gives `visit` the window of each attempt that a warming worker received.
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
    /// Attempts of mean work beyond the budget that are allowed: of an attempt's work only the mean is known.
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
