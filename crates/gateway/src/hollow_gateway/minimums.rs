//! The lowest figures of each second of a gateway's budgets, from single readings.

use std::collections::BTreeMap;

/// What one gateway may use of one budget, in units of that budget (requests a second, orders in a window, requests in
/// flight).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLevel {
    /// Its part by the number of gateways alone.
    pub quota: f64,
    /// What it might use, with what was lent and borrowed.
    pub allowed: f64,
}

/// The lowest figures of one second: at every moment of it the gateway could use at least so much.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondMinimum {
    /// The whole second, on [`clock`](crate::hollow_gateway::clock).
    pub second: u64,
    /// Its part of what is shared, as a multiple of one in the most.
    pub fraction: f64,
    /// The level of each budget by its name.
    pub budgets: BTreeMap<String, BudgetLevel>,
}

impl SecondMinimum {
    /// Lower where the other is. A budget that was not open all the while counts as none.
    fn lower_to(&mut self, other: &SecondMinimum) {
        self.fraction = self.fraction.min(other.fraction);
        self.budgets.retain(|name, _| other.budgets.contains_key(name));
        for (name, level) in &mut self.budgets {
            let reading = other.budgets[name];
            level.quota = level.quota.min(reading.quota);
            level.allowed = level.allowed.min(reading.allowed);
        }
    }
}

/// MinimumTracker from single readings. A loan is subtracted by the lender before the borrower has it, and until after:
/// so a borrower that had it at all its readings of a second, which lie this close, has a lender that lacked
/// it at one of its own. Seconds with fewer readings, the first ones among them, are left out.
#[derive(Clone, Debug, Default)]
pub struct MinimumTracker {
    minimum: Option<SecondMinimum>,
    /// Readings of that second, and when the last was.
    readings: u32,
    last: f64,
    gap: f64,
}

impl MinimumTracker {
    /// One more reading; gives the second before, once it is over.
    pub fn record(
        &mut self,
        at: f64,
        fraction: f64,
        budgets: BTreeMap<String, BudgetLevel>,
    ) -> Option<SecondMinimum> {
        /// Readings that a second must have, and seconds between two of them at most.
        const MIN_READINGS: u32 = 3;
        const MAX_GAP_SECONDS: f64 = 0.45;
        let reading = SecondMinimum { second: at as u64, fraction, budgets };
        let finished = match &mut self.minimum {
            Some(minimum) if minimum.second == reading.second => {
                minimum.lower_to(&reading);
                (self.readings, self.gap) = (self.readings + 1, self.gap.max(at - self.last));
                None
            }
            minimum => {
                let is_complete = self.readings >= MIN_READINGS && self.gap <= MAX_GAP_SECONDS;
                (self.readings, self.gap) = (1, 0.0);
                minimum.replace(reading).filter(|_| is_complete)
            }
        };
        self.last = at;
        finished
    }
}
