//! Bounds on what gateways that share budgets may do together. Each bound is the budget and a margin
//! that follows from how gateways keep it (`docs/design/shared-budgets.md`).

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
    /// Gateways that there may be.
    pub gateways: usize,
    /// The limit on load requests of each gateway; that of the fleet is the sum. None where they are not limited.
    pub load_rate_limit: Option<WindowLimit>,
    /// The limit on retries of the fleet.
    pub retry_limit: Option<WindowLimit>,
    /// The calls a second that each client group may have executed, over all gateways.
    pub rate_ceilings: Vec<Option<f64>>,
    /// Attempts that may be in flight at one worker.
    pub in_flight: Option<f64>,
    /// What a warming worker may be sent, and how late observations may be.
    pub rules: RuleParameters,
}

/// All bounds by the names that reports give them. Records are in the order of time.
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
