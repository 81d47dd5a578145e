//! Setup and assertions that tests of clusters share: a converged cluster, and checks of its quotas.

use super::SimulatedNetwork;
use milletpath_membership::MembershipConfig;

/// Rounding error allowed in the sum of all quota fractions.
const TOLERANCE: f64 = 1e-9;

/// Size of the largest cluster whose quota sum is checked after every event; for larger ones the check takes too long.
const MAX_CHECKED_SIZE: usize = 30;

/// Returns a configuration without a budget window, so that the sum of the quota fractions is checked as strictly as
/// possible.
pub fn strict_config() -> MembershipConfig {
    MembershipConfig { budget_window: 0.0, floor: 0.5, ..MembershipConfig::default() }
}

/// Returns a cluster in which all gateways see each other as alive.
pub fn converged_network(size: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(size, 1.max(size / 8), strict_config(), seed);
    network.check_quota_sum = size <= MAX_CHECKED_SIZE;
    network.start_all();
    network.run_until(10.0);
    assert!(network.all_agree(), "{size} gateways did not agree within 10 s");
    network
}

/// Asserts that the gateways together never exceeded the shared budgets.
pub fn assert_quota_respected(network: &SimulatedNetwork) {
    let excess = network.worst_excess;
    assert!(
        excess.amount < TOLERANCE,
        "the budgets were exceeded by a fraction of {} at {:.3} s",
        excess.amount,
        excess.at
    );
}

/// Asserts that the budgets were never exceeded, and that the gateways may now use the given fraction of them.
pub fn assert_used(network: &SimulatedNetwork, fraction: f64) {
    assert_quota_respected(network);
    let used = network.used_fraction();
    assert!((used - fraction).abs() < TOLERANCE, "the gateways may use a fraction of {used}, not {fraction}");
}

/// Asserts that all running gateways agree on the members and that they may use the whole budgets.
pub fn assert_converged(network: &SimulatedNetwork) {
    assert!(network.all_agree(), "the running gateways disagree on the members");
    assert_used(network, 1.0);
}
