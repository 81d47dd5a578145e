//! Retries by all gateways together within any window: every attempt that workers received after the first for the same
//! client attempt.

use super::shared_window::{SharedWindow, WindowUse};
use super::{BoundReport, SharedBudgetBounds};
use crate::event::{HistoryEvent, HistoryRecord};
use crate::window_limit::WindowLimit;
use std::collections::BTreeSet;

/// Checks retries against the fleet's limit.
pub(super) fn bound(
    records: &[HistoryRecord],
    budgets: &SharedBudgetBounds,
    limit: WindowLimit,
) -> BoundReport {
    let window = limit.window;
    let process_quota = limit.free / budgets.gateways as f64;
    let mut shared = SharedWindow::new(limit, process_quota, budgets.rules.tolerance);
    let mut received = BTreeSet::new();
    let mut bound = BoundReport::default();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::AttemptSent { .. } => shared.record_accepted(*at),
            HistoryEvent::GatewayKilled { .. } => shared.record_killed(*at),
            HistoryEvent::AttemptReceived { call, attempt, .. } if !received.insert((call, attempt)) => {
                let WindowUse { count, allowed } = shared.record_use(*at);
                bound.compare(*at, count, allowed, || {
                    format!("{count} retries within {window} s, at most {allowed:.1} allowed")
                });
            }
            _ => {}
        }
    }
    bound
}
