//! Quota adjustments, published to the code that spends a budget: by how much the quota is raised or lowered, and until
//! when.

/// The difference between what a gateway may use of a budget and its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdjustment {
    /// Units, or units per second, added to the quota until `valid_until`; negative if more is leased to others than is
    /// held on lease.
    pub amount: f64,
    /// The amount added from `valid_until` on, when leases held from others no longer count; never positive.
    pub amount_after_expiry: f64,
    /// In seconds on the caller's clock; infinite if no lease is held.
    pub valid_until: f64,
}

/// Maximum validity of an adjustment that includes held leases, in seconds. It is renewed after half this time.
const MAX_VALIDITY: f64 = 0.3;

/// Added to units held on lease. Levels in messages are rounded down, so fractions that should add up to one unit may
/// fall slightly short. A budget is an integer number of units, so fewer than 1000 gateways cannot gain a whole unit
/// from this.
pub(crate) const UNIT_EPSILON: f64 = 1e-3;

impl QuotaAdjustment {
    /// The adjustment of a budget without leases.
    pub(crate) const NONE: Self = Self { amount: 0.0, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

    /// Placeholder for an adjustment that the receiver has lost. The NaN amount differs from every adjustment,
    /// including itself.
    pub(crate) const UNKNOWN: Self =
        Self { amount: f64::NAN, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

    /// The expiry of an adjustment that is published at `now`.
    pub(crate) fn valid_until_from(now: f64) -> f64 {
        now + MAX_VALIDITY
    }

    /// The adjustment for leases of `granted` to others and leases of `held` from others that last until at least
    /// `until`.
    pub(crate) fn from_leases(granted: f64, held: f64, has_indivisible_units: bool, until: f64) -> Self {
        let held = if held > 0.0 && has_indivisible_units { held + UNIT_EPSILON } else { held };
        Self {
            amount: held - granted,
            amount_after_expiry: -granted,
            valid_until: if held > 0.0 { until } else { f64::INFINITY },
        }
    }

    /// When the adjustment is due for renewal.
    pub(crate) fn renew_at(&self) -> f64 {
        self.valid_until - MAX_VALIDITY / 2.0
    }

    /// Whether this published adjustment has the same amounts as `new` and is not due for renewal, so that `new` need
    /// not be published.
    pub(crate) fn still_covers(&self, new: &Self, now: f64) -> bool {
        let has_same_amounts =
            self.amount == new.amount && self.amount_after_expiry == new.amount_after_expiry;
        has_same_amounts && (self.valid_until == new.valid_until || self.renew_at() > now)
    }
}
