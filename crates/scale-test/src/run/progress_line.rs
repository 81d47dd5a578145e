//! A progress line on the terminal that is overwritten with each update.

use crate::fleet::Fleet;
use milletpath_gateway::hollow_gateway::clock;
use std::io::{self, IsTerminal, Write};

/// The progress line on standard error. Nothing is written if that is not a terminal.
pub struct ProgressLine {
    is_terminal: bool,
}

impl ProgressLine {
    /// Creates the line without writing it.
    pub fn new() -> Self {
        Self { is_terminal: io::stderr().is_terminal() }
    }

    /// Writes the progress of a play.
    pub fn show(&self, fleet: &Fleet, play: &str, detail: &str) {
        if !self.is_terminal {
            return;
        }
        let membership = &fleet.trackers.membership;
        let (running, settled) = (membership.running_count(), membership.converged_observers());
        let seconds = clock() - fleet.started_at();
        let busy = 100.0 * fleet.load_monitor.latest_utilization.unwrap_or(0.0);
        // A failed write to the terminal must not end the run.
        let _ = write!(
            io::stderr(),
            "\r\x1b[K{seconds:6.1} s  {play}: {running} running, {settled} of them know all others; \
             {busy:.0}% of the cores busy  {detail}"
        );
    }

    /// Clears the line.
    pub fn clear(&self) {
        if self.is_terminal {
            let _ = write!(io::stderr(), "\r\x1b[K");
        }
    }
}
