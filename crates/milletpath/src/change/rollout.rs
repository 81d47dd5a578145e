//! Waits until a committed change is in force at all gateways that the control machines reach.

use crate::control_overview::{ControlOverview, GatewayState, GatewayStatus};
use milletpath_gateway::control_client::Client;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// Time between two queries of the control machines.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a change is not in force: at least one gateway, or the reason why one may be missing.
#[derive(Debug)]
pub struct RolloutError {
    /// The gateways that could not apply it.
    failing: Vec<GatewayStatus>,
    /// The reachable gateways that do not have it yet.
    behind: Vec<GatewayStatus>,
    /// Why there may be gateways that are not known.
    unknown: Option<UnknownGateways>,
}

/// Why there may be gateways that are not known.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum UnknownGateways {
    /// No gateway polls the control machines.
    #[error("no gateway is reachable for the control machines that answer")]
    NoneReachable,
    /// A gateway may poll a control machine that does not answer here, or that has just started.
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

/// How far a change has come at one time.
struct Rollout {
    /// What the control machines report at that time.
    overview: ControlOverview,
    /// The number of the change.
    number: u64,
}

impl Rollout {
    /// The gateways from which a control machine received something lately.
    fn reachable(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.overview.gateways.iter().filter(|gateway| gateway.state != GatewayState::Silent)
    }

    /// The reachable gateways that could not apply the change.
    fn failing(&self) -> impl Iterator<Item = &GatewayStatus> {
        let failed_change = |gateway: &GatewayStatus| {
            gateway.apply_error.as_ref().is_some_and(|error| error.number == self.number)
        };
        self.reachable().filter(move |gateway| failed_change(gateway))
    }

    /// The reachable gateways that do not have the change yet.
    fn behind(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.reachable().filter(|gateway| gateway.number < self.number)
    }

    /// The numbers that are printed.
    fn progress(&self) -> Progress {
        let reachable = self.reachable().count();
        let reached = reachable - self.behind().count();
        Progress { in_force: reached.saturating_sub(self.failing().count()), reachable }
    }

    /// Whether every gateway that there can be has it, applied or not.
    fn has_reached_all(&self) -> bool {
        self.reachable().count() > 0 && self.behind().count() == 0 && self.overview.is_complete()
    }

    /// What is missing, where the wait ends without success.
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

/// What is printed of a rollout.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Progress {
    /// Reachable gateways that applied the change.
    in_force: usize,
    /// Reachable gateways.
    reachable: usize,
}

/// Prints at how many gateways a number is in force, until it is at all reachable ones.
///
/// # Errors
///
/// It is not when `timeout` has passed, or a gateway could not apply it.
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
