//! The throughput of warm workers per unit of size, as measured by this router: a lower bound of their capacity.

use crate::decay::{DecayingSum, RATE_HALF_LIFE};
use crate::worker_state::{Worker, WorkerTable};

/// Half life in seconds of the peak rate. A quiet or slow period does not lower the limits derived from it for good.
const PEAK_HALF_LIFE: f64 = 30.0;

/// Counts the answers of warm workers.
#[derive(Default)]
pub(crate) struct Throughput {
    /// Decaying count of answers from warm workers, and decaying sum of their size times seconds.
    answers: DecayingSum,
    size_time: DecayingSum,
    /// When the rate was last calculated, that rate, and its decaying peak.
    calculated_at: f64,
    rate: f64,
    peak: DecayingSum,
}

impl Throughput {
    /// Records an answer of a worker.
    pub(crate) fn record_answer(&mut self, now: f64, warm: bool) {
        self.answers.add(now, RATE_HALF_LIFE, f64::from(u8::from(warm)));
    }

    /// Requests per second and unit of worker size, recalculated ten times a second.
    pub(crate) fn rate(&mut self, now: f64, workers: &WorkerTable, is_warm: impl Fn(&Worker) -> bool) -> f64 {
        /// Minimum seconds of the first measurement: the first answers give no rate.
        const MIN_AGE: f64 = 0.5;
        /// Seconds between two calculations.
        const INTERVAL: f64 = 0.1;
        if now - self.calculated_at < INTERVAL {
            return self.rate;
        }
        let warm = workers.iter().filter(|worker| worker.is_ready() && is_warm(worker));
        let size: f64 = warm.map(|worker| workers.max_size(worker)).sum();
        // Uses the size of the workers that gave the answers: if half of the workers are replaced, the rest have no
        // more capacity than before.
        let since = if self.calculated_at == 0.0 { MIN_AGE } else { now - self.calculated_at };
        self.size_time.add(now, RATE_HALF_LIFE, size * since);
        let rate = if self.size_time.sum > 0.0 {
            self.answers.value(now, RATE_HALF_LIFE) / self.size_time.sum
        } else {
            0.0
        };
        if rate > self.peak(now) {
            self.peak = DecayingSum { sum: rate, at: now };
        }
        (self.calculated_at, self.rate) = (now, rate);
        rate
    }

    /// The workers that gave the answers turn out to be up to `growth` times as large as assumed.
    pub(crate) fn capacity_grew(&mut self, growth: f64) {
        self.size_time.sum *= growth;
        self.peak.sum /= growth;
        self.rate /= growth;
    }

    /// The decaying peak of the rate.
    pub(crate) fn peak(&self, now: f64) -> f64 {
        self.peak.value(now, PEAK_HALF_LIFE)
    }
}
