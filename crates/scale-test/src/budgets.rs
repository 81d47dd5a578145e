//! What all gateways together may use of a shared budget at one moment, against what there is of it. For each second the
//! lowest level of each gateway is added up: at some moment of that second all of them had at least this. A sum over the
//! bound is therefore a broken bound, and a sum under it proves nothing about moments shorter than a second.

use crate::host_protocol::Minimum;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The name under which the fractions by the number of gateways alone are added up, as a budget of their own.
const FRACTION_BUDGET: &str = "share";

/// Relative rounding error that the sum of many levels may have.
const TOLERANCE: f64 = 1e-6;

/// Seconds for which levels of a past second may still arrive.
const LATE_ARRIVAL_SECONDS: u64 = 20;

/// The worst total of one budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorstTotal {
    /// What all gateways together might use, in the second in which that was most relative to the bound.
    pub sum: f64,
    /// What there was in that second.
    pub bound: f64,
    /// Seconds that were added up.
    pub seconds: u64,
    /// How many gateways were added up in a second.
    pub gateways: CountRange,
    /// Seconds in which the sum was over the bound.
    #[serde(rename = "broken")]
    pub broken_seconds: u64,
    /// The play in the first of these seconds.
    #[serde(rename = "during", skip_serializing_if = "Option::is_none")]
    pub first_broken_in: Option<String>,
}

/// The fewest and the most of several counts. In JSON it is an array of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 2]")]
pub struct CountRange {
    /// The lowest count.
    pub fewest: usize,
    /// The highest count.
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

/// What was added up of one budget in one second.
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

/// One second that is still open.
#[derive(Default)]
struct OpenSecond {
    gateways: BTreeSet<usize>,
    totals: BTreeMap<String, SecondTotal>,
}

/// A play, by the second in which it began.
struct PlayStart {
    second: u64,
    label: String,
}

/// Adds up the budget levels of all gateways, second by second.
pub struct BudgetTotals {
    max_gateways: f64,
    open_seconds: BTreeMap<u64, OpenSecond>,
    /// The latest second that is closed.
    closed_until: u64,
    worst: BTreeMap<String, WorstTotal>,
    plays: Vec<PlayStart>,
}

impl BudgetTotals {
    /// No levels yet, of at most this many gateways.
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

    /// A play begins, at a time in seconds.
    pub fn begin_play(&mut self, now: f64, label: &str) {
        self.plays.push(PlayStart { second: now as u64, label: label.to_owned() });
    }

    /// Adds the lowest level of a gateway in a second. One of a closed second is ignored.
    pub fn record_minimum(&mut self, gateway: usize, minimum: &Minimum) {
        if minimum.second <= self.closed_until {
            return;
        }
        let second = self.open_seconds.entry(minimum.second).or_default();
        // Of two processes of one gateway in one second the first alone counts: they did not run at the same time.
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

    /// Closes the seconds for which no more levels arrive.
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

    /// Closes all seconds, and gives the worst total of each budget by its name.
    #[must_use]
    pub fn finish(mut self) -> BTreeMap<String, WorstTotal> {
        for (at, second) in std::mem::take(&mut self.open_seconds) {
            self.close(at, second);
        }
        self.worst
    }
}
