//! Calls of each client group that reached a worker within any ten seconds.

use super::{BoundReport, SharedBudgetBounds};
use crate::event::{HistoryEvent, HistoryRecord};
use crate::sliding_window::SlidingWindow;
use std::collections::{BTreeMap, BTreeSet};

const WINDOW: f64 = 10.0;

/// The burst that a gateway may admit at once, in seconds of its rate, but at least one call.
const BURST_SECONDS: f64 = 0.5;

/// Seconds within which an admitted call is sent: half a second in the queue plus the time to connect.
const MAX_SEND_DELAY: f64 = 0.75;

/// Checks the calls of each client group against its rate ceiling.
pub(super) fn bound(records: &[HistoryRecord], budgets: &SharedBudgetBounds) -> BoundReport {
    let seconds = WINDOW + BURST_SECONDS + MAX_SEND_DELAY + 2.0 * budgets.rules.tolerance;
    let mut bound = BoundReport::default();
    let mut groups: BTreeMap<u64, usize> = BTreeMap::new();
    let mut received = BTreeSet::new();
    let mut calls_of_group: BTreeMap<usize, SlidingWindow> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::RequestIssued { call, group, .. } => {
                groups.insert(call, group);
            }
            HistoryEvent::AttemptReceived { call, attempt, .. } if received.insert((call, attempt)) => {
                let Some(&group) = groups.get(&call) else { continue };
                let Some(ceiling) = budgets.rate_ceilings.get(group).copied().flatten() else { continue };
                let window = calls_of_group.entry(group).or_default();
                window.add(*at);
                let calls = window.count_within(*at, WINDOW);
                let allowed = ceiling * seconds + budgets.gateways as f64;
                bound.compare(*at, calls, allowed, || {
                    format!("{calls} calls of group {group} within {WINDOW} s, at most {allowed:.1} allowed")
                });
            }
            _ => {}
        }
    }
    bound
}
