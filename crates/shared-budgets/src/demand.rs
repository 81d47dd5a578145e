//! Estimates a gateway's demand for a budget from its recent use. The estimate rises faster than it falls.

use crate::budget_kind::BudgetKind;

/// Use of a budget, as metered by the code that spends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageMeter {
    /// Units requested since the start; monotonically increasing.
    pub requested: u64,
    /// Requested units that were denied because the budget was exhausted; monotonically increasing.
    pub denied: u64,
    /// Units currently in use; 0 for a rate.
    pub in_use: f64,
}

/// An estimate of a gateway's demand for one budget.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimate {
    kind: BudgetKind,
    sampled_at: f64,
    last_meter: UsageMeter,
    /// Exponentially weighted moving average of the units requested per second.
    rate: f64,
    /// Denied units, decayed exponentially with [`DENIAL_HALF_LIFE`].
    denied: f64,
}

/// Half-life of the average while the rate rises, in seconds. A jump is reflected within half a second.
const RISE_HALF_LIFE: f64 = 0.25;

/// Half-life of the average while the rate falls, in seconds. A drop to a tenth is reflected within two seconds. As
/// leases last at most two seconds, all gateways then adapt within five seconds.
const FALL_HALF_LIFE: f64 = 0.5;

/// Half-life of denied units in the estimate, in seconds.
const DENIAL_HALF_LIFE: f64 = 1.0;

impl DemandEstimate {
    pub(crate) fn new(kind: BudgetKind, now: f64) -> Self {
        Self { kind, sampled_at: now, last_meter: UsageMeter::default(), rate: 0.0, denied: 0.0 }
    }

    /// Updates the estimate from a meter reading. Returns whether units were denied since the last sample.
    pub(crate) fn observe(&mut self, now: f64, meter: UsageMeter) -> bool {
        /// Minimum time between two samples, in seconds. Over a shorter interval the rate is mostly noise.
        const MIN_SAMPLE_INTERVAL: f64 = 0.05;
        let elapsed = now - self.sampled_at;
        if elapsed < MIN_SAMPLE_INTERVAL {
            self.last_meter.in_use = meter.in_use;
            return false;
        }
        let requested = meter.requested.saturating_sub(self.last_meter.requested) as f64;
        let denied = meter.denied.saturating_sub(self.last_meter.denied) as f64;
        let rate = requested / elapsed;
        let half_life = if rate > self.rate { RISE_HALF_LIFE } else { FALL_HALF_LIFE };
        self.rate += (rate - self.rate) * (1.0 - (-elapsed / half_life).exp2());
        self.denied = self.denied * (-elapsed / DENIAL_HALF_LIFE).exp2() + denied;
        self.sampled_at = now;
        self.last_meter = meter;
        denied > 0.0
    }

    /// The estimated demand: units per second for a rate, concurrent units otherwise.
    pub(crate) fn estimate(&self) -> f64 {
        match self.kind {
            BudgetKind::Rate => self.rate,
            BudgetKind::Window(_) | BudgetKind::InFlight(_) => {
                // After denials, another unit is likely to be requested before a grant arrives.
                let growth = if self.denied > 0.5 { 1.0 } else { 0.0 };
                self.last_meter.in_use + self.denied + growth
            }
        }
    }
}
