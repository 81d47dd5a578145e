//! One line on a terminal that is overwritten again and again, for whoever watches the run.

use crate::fleet::Fleet;
use milletpath_gateway::hollow_gateway::clock;
use std::io::{self, IsTerminal, Write};

/// The line on standard error. Nothing is written where that is not a terminal.
pub struct ProgressLine {
    is_terminal: bool,
}

impl ProgressLine {
    /// A line that is not written yet.
    pub fn new() -> Self {
        Self { is_terminal: io::stderr().is_terminal() }
    }

    /// Writes how far a play is.
    pub fn show(&self, fleet: &Fleet, play: &str, detail: &str) {
        if !self.is_terminal {
            return;
        }
        let membership = &fleet.trackers.membership;
        let (running, settled) = (membership.running_count(), membership.converged_observers());
        let seconds = clock() - fleet.started_at();
        let busy = 100.0 * fleet.load.latest_utilization.unwrap_or(0.0);
        // A terminal that is gone is no reason to end the run.
        let _ = write!(
            io::stderr(),
            "\r\x1b[K{seconds:6.1} s  {play}: {running} running, {settled} of them know all others; \
             {busy:.0}% of the cores busy  {detail}"
        );
    }

    /// Removes the line.
    pub fn clear(&self) {
        if self.is_terminal {
            let _ = write!(io::stderr(), "\r\x1b[K");
        }
    }
}
