//! The fraction of the shared budgets that this gateway may use.

use crate::state::Membership;

/// What a gateway may use of the shared budgets. Fractions are multiples of the even quota, which is the budget divided
/// by the gateway's own `max_gateways`. `milletpath-shared-budgets` takes them as its `Entitlement`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Number of gateways that are likely present.
    pub likely_gateways: f64,
    /// What this gateway may use until `valid_until`.
    pub fraction: f64,
    /// What it may use from then on, unless the fraction is renewed.
    pub floor_fraction: f64,
    /// End of the fraction's validity, in seconds on the caller's clock.
    pub valid_until: f64,
}

impl Membership {
    /// What this gateway may use now. To be called whenever time passed: the fraction is the lowest of the last
    /// `budget_window` seconds, so that no window over which a budget is counted exceeds it.
    ///
    /// With a quorum the fraction is `floor / max_gateways + (1 - floor) / max_with_quorum` of the budget, without
    /// one `floor / max_gateways`. All gateways together hence use at most the budget.
    #[must_use]
    pub fn quota_fraction(&mut self, now: f64) -> QuotaFraction {
        self.advance_clock(now);
        let (now, proof) = (self.now, self.quorum_proof());
        let max_gateways = self.max_gateways() as f64;
        let floor = self.config.floor / max_gateways;
        let has_quorum = now < proof.quorum_until && !self.departing;
        let (current, valid_until) = if has_quorum {
            let above_floor = (1.0 - self.config.floor) / proof.max_with_quorum as f64;
            (floor + above_floor, proof.valid_until(now))
        } else {
            (floor, f64::INFINITY)
        };
        let lowest = self.trailing_minimum.update(now, current, floor, valid_until);
        let own_max_gateways = f64::from(self.identity.max_gateways.max(1));
        QuotaFraction {
            likely_gateways: self.likely_gateways(),
            fraction: lowest * own_max_gateways,
            floor_fraction: floor * own_max_gateways,
            valid_until: valid_until - self.clock_offset,
        }
    }
}
