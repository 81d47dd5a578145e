//! What warm workers handle a second for their size: at least that is known to be within their capacity.

use crate::decay::{Fading, RATE_HALF};
use crate::worker_state::{Worker, WorkerTable};

/// The highest rate gives way with this half life in seconds, so that no lull or slow spell shuts the door for good.
const PEAK_HALF_LIFE: f64 = 30.0;

#[derive(Default)]
pub(crate) struct Throughput {
    /// Answers of warm workers, and their size over that time.
    answers: Fading,
    size_time: Fading,
    /// When these were last compared, what that made, and the most of it.
    counted_at: f64,
    rate: f64,
    peak: Fading,
}

impl Throughput {
    /// A worker handled a request.
    pub(crate) fn handled(&mut self, now: f64, warm: bool) {
        self.answers.add(now, RATE_HALF, f64::from(u8::from(warm)));
    }

    /// Requests a second for each unit of a worker's size.
    pub(crate) fn rate(&mut self, now: f64, workers: &WorkerTable, is_warm: impl Fn(&Worker) -> bool) -> f64 {
        /// Seconds that a router has at the least been looking: its first answers make no rate.
        const MIN_AGE: f64 = 0.5;
        /// Seconds between two counts: short against what changes it, as it is asked for at every turn.
        const INTERVAL: f64 = 0.1;
        if now - self.counted_at < INTERVAL {
            return self.rate;
        }
        let size: f64 = workers.iter().filter(|w| w.is_ready() && is_warm(w)).map(|w| w.size).sum();
        // Over the size of those that gave them: where half are replaced the rest do no more than before.
        let since = if self.counted_at == 0.0 { MIN_AGE } else { now - self.counted_at };
        self.size_time.add(now, RATE_HALF, size * since);
        let rate = if self.size_time.sum > 0.0 {
            self.answers.now(now, RATE_HALF) / self.size_time.sum
        } else {
            0.0
        };
        if rate > self.peak(now) {
            self.peak = Fading { sum: rate, at: now };
        }
        (self.counted_at, self.rate) = (now, rate);
        rate
    }

    /// The highest of late.
    pub(crate) fn peak(&self, now: f64) -> f64 {
        self.peak.now(now, PEAK_HALF_LIFE)
    }
}
