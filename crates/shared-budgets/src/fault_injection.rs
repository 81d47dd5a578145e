//! Protocol faults that tests inject to verify that they are detected.

/// Steps of the lease protocol to omit. Tests set them to prove that their checks detect the resulting violations.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    /// Leases granted to others are not subtracted from what this gateway may use.
    pub grants_not_subtracted: bool,
    /// The lender ends a lease as early as the borrower does, without a margin for clock drift and units still in use.
    pub grant_ends_with_lease: bool,
    /// A new process uses its full quota immediately instead of waiting for its predecessor's grants to end.
    pub starts_with_full_quota: bool,
    /// Requests declare units as released although they may still be in use.
    pub releases_units_in_use: bool,
}
