//! Adjustments of quotas, published to the code that spends a budget: by how much a quota is raised or lowered, and until
//! when.

/// The difference between what a gateway may use of a budget and its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdjustment {
    /// Units, or units a second, that are added to the quota until `valid_until`; negative where more is leased to others
    /// than is held.
    pub amount: f64,
    /// The same from `valid_until` on, when nothing that is held now counts any more; never positive.
    pub amount_after_expiry: f64,
    /// In seconds on the caller's clock; infinite where nothing is held.
    pub valid_until: f64,
}

/// Seconds for which an adjustment that counts on held leases is valid at most; it is renewed after half of them.
const MAX_VALIDITY: f64 = 0.3;

/// Added to units held on lease. Levels in messages are rounded down, so the fractions that add up to one unit may lack a
/// little of it. The budget is an integer number of units: fewer than a thousand gateways together gain no unit by this.
pub(crate) const UNIT_EPSILON: f64 = 1e-3;

impl QuotaAdjustment {
    /// No adjustment: there are no leases.
    pub(crate) const NONE: Self = Self { amount: 0.0, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

    /// Stands for an adjustment that the receiver has lost. It differs from every adjustment, also from itself (NaN).
    pub(crate) const UNKNOWN: Self =
        Self { amount: f64::NAN, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

    /// Until when the next adjustment would be valid.
    pub(crate) fn valid_until_from(now: f64) -> f64 {
        now + MAX_VALIDITY
    }

    /// An adjustment by what is granted, and by what is held until `until` at least.
    pub(crate) fn from_leases(granted: f64, held: f64, has_indivisible_units: bool, until: f64) -> Self {
        let held = if held > 0.0 && has_indivisible_units { held + UNIT_EPSILON } else { held };
        Self {
            amount: held - granted,
            amount_after_expiry: -granted,
            valid_until: if held > 0.0 { until } else { f64::INFINITY },
        }
    }

    /// When an adjustment is to be renewed.
    pub(crate) fn renew_at(&self) -> f64 {
        self.valid_until - MAX_VALIDITY / 2.0
    }

    /// Whether this adjustment, published before, has the amounts of `new` and need not be renewed yet.
    pub(crate) fn still_covers(&self, new: &Self, now: f64) -> bool {
        let has_same_amounts =
            self.amount == new.amount && self.amount_after_expiry == new.amount_after_expiry;
        has_same_amounts && (self.valid_until == new.valid_until || self.renew_at() > now)
    }
}
