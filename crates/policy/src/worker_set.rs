//! The size of a function's worker set, from its estimated concurrency (Little's law: rate times latency), and the trust in
//! what other routers said of theirs.

use crate::decay::Fading;
use crate::function_state::{DEMAND_HALVES, Function};

/// How far what others said at a time still holds, 1 to 0: it decays into this router's own guess.
pub(crate) fn faith(now: f64, told: f64) -> f64 {
    /// Seconds for which a word is as good as new, and in which it then loses half.
    const NEW: f64 = 2.0;
    const HALF: f64 = 2.0;
    (-(now - told - NEW).max(0.0) / HALF).exp2()
}

impl Function {
    /// Rate over all routers times mean latency: the lanes of instances that the function keeps busy.
    pub(crate) fn usage(&self, now: f64, routers: f64, latency: f64, faith: f64) -> f64 {
        /// Deviations that are a count's own chance: of those of many routers some are always past the first.
        const CHANCE: f64 = 1.25;
        // Of a count only what is beyond that: one arrival at one of many routers would read as hundreds a second and
        // stretch the set over all workers.
        let rate = |(count, half): (&Fading, f64)| {
            let n = count.now(now, half).max(CHANCE * CHANCE);
            count.rate(now, half, now - self.since) * (1.0 - CHANCE / n.sqrt())
        };
        let rate = self.arrivals.iter().zip(DEMAND_HALVES).map(rate).fold(0.0, f64::max);
        let guess = rate * routers * latency * self.slow;
        if faith == 0.0 {
            return guess;
        }
        // Nothing is taken off the own part for chance, which is small beside the whole.
        let own = self.arrival_rate(now);
        guess + faith * (own * latency * self.slow + self.elsewhere - guess)
    }

    /// Sets the size of the set by the members that are needed now. It shrinks after the paper's least interval between
    /// reductions.
    pub(crate) fn resize_set(&mut self, now: f64, needed: usize) {
        /// Seconds.
        const LEAST_INTERVAL: f64 = 30.0;
        if needed >= self.set || now - self.roomy_since >= LEAST_INTERVAL {
            self.set = needed.max(1);
            self.roomy_since = now;
        }
    }
}
