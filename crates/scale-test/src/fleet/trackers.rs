//! Trackers of a fleet's observed state: membership views, propagation of configuration changes, and budget totals.

use crate::budgets::BudgetTotals;
use crate::change_propagation::ChangePropagation;
use crate::membership_tracker::MembershipTracker;

/// The trackers of a run.
pub struct Trackers {
    /// Running gateways and their views of each other.
    pub membership: MembershipTracker,
    /// Configuration changes applied by each gateway.
    pub changes: ChangePropagation,
    /// Totals of the shared budgets over all gateways.
    pub budgets: BudgetTotals,
}

impl Trackers {
    /// Creates trackers for a fleet of this size in which no gateway runs yet.
    pub fn new(gateways: usize, now: f64) -> Self {
        Self {
            membership: MembershipTracker::new(gateways, now),
            changes: ChangePropagation::new(gateways, now),
            budgets: BudgetTotals::new(gateways),
        }
    }

    /// Records the start of a gateway.
    pub fn gateway_started(&mut self, gateway: usize, at: f64) {
        self.membership.record_start(gateway, at);
        self.changes.record_start(gateway, at);
    }

    /// Records the stop of a gateway.
    pub fn gateway_stopped(&mut self, gateway: usize, at: f64) {
        self.membership.record_stop(gateway, at);
        self.changes.record_stop(gateway);
    }

    /// Whether every running gateway has the correct view of all others.
    pub fn is_membership_converged(&self) -> bool {
        self.membership.converged_observers() == self.membership.running_count()
    }
}
