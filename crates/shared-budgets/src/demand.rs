//! What a gateway needs of a budget, from what was wanted of it lately: quick to rise, slower to fall.

use crate::ledger::BudgetKind;
use crate::shared_budgets::UsageMeter;

#[derive(Clone, Debug)]
pub struct DemandEstimate {
    kind: BudgetKind,
    sampled_at: f64,
    last_meter: UsageMeter,
    /// Wanted a second, smoothed; and what was lacked of late, fading.
    rate: f64,
    denied: f64,
}

/// Half lives of a rate that rises and of one that falls: a jump is known within half a second; and one that fell to a
/// tenth is known within two, which leaves a loan's time for all to follow within five.
const RISE_HALF_LIFE: f64 = 0.25;
const FALL_HALF_LIFE: f64 = 0.5;

/// Units lacked count for so long.
const DENIAL_HALF_LIFE: f64 = 1.0;

impl DemandEstimate {
    pub fn new(kind: BudgetKind, now: f64) -> Self {
        Self { kind, sampled_at: now, last_meter: UsageMeter::default(), rate: 0.0, denied: 0.0 }
    }

    /// The meters now; tells whether something was lacked since the last look.
    pub fn observe(&mut self, now: f64, meter: UsageMeter) -> bool {
        /// Seconds between two looks at least, so that a rate is one.
        const MIN_SAMPLE_INTERVAL: f64 = 0.05;
        let (requested, denied) = (
            meter.requested.saturating_sub(self.last_meter.requested) as f64,
            meter.denied.saturating_sub(self.last_meter.denied) as f64,
        );
        let elapsed = now - self.sampled_at;
        if elapsed < MIN_SAMPLE_INTERVAL {
            self.last_meter.in_use = meter.in_use;
            return false;
        }
        let rate = requested / elapsed;
        let half_life = if rate > self.rate { RISE_HALF_LIFE } else { FALL_HALF_LIFE };
        self.rate += (rate - self.rate) * (1.0 - (-elapsed / half_life).exp2());
        self.denied = self.denied * (-elapsed / DENIAL_HALF_LIFE).exp2() + denied;
        (self.sampled_at, self.last_meter) = (now, meter);
        denied > 0.0
    }

    /// So much a second; or so many units at a time.
    pub fn estimate(&self) -> f64 {
        match self.kind {
            BudgetKind::Rate => self.rate,
            // What is in use, what was lacked, and what may be wanted before an answer comes.
            BudgetKind::Window(_) | BudgetKind::InFlight(_) => {
                self.last_meter.in_use + self.denied + if self.denied > 0.5 { 1.0 } else { 0.0 }
            }
        }
    }
}
