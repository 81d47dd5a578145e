//! Computes the minimum of each budget within each second from individual readings.

use std::collections::BTreeMap;

/// What one gateway may use of one budget, in the unit of that budget: requests per second, load requests per window,
/// or requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLevel {
    /// Its quota according to the number of gateways, without leases.
    pub quota: f64,
    /// What it may use, taking into account leases granted and held.
    pub allowed: f64,
}

/// The minimums of one second: what the gateway could use at any moment within it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondMinimum {
    /// The second, as a whole number on [`clock`](crate::hollow_gateway::clock).
    pub second: u64,
    /// The gateway's quota fraction, as a multiple of one gateway's share among the configured number of gateways.
    pub fraction: f64,
    /// The level of each budget, by name.
    pub budgets: BTreeMap<String, BudgetLevel>,
}

impl SecondMinimum {
    /// Lowers each value to that of another reading. Budgets that are not open in both are left out.
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

/// Computes minimums from individual readings. A lender subtracts a lease from before the borrower gets it until after
/// the borrower has returned it. With readings this frequent, a lease that a borrower held at all its readings of a
/// second was therefore subtracted at one or more of the lender's readings. Seconds with too few readings are left out,
/// including the first one.
#[derive(Clone, Debug, Default)]
pub struct MinimumTracker {
    minimum: Option<SecondMinimum>,
    /// Number of readings within that second so far.
    readings: u32,
    /// Time of the last reading, in seconds on [`clock`](crate::hollow_gateway::clock).
    last: f64,
    /// The longest interval between two readings within that second, in seconds.
    gap: f64,
}

impl MinimumTracker {
    /// Adds a reading taken at `at`, in seconds. The first reading of a new second returns the minimum of the previous
    /// one, if that has enough readings.
    pub fn record(
        &mut self,
        at: f64,
        fraction: f64,
        budgets: BTreeMap<String, BudgetLevel>,
    ) -> Option<SecondMinimum> {
        /// Minimum number of readings within a second.
        const MIN_READINGS: u32 = 3;
        /// Maximum interval between two of them, in seconds.
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
