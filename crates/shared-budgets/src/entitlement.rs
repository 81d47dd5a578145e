//! The fraction of its quotas that a gateway is entitled to use.

/// The fraction of its quotas that a gateway is entitled to, as proved by `milletpath-membership` from the number of
/// gateways that may be running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// The fraction until `valid_until`; 1 is the gateway's quota if all configured gateways are running.
    pub fraction: f64,
    /// The fraction from `valid_until` on, if it is less than `fraction`.
    pub floor_fraction: f64,
    /// When the proof of `fraction` expires, in seconds on the caller's clock.
    pub valid_until: f64,
}

impl Entitlement {
    /// Exactly the quota, without expiry: the entitlement of a gateway before the first proof.
    pub(crate) const FULL_QUOTA: Self =
        Self { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY };

    /// The fraction in effect at the given time.
    pub(crate) fn fraction_at(&self, when: f64) -> f64 {
        if when < self.valid_until { self.fraction } else { self.floor_fraction.min(self.fraction) }
    }
}
