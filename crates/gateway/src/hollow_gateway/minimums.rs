//! The minimum of each budget within each second, from single readings.

use std::collections::BTreeMap;

/// What one gateway may use of one budget, in units of that budget: requests a second, load requests in a window, or
/// requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLevel {
    /// Its quota by the number of gateways alone.
    pub quota: f64,
    /// What it might use, with leases granted and held.
    pub allowed: f64,
}

/// The minimums of one second: at every moment of it the gateway could use at least so much.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondMinimum {
    /// The whole second, on [`clock`](crate::hollow_gateway::clock).
    pub second: u64,
    /// Its quota fraction, as a multiple of one gateway's part among the configured number.
    pub fraction: f64,
    /// The level of each budget by its name.
    pub budgets: BTreeMap<String, BudgetLevel>,
}

impl SecondMinimum {
    /// Lowers each figure to that of another reading. A budget that is not open in both is left out.
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

/// Computes minimums from single readings. A lender subtracts a lease before the borrower has it, and until after: so if a
/// borrower had it at all its readings of a second, which lie this close, then the lender lacked it at one of its own.
/// Seconds with fewer readings are left out, the first one among them.
#[derive(Clone, Debug, Default)]
pub struct MinimumTracker {
    minimum: Option<SecondMinimum>,
    /// Readings of that second so far.
    readings: u32,
    /// When the last reading was, in seconds on [`clock`](crate::hollow_gateway::clock).
    last: f64,
    /// The longest time between two readings of that second, in seconds.
    gap: f64,
}

impl MinimumTracker {
    /// Adds a reading at the time `at`, in seconds; gives the minimum of the second before it, once that is complete.
    pub fn record(
        &mut self,
        at: f64,
        fraction: f64,
        budgets: BTreeMap<String, BudgetLevel>,
    ) -> Option<SecondMinimum> {
        /// Readings that a second must have.
        const MIN_READINGS: u32 = 3;
        /// Seconds between two of them at most.
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
