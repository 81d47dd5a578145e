//! The settings shared by all gateways of a cluster, and the clock drift that the quorum proof tolerates.

/// Largest tolerated rate error of a gateway's clock relative to true time, as a fraction. The drift of quartz clocks
/// is far smaller.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Factor by which a local wait is lengthened so that it ends no earlier than the same wait on the slowest clock.
///
/// The fastest and the slowest clock differ by `(1 + d) / (1 - d)`, which is at most `1 + 3 d` for `d <= 1/3`.
pub(crate) const CLOCK_MARGIN: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// Settings of the membership protocol. All gateways of a cluster should have the same values.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Protocol period in seconds: the interval between the probes that a gateway starts.
    pub period: f64,
    /// Seconds for which an assertion is valid as part of a quorum proof.
    pub lease: f64,
    /// Fraction of its even quota, from 0 to 1, that a gateway without a quorum may use.
    pub floor: f64,
    /// Longest time window, in seconds, over which the use of a shared budget is measured.
    pub budget_window: f64,
}

impl Default for MembershipConfig {
    /// At 2.5 probes per second, a dead gateway is detected within a few seconds at a cost of about 2 kB/s per
    /// gateway. Assertions reach dozens of gateways within three seconds. With a floor of 1, an isolated gateway may
    /// use as much as it could if budgets were not shared.
    fn default() -> Self {
        Self { period: 0.4, lease: 3.0, floor: 1.0, budget_window: 10.0 }
    }
}
