//! Waits until a committed change is in force at all gateways that the control machines can reach.

use crate::control_overview::{ControlOverview, GatewayState, GatewayStatus};
use milletpath_gateway::control_client::Client;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// Interval between queries of the control machines.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a change is not in force: at least one gateway, or the reason why the list of gateways may be incomplete.
#[derive(Debug)]
pub struct RolloutError {
    /// The gateways that failed to apply the change.
    failing: Vec<GatewayStatus>,
    /// The reachable gateways that have not received the change yet.
    behind: Vec<GatewayStatus>,
    /// Why there may be further gateways, if so.
    unknown: Option<UnknownGateways>,
}

/// Why the control machines that answer may not know all gateways.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum UnknownGateways {
    /// None of the control machines that answer was polled by a gateway recently.
    #[error("no gateway is reachable from the control machines that answer")]
    NoneReachable,
    /// A gateway may be polling a control machine that did not answer, or that has just started.
    #[error("not all control machines answer, or some have just started: there may be more gateways")]
    MissingReports,
}

impl std::error::Error for RolloutError {}

impl Display for RolloutError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let failing = self.failing.iter().map(|gateway| {
            let reason = gateway.apply_error.as_ref().map_or("", |error| &error.reason);
            format!("{} could not apply it: {reason}", gateway.name)
        });
        let behind =
            self.behind.iter().map(|gateway| format!("{} is at number {}", gateway.name, gateway.number));
        let unknown = self.unknown.iter().map(ToString::to_string);
        let lines: Vec<_> = failing.chain(behind).chain(unknown).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// A snapshot of the rollout of a change.
struct Rollout {
    /// The reports of the control machines.
    overview: ControlOverview,
    /// Number of the change.
    number: u64,
}

impl Rollout {
    /// Returns the gateways that polled a control machine recently.
    fn reachable(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.overview.gateways.iter().filter(|gateway| gateway.state != GatewayState::Silent)
    }

    /// Returns the reachable gateways that failed to apply the change.
    fn failing(&self) -> impl Iterator<Item = &GatewayStatus> {
        let failed_change = |gateway: &GatewayStatus| {
            gateway.apply_error.as_ref().is_some_and(|error| error.number == self.number)
        };
        self.reachable().filter(move |gateway| failed_change(gateway))
    }

    /// Returns the reachable gateways that have not received the change yet.
    fn behind(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.reachable().filter(|gateway| gateway.number < self.number)
    }

    /// Returns the counts to print.
    fn progress(&self) -> Progress {
        let reachable = self.reachable().count();
        let reached = reachable - self.behind().count();
        Progress { in_force: reached.saturating_sub(self.failing().count()), reachable }
    }

    /// Whether the change has reached every gateway, applied or not, and the list of gateways is known to be complete.
    fn has_reached_all(&self) -> bool {
        self.reachable().count() > 0 && self.behind().count() == 0 && self.overview.is_complete()
    }

    /// Returns the error that describes where the change is not in force.
    fn error(&self) -> RolloutError {
        let unknown = if self.reachable().count() == 0 {
            Some(UnknownGateways::NoneReachable)
        } else if !self.overview.is_complete() {
            Some(UnknownGateways::MissingReports)
        } else {
            None
        };
        let (failing, behind) = (self.failing().cloned().collect(), self.behind().cloned().collect());
        RolloutError { failing, behind, unknown }
    }
}

/// Counts that are printed during a rollout.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Progress {
    /// Number of reachable gateways that applied the change.
    in_force: usize,
    /// Number of reachable gateways.
    reachable: usize,
}

/// Waits until a change is in force at all reachable gateways, and prints the progress whenever it changes.
///
/// # Errors
///
/// The change is not in force everywhere when `timeout` expires, or a gateway failed to apply it.
pub fn wait_until_applied(client: &Client, number: u64, timeout: Duration) -> Result<(), RolloutError> {
    let end = Instant::now() + timeout;
    let mut printed = None;
    loop {
        let rollout = Rollout { overview: ControlOverview::query(client), number };
        let progress = rollout.progress();
        if printed != Some(progress) {
            let Progress { in_force, reachable } = progress;
            println!("number {number}: in force at {in_force} of {reachable} gateways");
            printed = Some(progress);
        }
        let has_reached_all = rollout.has_reached_all();
        if has_reached_all && rollout.failing().next().is_none() {
            return Ok(());
        }
        if has_reached_all || Instant::now() >= end {
            return Err(rollout.error());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
