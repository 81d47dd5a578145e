//! Polls the budgets of a real gateway as an operator would, and reports the minimum of each second.

use crate::child_message::ChildMessage;
use crate::host_protocol::Minimum;
use milletpath_config::GatewayConfig;
use milletpath_gateway::hollow_gateway::{BudgetLevel, MinimumTracker, clock};
use milletpath_gateway::query_membership;
use std::io;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Polling interval. Several polls fall into each second, of which the lowest answer counts.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a thread that polls the gateway with this configuration until `should_poll` returns false.
pub fn start(
    gateway: usize,
    config: GatewayConfig,
    should_poll: impl Fn() -> bool + Send + 'static,
    messages: SyncSender<ChildMessage>,
) -> io::Result<()> {
    let poll = move || {
        let mut tracker = MinimumTracker::default();
        loop {
            std::thread::sleep(QUERY_INTERVAL);
            if !should_poll() {
                return;
            }
            if let Some(minimum) = query(&config, &mut tracker) {
                // After the run has ended nobody receives.
                let _ = messages.send(ChildMessage::BudgetMinimum { gateway, minimum });
            }
        }
    };
    std::thread::Builder::new().name("budget-poller".into()).spawn(poll)?;
    Ok(())
}

/// Polls once. Returns the minimum of the previous second if this poll completes it.
fn query(config: &GatewayConfig, tracker: &mut MinimumTracker) -> Option<Minimum> {
    let status = query_membership(config).ok()?;
    let budgets = status.budgets.into_iter();
    let levels = budgets
        .map(|budget| (budget.name, BudgetLevel { quota: budget.quota, allowed: budget.allowed }))
        .collect();
    tracker.record(clock(), status.view.fraction, levels).map(Minimum::from)
}
