//! Slow start: what a worker that started lately is sent, over all routers, stays under what it can take in the window that
//! the settings name. Each router sends its own part: that of the throughput that it sees itself.

use crate::random::Random;
use crate::throughput::Throughput;
use crate::worker_state::{Fleet, Turn, Worker};

/// Turns of a cold worker's window, each with its part of the budget; a shot begins at most one turn after its decision.
const TURNS: f64 = 4.0;

pub(crate) struct SlowStart {
    /// A worker starts at this part of its capacity or above, and is warm after so many seconds.
    pub(crate) cold_share: f64,
    pub(crate) warm_up: f64,
    /// Sent more than this multiple of its present capacity for so many seconds, it falls over.
    pub(crate) tip_multiple: f64,
    pub(crate) tip_window: f64,
}

impl SlowStart {
    pub(crate) fn is_warm(&self, now: f64, worker: &Worker) -> bool {
        now - worker.started >= self.warm_up
    }

    /// Whether a worker may still be in the time in which it falls over when it is sent too much.
    pub(crate) fn is_cold(&self, now: f64, worker: &Worker) -> bool {
        now - worker.started < self.warm_up + self.tip_window
    }

    /// Seconds of a turn.
    pub(crate) fn turn(&self) -> f64 {
        self.tip_window / TURNS
    }

    /// The throughput that is known of warm workers.
    pub(crate) fn pace(&self, now: f64, fleet: &Fleet, throughput: &mut Throughput) -> f64 {
        throughput.pace(now, fleet, |worker| self.is_warm(now, worker))
    }

    /// Whether a worker that started lately can take one more shot of ours without being pushed over. In each turn of the
    /// stated window it sends its part of what the worker can take; of a part of one shot, chance decides. So many routers
    /// come to the same as one, and none saves up for a crowd.
    pub(crate) fn cold_room(
        &self,
        now: f64,
        w: usize,
        fleet: &mut Fleet,
        throughput: &mut Throughput,
        random: &mut Random,
    ) -> bool {
        /// Part of the stated limit that is used: work differs from its mean and counts lag.
        const CAUTION: f64 = 0.6;
        if !self.is_cold(now, &fleet[w]) {
            return true;
        }
        let Turn { began, left } = fleet[w].turn;
        if now - began < self.turn() {
            return left >= 1.0;
        }
        let full = self.pace(now, fleet, throughput) * fleet[w].size;
        let age = now - fleet[w].started;
        let grown = if self.warm_up > 0.0 { (age / self.warm_up).clamp(0.0, 1.0) } else { 1.0 };
        let capacity = full * (self.cold_share + (1.0 - self.cold_share) * grown);
        let part = CAUTION * self.tip_multiple * capacity * self.tip_window / TURNS;
        let left = (part + random.luck()).floor();
        fleet[w].turn = Turn { began: now, left };
        left >= 1.0
    }
}
