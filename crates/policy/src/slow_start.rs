//! Slow start: limits the requests that a warming worker gets from all routers to what it can take in the configured
//! window. Each router sends its own share, in proportion to the throughput that it measures itself, so that no
//! router needs to know the others.
//!
//! If the settings allow a worker N requests of mean work in the window, it fails from overload at more than
//! N + 2 √N + 2 requests (for N below 30, at N + 3 √N + 3). All routers together send 0.6 N on average in four slots,
//! and at most 0.75 N in a window, which may overlap five slots; with connections that come up one slot late, 0.9 N.

use crate::list_staleness::ListStaleness;
use crate::random::Random;
use crate::throughput::Throughput;
use crate::worker_state::{SlowStartSlot, WorkerTable};

/// Slots per window, each with its share of the budget. An attempt begins at most one slot after its decision.
const SLOTS_PER_WINDOW: f64 = 4.0;

/// The configuration of slow start.
pub(crate) struct SlowStart {
    /// Minimum fraction of its capacity that a worker starts with, and seconds until it has all of it.
    pub(crate) initial_capacity: f64,
    pub(crate) warm_up: f64,
    /// A worker fails from overload if it is sent more than this multiple of its current capacity within
    /// `overload_window` seconds.
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: f64,
}

impl SlowStart {
    /// Whether a worker that started at `started_at` has its full capacity.
    pub(crate) fn is_warm(&self, now: f64, started_at: f64) -> bool {
        now - started_at >= self.warm_up
    }

    /// Whether a worker that started at `started_at` may still fail from overload in slow start, which ends one
    /// window after it is warm.
    pub(crate) fn is_cold(&self, now: f64, started_at: f64) -> bool {
        now - started_at < self.warm_up + self.overload_window
    }

    /// Length of a slot in seconds.
    pub(crate) fn slot_seconds(&self) -> f64 {
        self.overload_window / SLOTS_PER_WINDOW
    }

    /// The throughput of warm workers, in requests per second and unit of size.
    pub(crate) fn rate(
        &self,
        now: f64,
        workers: &WorkerTable,
        staleness: &ListStaleness,
        throughput: &mut Throughput,
    ) -> f64 {
        throughput.rate(now, workers, |worker| self.is_warm(now, staleness.started_at(now, worker)))
    }

    /// Whether a worker can take another attempt of this router. In each slot of the window the router sends its
    /// share of what the worker can take, rounded at random so that the shares of many routers add up to that of a
    /// single one. Unused shares expire with their slot, so that they cannot accumulate to a burst.
    pub(crate) fn has_capacity(
        &self,
        now: f64,
        worker: usize,
        workers: &mut WorkerTable,
        staleness: &ListStaleness,
        throughput: &mut Throughput,
        random: &mut Random,
    ) -> bool {
        /// Fraction of the limit that is used, because work differs from its mean and measurements lag.
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
