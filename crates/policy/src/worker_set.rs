//! The size of a function's worker set, from its estimated concurrency (Little's law: rate times latency), and the trust in
//! what other routers said of theirs.

use crate::decay::Fading;
use crate::function_state::{DEMAND_HALVES, Function};

/// How far what others said at a time still holds, 1 to 0: it decays into this router's own guess.
pub(crate) fn remote_weight(now: f64, reported_at: f64) -> f64 {
    /// Seconds for which a word is as good as new, and in which it then loses half.
    const FRESH: f64 = 2.0;
    const HALF_LIFE: f64 = 2.0;
    (-(now - reported_at - FRESH).max(0.0) / HALF_LIFE).exp2()
}

impl Function {
    /// Rate over all routers times mean latency: the lanes of instances that the function keeps busy.
    pub(crate) fn concurrency(&self, now: f64, routers: f64, latency: f64, remote_weight: f64) -> f64 {
        /// Deviations that are a count's own chance: of those of many routers some are always past the first.
        const DEVIATIONS: f64 = 1.25;
        // Of a count only what is beyond that: one arrival at one of many routers would read as hundreds a second and
        // stretch the set over all workers.
        let rate = |(count, half): (&Fading, f64)| {
            let n = count.now(now, half).max(DEVIATIONS * DEVIATIONS);
            count.rate(now, half, now - self.since) * (1.0 - DEVIATIONS / n.sqrt())
        };
        let rate = self.arrivals.iter().zip(DEMAND_HALVES).map(rate).fold(0.0, f64::max);
        let estimate = rate * routers * latency * self.relative_latency;
        if remote_weight == 0.0 {
            return estimate;
        }
        // Nothing is taken off the own part for chance, which is small beside the whole.
        let local_rate = self.arrival_rate(now);
        estimate
            + remote_weight
                * (local_rate * latency * self.relative_latency + self.remote_concurrency - estimate)
    }

    /// Sets the size of the set by the members that are needed now. It shrinks after the paper's least interval between
    /// reductions.
    pub(crate) fn resize_set(&mut self, now: f64, needed: usize) {
        /// Seconds.
        const LEAST_INTERVAL: f64 = 30.0;
        if needed >= self.set_size || now - self.shrinkable_since >= LEAST_INTERVAL {
            self.set_size = needed.max(1);
            self.shrinkable_since = now;
        }
    }
}
