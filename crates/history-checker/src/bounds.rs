//! Bounds on what gateways with shared budgets may do together. Each bound is the budget plus a margin
//! that follows from the way gateways enforce it (`docs/design/shared-budgets.md`).

mod bound_report;
mod datagrams;
mod in_flight;
mod load_requests;
mod rate_ceiling;
mod retries;
mod shared_window;
mod slow_start;

pub use bound_report::{BoundReport, BoundViolation};

use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::window_limit::WindowLimit;
use std::collections::BTreeMap;

/// The budgets that the gateways of a history share.
#[derive(Clone, Debug)]
pub struct SharedBudgetBounds {
    /// The maximum number of gateways.
    pub gateways: usize,
    /// Each gateway's limit on load requests; the fleet's limit is the sum. `None` means unlimited.
    pub load_rate_limit: Option<WindowLimit>,
    /// The fleet's limit on retries.
    pub retry_limit: Option<WindowLimit>,
    /// The maximum calls per second of each client group, over all gateways.
    pub rate_ceilings: Vec<Option<f64>>,
    /// The maximum number of attempts in flight at one worker.
    pub in_flight: Option<f64>,
    /// The load that a warming worker may be sent, and how late observations may be.
    pub rules: RuleParameters,
}

/// Computes all bounds, keyed by their names in reports. `records` must be in chronological order.
pub fn bounds(
    records: &[HistoryRecord],
    budgets: &SharedBudgetBounds,
) -> BTreeMap<&'static str, BoundReport> {
    let mut bounds = BTreeMap::new();
    let (size, rate) = datagrams::bounds(records);
    bounds.extend([("letter-bytes", size), ("letters-a-second", rate)]);
    let (work, attempts) = slow_start::bounds(records, &budgets.rules);
    bounds.extend([("cold", work), ("cold-calls", attempts)]);
    if let Some(limit) = budgets.load_rate_limit {
        bounds.insert("orders", load_requests::bound(records, budgets, limit));
    }
    if let Some(limit) = budgets.retry_limit {
        bounds.insert("retries", retries::bound(records, budgets, limit));
    }
    if let Some(allowed) = budgets.in_flight {
        bounds.insert("in-flight", in_flight::bound(records, allowed, budgets.rules.tolerance));
    }
    if budgets.rate_ceilings.iter().any(Option::is_some) {
        bounds.insert("ceiling", rate_ceiling::bound(records, budgets));
    }
    bounds
}

#[cfg(test)]
mod tests;
