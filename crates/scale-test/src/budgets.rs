//! What all gateways together might use of a budget at the same time, against what there is of it. Of each
//! second the lowest figure of each gateway is added up: at some moment of it all had at least that. So a sum
//! over the bound is a broken bound, and one under it proves nothing of moments shorter than a second.

use crate::host_protocol::Minimum;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The part of what is shared that goes by the count alone, as a budget of its own.
const SHARE: &str = "share";

/// Part by which sums of many figures may be over for want of digits.
const HAIR: f64 = 1e-6;

/// Seconds for which readings of a second may still come.
const OPEN: u64 = 20;

/// A budget at its worst.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorstTotal {
    /// What all together might use, where that was most as a part of the bound.
    pub sum: f64,
    pub bound: f64,
    /// Seconds that were added up, and gateways in them at the least and the most.
    pub seconds: u64,
    pub gateways: (usize, usize),
    /// Seconds in which the sum was over the bound, and the play that was on in the first.
    pub broken: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub during: Option<String>,
}

#[derive(Default)]
struct Second {
    seen: BTreeSet<usize>,
    /// Sum, and what there is.
    sums: BTreeMap<String, (f64, f64)>,
}

pub struct BudgetTotals {
    /// Gateways that there may be.
    most: f64,
    open: BTreeMap<u64, Second>,
    /// Seconds up to which all were added up.
    done: u64,
    worst: BTreeMap<String, WorstTotal>,
    /// Plays by the second in which they began.
    plays: Vec<(u64, String)>,
}

impl BudgetTotals {
    pub fn new(most: usize) -> Self {
        let (open, worst) = (BTreeMap::new(), BTreeMap::new());
        Self { most: most as f64, open, done: 0, worst, plays: Vec::new() }
    }

    /// A play begins.
    pub fn begin_play(&mut self, now: f64, label: &str) {
        self.plays.push((now as u64, label.to_owned()));
    }

    /// The least that a gateway could use in a second.
    pub fn record_minimum(&mut self, gateway: usize, low: &Minimum) {
        if low.second <= self.done {
            return;
        }
        let second = self.open.entry(low.second).or_default();
        // Of two processes of one name in one second the first alone counts: they were not there together.
        if !second.seen.insert(gateway) {
            return;
        }
        let share = (SHARE, (1.0, low.fraction));
        let budgets = low.budgets.iter().map(|(name, figures)| (name.as_str(), *figures));
        for (name, (part, allowed)) in budgets.chain([share]) {
            let sum = second.sums.entry(name.to_owned()).or_insert((0.0, 0.0));
            *sum = (sum.0 + allowed, sum.1.max(part * self.most));
        }
    }

    /// Adds up the seconds of which no more readings come.
    pub fn close_seconds(&mut self, now: f64) {
        let until = (now as u64).saturating_sub(OPEN);
        while let Some(entry) = self.open.first_entry().filter(|e| *e.key() < until) {
            self.done = *entry.key();
            let second = entry.remove();
            self.close(second);
        }
    }

    fn close(&mut self, second: Second) {
        let gateways = second.seen.len();
        for (name, (sum, bound)) in second.sums {
            let worst = self.worst.entry(name).or_insert_with(|| WorstTotal {
                sum,
                bound,
                seconds: 0,
                gateways: (gateways, gateways),
                broken: 0,
                during: None,
            });
            if sum / bound > worst.sum / worst.bound {
                (worst.sum, worst.bound) = (sum, bound);
            }
            worst.seconds += 1;
            worst.gateways = (worst.gateways.0.min(gateways), worst.gateways.1.max(gateways));
            if sum > bound * (1.0 + HAIR) {
                worst.broken += 1;
                let play = self.plays.iter().rev().find(|(from, _)| *from <= self.done);
                worst.during = worst.during.take().or(play.map(|(_, label)| label.clone()));
            }
        }
    }

    /// All budgets at their worst.
    pub fn finish(mut self) -> BTreeMap<String, WorstTotal> {
        for (at, second) in std::mem::take(&mut self.open) {
            self.done = at;
            self.close(second);
        }
        self.worst
    }
}
