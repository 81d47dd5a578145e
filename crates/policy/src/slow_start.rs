//! Slow start: the requests that a warming worker gets from all routers stay under what it can take in the
//! configured window. Each router sends its own part, in proportion to the throughput that it measures
//! itself, so that no router has to know the others.
//!
//! Where the settings allow a worker N requests of mean work in the window, it fails from overload at more
//! than N + 2 √N + 2 (under 30 at N + 3 √N + 3). In the mean all routers together send 0.6 N in four turns,
//! and 0.75 N at most in a window, which five turns may touch; with connections that come up a turn late 0.9
//! N.

use crate::list_staleness::ListStaleness;
use crate::random::Random;
use crate::throughput::Throughput;
use crate::worker_state::{SlowStartSlot, WorkerTable};

/// Turns of the window, each with its part of the budget; an attempt begins at most one turn after its
/// decision.
const SLOTS_PER_WINDOW: f64 = 4.0;

/// The configuration of slow start.
pub(crate) struct SlowStart {
    /// A worker starts at this part of its capacity or more, and has all of it after so many seconds.
    pub(crate) initial_capacity: f64,
    pub(crate) warm_up: f64,
    /// Sent more than this multiple of its present capacity for so many seconds, a worker fails from
    /// overload.
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: f64,
}

impl SlowStart {
    /// Whether a worker that started then has its full capacity.
    pub(crate) fn is_warm(&self, now: f64, started_at: f64) -> bool {
        now - started_at >= self.warm_up
    }

    /// Whether a worker that started then may still fail from overload in slow start: until a window after it is
    /// warm.
    pub(crate) fn is_cold(&self, now: f64, started_at: f64) -> bool {
        now - started_at < self.warm_up + self.overload_window
    }

    /// Seconds of a turn.
    pub(crate) fn slot_seconds(&self) -> f64 {
        self.overload_window / SLOTS_PER_WINDOW
    }

    /// The throughput of warm workers, in requests a second for a unit of size.
    pub(crate) fn rate(
        &self,
        now: f64,
        workers: &WorkerTable,
        staleness: &ListStaleness,
        throughput: &mut Throughput,
    ) -> f64 {
        throughput.rate(now, workers, |worker| self.is_warm(now, staleness.started_at(now, worker)))
    }

    /// Whether a worker can take one more attempt of this router. In each turn of the window the router sends
    /// its part of what the worker can take, rounded at random, so that the parts of many routers add up to
    /// the same as that of one; what is not used in a turn is lost, so that none saves up for a burst.
    pub(crate) fn has_capacity(
        &self,
        now: f64,
        worker: usize,
        workers: &mut WorkerTable,
        staleness: &ListStaleness,
        throughput: &mut Throughput,
        random: &mut Random,
    ) -> bool {
        /// Part of the limit that is used: work differs from its mean, and measurements lag.
        const BUDGET_SHARE: f64 = 0.6;
        let started_at = staleness.started_at(now, &workers[worker]);
        if !self.is_cold(now, started_at) {
            return true;
        }
        let SlowStartSlot { began_at, attempts_left } = workers[worker].slow_start_slot;
        if now - began_at < self.slot_seconds() {
            return attempts_left >= 1.0;
        }
        let full_capacity = self.rate(now, workers, staleness, throughput) * workers[worker].size;
        let age = now - started_at;
        let warm_up_progress = if self.warm_up > 0.0 { (age / self.warm_up).clamp(0.0, 1.0) } else { 1.0 };
        let capacity =
            full_capacity * (self.initial_capacity + (1.0 - self.initial_capacity) * warm_up_progress);
        let slot_budget =
            BUDGET_SHARE * self.overload_multiple * capacity * self.overload_window / SLOTS_PER_WINDOW;
        let attempts_left = (slot_budget + random.uniform()).floor();
        workers[worker].slow_start_slot = SlowStartSlot { began_at: now, attempts_left };
        attempts_left >= 1.0
    }
}
