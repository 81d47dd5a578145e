//! What a run receives from the processes that it started, and from the threads that watch them.

use crate::host_protocol::{Minimum, StatusMessage};
use crate::membership_tracker::ReportedState;
use crate::proposal::ProposalError;

/// What a run receives from its processes and from the threads that watch them. Times are seconds on the machine's
/// monotonic clock.
#[derive(Debug)]
pub enum ChildMessage {
    /// A host reports.
    Host(StatusMessage),
    /// The output of a host ended.
    HostEnded {
        /// Its number.
        host: usize,
    },
    /// The view that a real gateway has of another changed.
    MembershipChanged {
        /// The real gateway.
        gateway: usize,
        /// Distinguishes its process from earlier ones under its number.
        incarnation: u64,
        /// The gateway that it is about.
        subject: usize,
        /// What the gateway takes the subject for from then on.
        state: ReportedState,
        /// When its log reported it.
        at: f64,
    },
    /// A real gateway applied all configuration changes up to a number.
    ChangesApplied {
        /// The real gateway.
        gateway: usize,
        /// Distinguishes its process from earlier ones under its number.
        incarnation: u64,
        /// The number in the configuration log.
        number: u64,
        /// When its log reported it.
        at: f64,
    },
    /// A real gateway stopped, as it was asked to.
    GatewayStopped {
        /// The real gateway.
        gateway: usize,
        /// When it was asked to.
        at: f64,
    },
    /// The least that a real gateway was allowed to use in a second.
    BudgetMinimum {
        /// The real gateway.
        gateway: usize,
        /// The minimum.
        minimum: Minimum,
    },
    /// An author knows what became of a configuration change.
    ProposalFinished {
        /// The change, by its number among all of the run.
        change: usize,
        /// When it was proposed.
        proposed_at: f64,
        /// When its outcome was known.
        finished_at: f64,
        /// Its number in the configuration log, or why it has none.
        outcome: Result<u64, ProposalError>,
    },
}
