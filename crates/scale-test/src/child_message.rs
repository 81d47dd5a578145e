//! Messages that a run receives from its child processes and from the threads that monitor them.

use crate::host_protocol::{Minimum, StatusMessage};
use crate::membership_tracker::ReportedState;
use crate::proposal::ProposalError;

/// A message from a child process or from a thread that monitors one. Times are seconds on the machine's monotonic
/// clock.
#[derive(Debug)]
pub enum ChildMessage {
    /// A status message of a host.
    Host(StatusMessage),
    /// The output of a host ended.
    HostEnded {
        /// Number of the host.
        host: usize,
    },
    /// A real gateway changed its view of another gateway.
    MembershipChanged {
        /// The real gateway, which is the observer.
        gateway: usize,
        /// Distinguishes its process from earlier processes of the same gateway.
        incarnation: u64,
        /// The observed gateway.
        subject: usize,
        /// The new state of the subject in the observer's view.
        state: ReportedState,
        /// When the log line was read.
        at: f64,
    },
    /// A real gateway applied all configuration changes up to a number.
    ChangesApplied {
        /// Number of the gateway.
        gateway: usize,
        /// Distinguishes its process from earlier processes of the same gateway.
        incarnation: u64,
        /// Number in the configuration log.
        number: u64,
        /// When the log line was read.
        at: f64,
    },
    /// A real gateway exited after a requested shutdown.
    GatewayStopped {
        /// Number of the gateway.
        gateway: usize,
        /// When the shutdown was requested.
        at: f64,
    },
    /// The lowest budget levels of a real gateway in one second.
    BudgetMinimum {
        /// Number of the gateway.
        gateway: usize,
        /// The levels.
        minimum: Minimum,
    },
    /// The outcome of a proposed configuration change.
    ProposalFinished {
        /// Number of the change within the run.
        change: usize,
        /// When the change was proposed.
        proposed_at: f64,
        /// When the outcome was known.
        finished_at: f64,
        /// Its number in the configuration log, or why it is not known to be committed.
        outcome: Result<u64, ProposalError>,
    },
}
