//! Computation of the fraction of the shared budgets that this gateway may use.

use crate::state::Membership;

/// The fraction of the shared budgets that a gateway may use. Fractions are multiples of the even quota, which is the
/// budget divided by the gateway's own `max_gateways` setting. `milletpath-shared-budgets` uses them as its
/// `Entitlement`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Likely number of gateways.
    pub likely_gateways: f64,
    /// Fraction that this gateway may use until `valid_until`.
    pub fraction: f64,
    /// Fraction that it may use after `valid_until` if `fraction` is not renewed.
    pub floor_fraction: f64,
    /// Time at which `fraction` expires, in seconds on the caller's clock.
    pub valid_until: f64,
}

impl Membership {
    /// Returns the fraction that this gateway may use now. Must be called whenever time has passed: the result is the
    /// minimum over the last `budget_window` seconds, so that a budget is not exceeded in any window over which its
    /// use is measured.
    ///
    /// The fraction of the budget is `floor / max_gateways + (1 - floor) / max_with_quorum` with a quorum, and
    /// `floor / max_gateways` without one. Therefore all gateways together never use more than the budget.
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
