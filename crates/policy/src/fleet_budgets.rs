//! This router's part of the budgets that all routers share: its quota fraction, and what it was allotted beside.

use crate::effects::Budget;
use std::collections::BTreeMap;

/// A figure that changes once, at a time that is known before.
#[derive(Clone, Copy)]
struct Step {
    before: f64,
    after: f64,
    until: f64,
}

impl Step {
    fn at(self, now: f64) -> f64 {
        if now >= self.until { self.after } else { self.before }
    }
}

pub(crate) struct FleetBudgets {
    part: Step,
    /// Units of a budget beside this router's part.
    allotted: BTreeMap<Budget, Step>,
    /// Budgets that something was not done for want of, since the host was last notified.
    lacked: Vec<Budget>,
}

impl FleetBudgets {
    pub(crate) fn new() -> Self {
        let part = Step { before: 1.0, after: 1.0, until: f64::INFINITY };
        Self { part, allotted: BTreeMap::new(), lacked: Vec::new() }
    }

    /// Sets the fraction of its configured part that this router has until a time, and from then on.
    pub(crate) fn share(&mut self, part: [f64; 2], until: f64) {
        let [before, after] = part;
        self.part = Step { before, after, until };
    }

    /// Sets the units that it has beside, until a time and from then on.
    pub(crate) fn allot(&mut self, what: Budget, more: [f64; 2], until: f64) {
        let [before, after] = more;
        self.allotted.insert(what, Step { before, after, until });
    }

    pub(crate) fn part(&self, now: f64) -> f64 {
        self.part.at(now)
    }

    /// What this router may use of a budget now, of which it has `own` by its configuration.
    pub(crate) fn allowed(&self, now: f64, what: Budget, own: f64) -> f64 {
        let more = self.allotted.get(&what).map_or(0.0, |more| more.at(now));
        (own * self.part(now) + more).max(0.0)
    }

    /// Notes that something was not done for want of a budget.
    pub(crate) fn lack(&mut self, what: Budget) {
        self.lacked.push(what);
    }

    pub(crate) fn take_lacked(&mut self) -> impl Iterator<Item = Budget> {
        self.lacked.drain(..)
    }
}
