//! Load requests of all gateways together within any window.

use super::shared_window::{SharedWindow, WindowUse};
use super::{BoundReport, SharedBudgetBounds};
use crate::event::{HistoryEvent, HistoryRecord};
use crate::window_limit::WindowLimit;

/// The bound by the limit of one gateway.
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
            HistoryEvent::AttemptSent { .. } => shared.accepted(*at),
            HistoryEvent::GatewayKilled { .. } => shared.killed(*at),
            HistoryEvent::LoadRequested { .. } => {
                let WindowUse { count, most } = shared.used(*at);
                bound.compare(*at, count, most, || {
                    format!(
                        "{count} load requests of all gateways within {window} s, at most {most:.1} allowed"
                    )
                });
            }
            _ => {}
        }
    }
    bound
}
