//! Checks that all gateways together stay within each shared budget. For each second the lowest level of each gateway
//! is summed: at some moment of that second every gateway was allowed at least that much. A sum over the bound is
//! therefore a real violation, while a sum under it proves nothing about moments shorter than a second.

use crate::host_protocol::Minimum;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the pseudo-budget that sums the gateways' fractions, which follow from the number of gateways without
/// leases.
const FRACTION_BUDGET: &str = "share";

/// Relative rounding error allowed in the sum of many levels.
const TOLERANCE: f64 = 1e-6;

/// How long a second stays open for levels that arrive late.
const LATE_ARRIVAL_SECONDS: u64 = 20;

/// The second in which the total of a budget came closest to its bound or exceeded it most.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorstTotal {
    /// What all gateways together were allowed, in the second with the highest ratio of sum to bound.
    pub sum: f64,
    /// The bound in that second.
    pub bound: f64,
    /// Number of seconds that were checked.
    pub seconds: u64,
    /// Fewest and most gateways that reported in a second.
    pub gateways: CountRange,
    /// Number of seconds in which the sum exceeded the bound.
    #[serde(rename = "broken")]
    pub broken_seconds: u64,
    /// Label of the play during the first of these seconds.
    #[serde(rename = "during", skip_serializing_if = "Option::is_none")]
    pub first_broken_in: Option<String>,
}

/// The lowest and the highest of several counts, as a two-element array in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 2]")]
pub struct CountRange {
    /// Lowest count.
    pub fewest: usize,
    /// Highest count.
    pub most: usize,
}

impl CountRange {
    fn single(count: usize) -> Self {
        Self { fewest: count, most: count }
    }

    fn extended_to(self, count: usize) -> Self {
        Self { fewest: self.fewest.min(count), most: self.most.max(count) }
    }
}

impl From<CountRange> for [usize; 2] {
    fn from(range: CountRange) -> Self {
        [range.fewest, range.most]
    }
}

/// Sum and bound of one budget in one second.
#[derive(Clone, Copy, Default)]
struct SecondTotal {
    sum: f64,
    bound: f64,
}

impl SecondTotal {
    fn is_over_bound(self) -> bool {
        self.sum > self.bound * (1.0 + TOLERANCE)
    }
}

/// Levels of a second for which more may still arrive.
#[derive(Default)]
struct OpenSecond {
    gateways: BTreeSet<usize>,
    totals: BTreeMap<String, SecondTotal>,
}

/// The second in which a play began, and its label.
struct PlayStart {
    second: u64,
    label: String,
}

/// Sums the budget levels of all gateways for each second.
pub struct BudgetTotals {
    max_gateways: f64,
    open_seconds: BTreeMap<u64, OpenSecond>,
    /// Latest second that is closed.
    closed_until: u64,
    worst: BTreeMap<String, WorstTotal>,
    plays: Vec<PlayStart>,
}

impl BudgetTotals {
    /// Creates an empty tracker for at most `max_gateways` gateways.
    #[must_use]
    pub fn new(max_gateways: usize) -> Self {
        Self {
            max_gateways: max_gateways as f64,
            open_seconds: BTreeMap::new(),
            closed_until: 0,
            worst: BTreeMap::new(),
            plays: Vec::new(),
        }
    }

    /// Records that a play begins at `now`, in seconds on the machine's monotonic clock.
    pub fn begin_play(&mut self, now: f64, label: &str) {
        self.plays.push(PlayStart { second: now as u64, label: label.to_owned() });
    }

    /// Adds the lowest level of a gateway in a second. Levels of seconds that are already closed are ignored.
    pub fn record_minimum(&mut self, gateway: usize, minimum: &Minimum) {
        if minimum.second <= self.closed_until {
            return;
        }
        let second = self.open_seconds.entry(minimum.second).or_default();
        // If a gateway restarts within a second, only the first process counts: the two did not run at the same time.
        if !second.gateways.insert(gateway) {
            return;
        }
        let mut add = |budget: &str, quota: f64, allowed: f64| {
            let total = second.totals.entry(budget.to_owned()).or_default();
            total.sum += allowed;
            total.bound = total.bound.max(quota * self.max_gateways);
        };
        minimum.budgets.iter().for_each(|(budget, level)| add(budget, level.quota, level.allowed));
        add(FRACTION_BUDGET, 1.0, minimum.fraction);
    }

    /// Closes the seconds for which no more levels are expected.
    pub fn close_seconds(&mut self, now: f64) {
        let end = (now as u64).saturating_sub(LATE_ARRIVAL_SECONDS);
        while let Some(entry) = self.open_seconds.first_entry().filter(|entry| *entry.key() < end) {
            let (at, second) = entry.remove_entry();
            self.close(at, second);
        }
    }

    fn close(&mut self, at: u64, second: OpenSecond) {
        self.closed_until = at;
        let gateways = second.gateways.len();
        for (budget, total) in second.totals {
            let worst = self.worst.entry(budget).or_insert_with(|| WorstTotal {
                sum: total.sum,
                bound: total.bound,
                seconds: 0,
                gateways: CountRange::single(gateways),
                broken_seconds: 0,
                first_broken_in: None,
            });
            if total.sum / total.bound > worst.sum / worst.bound {
                (worst.sum, worst.bound) = (total.sum, total.bound);
            }
            worst.seconds += 1;
            worst.gateways = worst.gateways.extended_to(gateways);
            if total.is_over_bound() {
                worst.broken_seconds += 1;
                if worst.first_broken_in.is_none() {
                    let play = self.plays.iter().rfind(|play| play.second <= at);
                    worst.first_broken_in = play.map(|play| play.label.clone());
                }
            }
        }
    }

    /// Closes all seconds and returns the worst total of each budget, keyed by name.
    #[must_use]
    pub fn finish(mut self) -> BTreeMap<String, WorstTotal> {
        for (at, second) in std::mem::take(&mut self.open_seconds) {
            self.close(at, second);
        }
        self.worst
    }
}
