//! Slow start: what a worker that started lately is sent, over all routers, stays under what it can take in the window that
//! the settings name. Each router sends its own part: that of the throughput that it sees itself.

use crate::random::Random;
use crate::throughput::Throughput;
use crate::worker_state::{SlowStartTurn, Worker, WorkerTable};

/// Turns of a cold worker's window, each with its part of the budget; a shot begins at most one turn after its decision.
const TURNS: f64 = 4.0;

pub(crate) struct SlowStart {
    /// A worker starts at this part of its capacity or above, and is warm after so many seconds.
    pub(crate) initial_capacity: f64,
    pub(crate) warm_up: f64,
    /// Sent more than this multiple of its present capacity for so many seconds, it falls over.
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: f64,
}

impl SlowStart {
    pub(crate) fn is_warm(&self, now: f64, worker: &Worker) -> bool {
        now - worker.started >= self.warm_up
    }

    /// Whether a worker may still be in the time in which it falls over when it is sent too much.
    pub(crate) fn is_cold(&self, now: f64, worker: &Worker) -> bool {
        now - worker.started < self.warm_up + self.overload_window
    }

    /// Seconds of a turn.
    pub(crate) fn turn_seconds(&self) -> f64 {
        self.overload_window / TURNS
    }

    /// The throughput that is known of warm workers.
    pub(crate) fn rate(&self, now: f64, workers: &WorkerTable, throughput: &mut Throughput) -> f64 {
        throughput.rate(now, workers, |worker| self.is_warm(now, worker))
    }

    /// Whether a worker that started lately can take one more shot of ours without being pushed over. In each turn of the
    /// stated window it sends its part of what the worker can take; of a part of one shot, chance decides. So many routers
    /// come to the same as one, and none saves up for a crowd.
    pub(crate) fn has_capacity(
        &self,
        now: f64,
        worker: usize,
        workers: &mut WorkerTable,
        throughput: &mut Throughput,
        random: &mut Random,
    ) -> bool {
        /// Part of the stated limit that is used: work differs from its mean and counts lag.
        const BUDGET_SHARE: f64 = 0.6;
        if !self.is_cold(now, &workers[worker]) {
            return true;
        }
        let SlowStartTurn { began, left } = workers[worker].turn;
        if now - began < self.turn_seconds() {
            return left >= 1.0;
        }
        let full = self.rate(now, workers, throughput) * workers[worker].size;
        let age = now - workers[worker].started;
        let grown = if self.warm_up > 0.0 { (age / self.warm_up).clamp(0.0, 1.0) } else { 1.0 };
        let capacity = full * (self.initial_capacity + (1.0 - self.initial_capacity) * grown);
        let part = BUDGET_SHARE * self.overload_multiple * capacity * self.overload_window / TURNS;
        let left = (part + random.uniform()).floor();
        workers[worker].turn = SlowStartTurn { began: now, left };
        left >= 1.0
    }
}
