//! What is observed of a fleet: who takes whom for alive, which configuration changes are applied where, and what budgets
//! allow.

use crate::budgets::BudgetTotals;
use crate::change_propagation::ChangePropagation;
use crate::membership_tracker::MembershipTracker;

/// The trackers of a run.
pub struct Trackers {
    /// Who runs, and who takes whom for alive.
    pub membership: MembershipTracker,
    /// Which configuration changes each gateway applied.
    pub changes: ChangePropagation,
    /// What budgets allow all gateways together.
    pub budgets: BudgetTotals,
}

impl Trackers {
    /// Trackers of that many gateways, none of which runs.
    pub fn new(gateways: usize, now: f64) -> Self {
        Self {
            membership: MembershipTracker::new(gateways, now),
            changes: ChangePropagation::new(gateways, now),
            budgets: BudgetTotals::new(gateways),
        }
    }

    /// A gateway started.
    pub fn gateway_started(&mut self, gateway: usize, at: f64) {
        self.membership.record_start(gateway, at);
        self.changes.record_start(gateway, at);
    }

    /// A gateway stopped.
    pub fn gateway_stopped(&mut self, gateway: usize, at: f64) {
        self.membership.record_stop(gateway, at);
        self.changes.record_stop(gateway);
    }

    /// Whether all gateways that run know which others do.
    pub fn is_membership_converged(&self) -> bool {
        self.membership.converged_observers() == self.membership.running_count()
    }
}
