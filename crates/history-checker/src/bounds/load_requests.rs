//! Load requests from all gateways together within any window.

use super::shared_window::{SharedWindow, WindowUse};
use super::{BoundReport, SharedBudgetBounds};
use crate::event::{HistoryEvent, HistoryRecord};
use crate::window_limit::WindowLimit;

/// Checks load requests against the fleet's limit, the sum of the gateways' limits; `limit` applies to one gateway.
pub(super) fn bound(
    records: &[HistoryRecord],
    budgets: &SharedBudgetBounds,
    limit: WindowLimit,
) -> BoundReport {
    let window = limit.window;
    let fleet_limit = WindowLimit { free: limit.free * budgets.gateways as f64, ..limit };
    let mut shared = SharedWindow::new(fleet_limit, limit.free, budgets.rules.tolerance);
    let mut bound = BoundReport::default();
    for HistoryRecord { at, event } in records {
        match event {
            HistoryEvent::AttemptSent { .. } => shared.record_accepted(*at),
            HistoryEvent::GatewayKilled { .. } => shared.record_killed(*at),
            HistoryEvent::LoadRequested { .. } => {
                let WindowUse { count, allowed } = shared.record_use(*at);
                bound.compare(*at, count, allowed, || {
                    format!(
                        "{count} load requests of all gateways within {window} s, at most {allowed:.1} allowed"
                    )
                });
            }
            _ => {}
        }
    }
    bound
}
