//! The fraction of its quotas that a gateway may count as its own.

/// What fraction of its quotas a gateway may count as its own, as `milletpath-membership` proves it from the number of
/// gateways that can be there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// The fraction until `valid_until`; 1 is the gateway's quota among all gateways of the configuration.
    pub fraction: f64,
    /// The fraction from `valid_until` on, if that is less than `fraction`.
    pub floor_fraction: f64,
    /// When the proof of `fraction` ends, in seconds on the caller's clock.
    pub valid_until: f64,
}

impl Entitlement {
    /// Exactly the quota, for ever: what a gateway has before anything is proven.
    pub(crate) const FULL_QUOTA: Self =
        Self { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY };

    /// The fraction that holds at a time.
    pub(crate) fn fraction_at(&self, when: f64) -> f64 {
        if when < self.valid_until { self.fraction } else { self.floor_fraction.min(self.fraction) }
    }
}
