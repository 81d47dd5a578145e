//! Proposals of configuration changes: their schedule and their errors.

use milletpath_config_log::Outcome;

/// A change that an author is scheduled to propose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledChange {
    /// Number of the change within the run.
    pub change: usize,
    /// When to propose it, in seconds on the machine's monotonic clock.
    pub due_at: f64,
}

/// Why a change is not known to be committed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposalError {
    /// No control machine answered the lookup before the proposal.
    #[error("no control machine answers")]
    NoAnswer,
    /// Another change of the same key was committed first.
    #[error("superseded by number {by}")]
    Superseded {
        /// Number of the other change in the log.
        by: u64,
    },
    /// The control machines decided on an outcome other than committing the change.
    #[error("{0:?}")]
    NotCommitted(Outcome),
    /// The configuration of the control machines does not allow the change.
    #[error("refused: {reason}")]
    Denied {
        /// Reason given by the control machines.
        reason: String,
    },
    /// No control machine answered the proposal. It may still be committed.
    #[error("no control machine answered the proposal")]
    Unanswered,
}
