//! This router's share of the budgets that all routers share: its quota fraction and its leases.

use crate::effects::Budget;
use std::collections::BTreeMap;

/// A value that changes once, at a time known in advance.
#[derive(Clone, Copy)]
pub(crate) struct Step {
    pub(crate) before: f64,
    pub(crate) after: f64,
    pub(crate) until: f64,
}

impl Step {
    fn at(self, now: f64) -> f64 {
        if now >= self.until { self.after } else { self.before }
    }
}

pub(crate) struct FleetBudgets {
    quota_fraction: Step,
    /// Lease of each budget, in units beyond this router's share; negative if it has leased some out.
    leases: BTreeMap<Budget, Step>,
    /// Budgets that prevented an action since the host was last notified.
    exhausted: Vec<Budget>,
}

impl FleetBudgets {
    pub(crate) fn new() -> Self {
        let quota_fraction = Step { before: 1.0, after: 1.0, until: f64::INFINITY };
        Self { quota_fraction, leases: BTreeMap::new(), exhausted: Vec::new() }
    }

    /// Sets the fraction of its configured share that this router may use.
    pub(crate) fn set_quota_fraction(&mut self, quota_fraction: Step) {
        self.quota_fraction = quota_fraction;
    }

    /// Sets a lease, in the budget's units.
    pub(crate) fn set_lease(&mut self, budget: Budget, lease: Step) {
        self.leases.insert(budget, lease);
    }

    pub(crate) fn quota_fraction(&self, now: f64) -> f64 {
        self.quota_fraction.at(now)
    }

    /// Units of a budget that this router may use now; `own` is its configured share.
    pub(crate) fn allowed(&self, now: f64, budget: Budget, own: f64) -> f64 {
        let lease = self.leases.get(&budget).map_or(0.0, |lease| lease.at(now));
        (own * self.quota_fraction(now) + lease).max(0.0)
    }

    /// Records that a budget was exhausted.
    pub(crate) fn record_exhausted(&mut self, budget: Budget) {
        self.exhausted.push(budget);
    }

    pub(crate) fn take_exhausted(&mut self) -> impl Iterator<Item = Budget> {
        self.exhausted.drain(..)
    }
}
