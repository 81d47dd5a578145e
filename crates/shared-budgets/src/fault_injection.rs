//! Faults that tests inject to see that they are detected.

/// Steps of the lease protocol that are left out. Tests inject them to prove that their checks would notice.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    /// What is granted to others is not subtracted from what this gateway may use.
    pub grants_not_subtracted: bool,
    /// A lease ends at the lender at the same time as at the borrower.
    pub grant_ends_with_lease: bool,
    /// A process that starts has its full quota at once, without waiting for its predecessor's grants to end.
    pub starts_with_full_quota: bool,
    /// Requests state that units are released although they may still be in use.
    pub releases_units_in_use: bool,
}
