//! The settings that all gateways of one cluster share, and the clock error that the quorum proof allows for.

/// Largest relative rate error of a gateway's clock against true time, as a fraction. Quartz clocks stay well below it.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Factor that lengthens a wait on the local clock so that it outlasts the same wait on the slowest clock.
///
/// The fastest and the slowest clock differ by `(1 + d) / (1 - d)`, which is at most `1 + 3 d` for `d <= 1/3`.
pub(crate) const CLOCK_MARGIN: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// Settings of the membership protocol. All gateways of a cluster should use the same values.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Seconds between two probes of a gateway.
    pub period: f64,
    /// Seconds for which an assertion counts as proof.
    pub lease: f64,
    /// Fraction of its even quota, from 0 to 1, that a gateway without a quorum may use.
    pub floor: f64,
    /// Longest window, in seconds, over which shared budgets are counted.
    pub budget_window: f64,
}

impl Default for MembershipConfig {
    /// At two and a half probes a second a death is found within some seconds, for about 2 kB/s per gateway. Assertions
    /// travel among dozens of gateways within three seconds. With a floor of 1 an isolated gateway keeps what it would
    /// have if nothing were shared.
    fn default() -> Self {
        Self { period: 0.4, lease: 3.0, floor: 1.0, budget_window: 10.0 }
    }
}
