//! What warm workers handle a second for their size: at least that is known to be within their capacity.

use crate::decay::{Fading, RATE_HALF};
use crate::worker_state::{Fleet, Worker};

/// The highest rate gives way with this half life in seconds, so that no lull or slow spell shuts the door for good.
const PEAK_HALF: f64 = 30.0;

#[derive(Default)]
pub(crate) struct Throughput {
    /// Answers of warm workers, and their size over that time.
    flow: Fading,
    room: Fading,
    /// When these were last compared, what that made, and the most of it.
    counted: f64,
    pace: f64,
    peak: Fading,
}

impl Throughput {
    /// A worker handled a request.
    pub(crate) fn handled(&mut self, now: f64, warm: bool) {
        self.flow.add(now, RATE_HALF, f64::from(u8::from(warm)));
    }

    /// Requests a second for each unit of a worker's size.
    pub(crate) fn pace(&mut self, now: f64, fleet: &Fleet, is_warm: impl Fn(&Worker) -> bool) -> f64 {
        /// Seconds that a router has at the least been looking: its first answers make no rate.
        const YOUNG: f64 = 0.5;
        /// Seconds between two counts: short against what changes it, as it is asked for at every turn.
        const INTERVAL: f64 = 0.1;
        if now - self.counted < INTERVAL {
            return self.pace;
        }
        let size: f64 = fleet.iter().filter(|w| w.is_ready() && is_warm(w)).map(|w| w.size).sum();
        // Over the size of those that gave them: where half are replaced the rest do no more than before.
        let since = if self.counted == 0.0 { YOUNG } else { now - self.counted };
        self.room.add(now, RATE_HALF, size * since);
        let pace = if self.room.sum > 0.0 { self.flow.now(now, RATE_HALF) / self.room.sum } else { 0.0 };
        if pace > self.peak(now) {
            self.peak = Fading { sum: pace, at: now };
        }
        (self.counted, self.pace) = (now, pace);
        pace
    }

    /// The highest of late.
    pub(crate) fn peak(&self, now: f64) -> f64 {
        self.peak.now(now, PEAK_HALF)
    }
}
