//! How much of a budget a gateway needs, estimated from its use of late: quick to rise, slower to fall.

use crate::budget_kind::BudgetKind;

/// Use of a budget, as metered by whoever spends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageMeter {
    /// Units that were requested since the start; only grows.
    pub requested: u64,
    /// Of the requested units, those that were denied because the budget was spent; only grows.
    pub denied: u64,
    /// Units in use now; 0 for a rate.
    pub in_use: f64,
}

/// An estimate of how much a gateway needs of one budget.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimate {
    kind: BudgetKind,
    sampled_at: f64,
    last_meter: UsageMeter,
    /// Units requested a second: an exponentially weighted moving average.
    rate: f64,
    /// Units denied, fading by [`DENIAL_HALF_LIFE`].
    denied: f64,
}

/// Half-life of the average while the rate rises, in seconds: a jump is known within half a second.
const RISE_HALF_LIFE: f64 = 0.25;

/// Half-life of the average while the rate falls, in seconds. A fall to a tenth is known within two seconds; leases of
/// at most two seconds then end in time for all gateways to follow within five.
const FALL_HALF_LIFE: f64 = 0.5;

/// Seconds in which denied units come to count half.
const DENIAL_HALF_LIFE: f64 = 1.0;

impl DemandEstimate {
    pub(crate) fn new(kind: BudgetKind, now: f64) -> Self {
        Self { kind, sampled_at: now, last_meter: UsageMeter::default(), rate: 0.0, denied: 0.0 }
    }

    /// Takes a reading of the meter; returns whether units were denied since the last sample.
    pub(crate) fn observe(&mut self, now: f64, meter: UsageMeter) -> bool {
        /// Seconds between two samples at least: over less than that a rate is mostly noise.
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

    /// Units a second for a rate; units at the same time otherwise.
    pub(crate) fn estimate(&self) -> f64 {
        match self.kind {
            BudgetKind::Rate => self.rate,
            BudgetKind::Window(_) | BudgetKind::InFlight(_) => {
                // Where units were denied, one more is likely to be requested before a grant arrives.
                let growth = if self.denied > 0.5 { 1.0 } else { 0.0 };
                self.last_meter.in_use + self.denied + growth
            }
        }
    }
}
