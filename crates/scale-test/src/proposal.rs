//! Proposals of configuration changes: when one is due, and why one is not known to be committed.

use milletpath_config_log::Outcome;

/// A change that an author is to propose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledChange {
    /// Its number among all changes of the run.
    pub change: usize,
    /// When it is to be proposed, in seconds on the machine's monotonic clock.
    pub due_at: f64,
}

/// Why a change is not known to be committed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposalError {
    /// No control machine answered the look-up before the proposal.
    #[error("no control machine answers")]
    NoAnswer,
    /// Another change of the same key was committed first.
    #[error("superseded by number {by}")]
    Superseded {
        /// The number of the other change.
        by: u64,
    },
    /// The control machines decided otherwise.
    #[error("{0:?}")]
    NotCommitted(Outcome),
    /// The control machines' configuration does not allow it.
    #[error("refused: {reason}")]
    Denied {
        /// The reason that they give.
        reason: String,
    },
    /// No control machine answered the proposal. It may still be committed.
    #[error("the control machines fell silent")]
    Unanswered,
}
