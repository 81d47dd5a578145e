//! What the tests of clusters share: a converged cluster, and the checks of its quotas.

use super::SimulatedNetwork;
use milletpath_membership::MembershipConfig;

/// Rounding error that the sum of all quota fractions may have.
const TOLERANCE: f64 = 1e-9;

/// Largest cluster whose quota sum is checked after every event; beyond that it takes too long.
const LARGEST_CHECKED: usize = 30;

/// No averaging over a window, so that the sum of the quota fractions is checked as strictly as possible.
pub fn strict_config() -> MembershipConfig {
    MembershipConfig { budget_window: 0.0, floor: 0.5, ..MembershipConfig::default() }
}

/// A cluster in which all gateways take each other for alive.
pub fn converged_network(size: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(size, 1.max(size / 8), strict_config(), seed);
    network.check_quota_sum = size <= LARGEST_CHECKED;
    network.start_all();
    network.run_until(10.0);
    assert!(network.all_agree(), "{size} gateways agree within 10 s");
    network
}

/// Checks that all gateways together never exceeded the shared budgets.
pub fn assert_quota_respected(network: &SimulatedNetwork) {
    let excess = network.worst_excess;
    assert!(excess.amount < TOLERANCE, "exceeded by {} at {:.3} s", excess.amount, excess.at);
}

/// Checks that the budgets were never exceeded, and that this fraction of them is used now.
pub fn assert_used(network: &SimulatedNetwork, fraction: f64) {
    assert_quota_respected(network);
    let used = network.used_fraction();
    assert!((used - fraction).abs() < TOLERANCE, "{used} is used, not {fraction}");
}

/// Checks that all running gateways agree on the members and that nothing of the budgets is left unused.
pub fn assert_converged(network: &SimulatedNetwork) {
    assert!(network.all_agree(), "all running gateways agree on the members");
    assert_used(network, 1.0);
}
