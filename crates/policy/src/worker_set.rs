//! The size of a function's worker set, from its estimated concurrency: arrival rate times latency (Little's law;
//! section 5.2 of the paper in `docs/design.md`).

use crate::function_state::Function;

/// Weight of the concurrency that other routers reported at `reported_at`. It decays from 1 to 0, in favor of this
/// router's own estimate.
pub(crate) fn remote_weight(now: f64, reported_at: f64) -> f64 {
    /// Seconds for which a report has its full weight, and the half life of its weight after that.
    const FULL_WEIGHT_FOR: f64 = 2.0;
    const HALF_LIFE: f64 = 2.0;
    (-(now - reported_at - FULL_WEIGHT_FOR).max(0.0) / HALF_LIFE).exp2()
}

impl Function {
    /// Concurrency over all routers: arrivals per second times mean latency. Without reports of others this router
    /// assumes that all `routers` receive the same load.
    pub(crate) fn concurrency(&self, now: f64, routers: f64, latency: f64, remote_weight: f64) -> f64 {
        /// Standard deviations subtracted from a count: of many routers' counts, some always exceed the mean by more
        /// than one.
        const DEDUCTED_DEVIATIONS: f64 = 1.25;
        // Otherwise one arrival at one of many routers would be taken for hundreds per second and grow the set over
        // all workers.
        let rate = self.arrivals.max_rate(|count, half_life| {
            let n = count.value(now, half_life).max(DEDUCTED_DEVIATIONS * DEDUCTED_DEVIATIONS);
            count.rate(now, half_life, now - self.first_arrival_at) * (1.0 - DEDUCTED_DEVIATIONS / n.sqrt())
        });
        let estimate = rate * routers * latency * self.relative_latency;
        if remote_weight == 0.0 {
            return estimate;
        }
        // Nothing is subtracted from the local part, whose variance is small compared with the sum.
        let local_rate = self.arrival_rate(now);
        estimate
            + remote_weight
                * (local_rate * latency * self.relative_latency + self.remote_concurrency - estimate)
    }

    /// Sets the size of the set to the members that are needed now. It grows at once, and shrinks after the minimum
    /// interval of the paper.
    pub(crate) fn resize_set(&mut self, now: f64, needed: usize) {
        /// Minimum seconds between reductions.
        const MIN_SHRINK_INTERVAL: f64 = 30.0;
        if needed >= self.set_size || now - self.shrinkable_since >= MIN_SHRINK_INTERVAL {
            self.set_size = needed.max(1);
            self.shrinkable_since = now;
        }
    }
}
