//! What all gateways together send cold workers, read off a day's records: in any window of the stated length, against
//! the calls of mean work that the worker may be sent in it, and what is put down to chance beyond them.

use milletpath_standin::script::Day;
use milletpath_witness::{Record, Saw};
use std::collections::{BTreeMap, VecDeque};

/// The fullest windows of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cold {
    /// The calls of one window, as a part of its budget of N; and as a part of N + 2 x root of N + 2.
    pub of_budget: f64,
    pub of_bound: f64,
    /// Calls that came to cold workers.
    pub calls: u64,
}

pub fn cold(day: &Day, records: &[Record]) -> Cold {
    let make = &day.make;
    let mut started: BTreeMap<usize, (f64, f64, VecDeque<f64>)> = BTreeMap::new();
    let mut worst = Cold::default();
    for Record { at, saw } in records {
        match saw {
            Saw::Started { worker, capacity, warm: false } => {
                started.insert(*worker, (*at, *capacity, VecDeque::new()));
            }
            Saw::Came { worker, .. } => {
                let Some((since, capacity, came)) = started.get_mut(worker) else { continue };
                let warmth = (at - *since) / make.warm_up.max(1e-9);
                if warmth >= 1.0 {
                    started.remove(worker);
                    continue;
                }
                came.push_back(*at);
                while came.front().is_some_and(|first| at - first > make.tip_window) {
                    came.pop_front();
                }
                let able =
                    *capacity * (make.cold_share + (1.0 - make.cold_share) * warmth) / day.traffic.work;
                let budget = make.tip_multiple * able * make.tip_window;
                let calls = came.len() as f64;
                worst.calls += 1;
                worst.of_budget = worst.of_budget.max(calls / budget);
                worst.of_bound = worst.of_bound.max(calls / (budget + 2.0 * budget.sqrt() + 2.0));
            }
            _ => {}
        }
    }
    worst
}
