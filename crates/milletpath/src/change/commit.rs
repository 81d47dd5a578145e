//! Proposes one change to the control machines, and interprets the outcome.

use super::proposal::ProposedChange;
use milletpath_config::document::Position;
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};

/// The beginning of a statement.
const STATEMENT_START: Position = Position { line: 1, column: 1 };

/// Why a change was not committed, or is not known to be committed.
#[derive(Debug, thiserror::Error)]
pub enum CommitError {
    /// No control machine answered the query for the entry in force under the key.
    #[error("no control machine answers: nothing was proposed; are they running, with this key?")]
    NoControlMachine,
    /// Another change of the same key was committed after this author read the key. Holds the number of the entry that
    /// is in force instead, 0 for none.
    #[error(
        "another author was first, with number {0}: nothing was changed; check the current state and try again"
    )]
    Superseded(u64),
    /// The statement is invalid under the configuration of the control machine.
    #[error("the control machine refuses it: {reason}")]
    Denied {
        /// Position of the error in the statement.
        position: Position,
        /// The cause, and how to correct it.
        reason: String,
    },
    /// The key or the text exceeds its maximum size, or the key is empty.
    #[error("the change exceeds the maximum size")]
    TooLarge,
    /// The log is at its limit of keys or of text.
    #[error("the configuration log is full; remove statements that are not needed")]
    Full,
    /// The control machines have too many pending changes.
    #[error("too many changes are pending: this one was not proposed; run the command again")]
    Busy,
    /// The control machine that proposed the change got no answer from a quorum in time.
    #[error(
        "no majority of the control machines answered in time: it is not known whether it will come into force; \
         check milletpath changes, and run the command again: a change is never applied twice"
    )]
    UnknownOutcome,
    /// No control machine answered the proposal, which may or may not have been received.
    #[error(
        "the control machines stopped answering: it is not known whether it will come into force; check milletpath \
         changes, and run the command again: a change is never applied twice"
    )]
    Unanswered,
}

impl CommitError {
    /// Returns the position of the error in the statement, or `None` if the statement did not cause the error.
    pub fn position(&self) -> Option<Position> {
        match self {
            Self::Denied { position, .. } => Some(*position),
            Self::TooLarge => Some(STATEMENT_START),
            _ => None,
        }
    }
}

/// Gets a change committed and returns its number in the log. A change that is already in force is not proposed again.
///
/// # Errors
///
/// The control machines reject the change or do not answer, or another change of the same key was committed first.
pub fn commit(client: &Client, proposed: &ProposedChange) -> Result<u64, CommitError> {
    let current = client.get(&proposed.key).ok_or(CommitError::NoControlMachine)?;
    if current.text == proposed.text {
        println!("{}: already in force", proposed.key);
        return Ok(current.number);
    }
    let (key, text) = (proposed.key.clone(), proposed.text.clone());
    let change = Change { id: random_id(), key, text, replaces: current.number };
    match client.propose(&change, current.from) {
        ProposalOutcome::Decided(Outcome::Committed(number)) => Ok(number),
        ProposalOutcome::Decided(Outcome::Superseded(number)) => number_if_in_force(client, proposed, number),
        ProposalOutcome::Decided(Outcome::TooLarge | Outcome::EmptyKey) => Err(CommitError::TooLarge),
        ProposalOutcome::Decided(Outcome::Full) => Err(CommitError::Full),
        ProposalOutcome::Decided(Outcome::Busy) => Err(CommitError::Busy),
        ProposalOutcome::Decided(Outcome::Unknown) => Err(CommitError::UnknownOutcome),
        ProposalOutcome::Denied(reason) => Err(parse_denial(&reason)),
        ProposalOutcome::Unanswered => Err(CommitError::Unanswered),
    }
}

/// Returns the number of a change that is in force although its proposal was superseded: an earlier transmission of the
/// same request may have committed it.
fn number_if_in_force(
    client: &Client,
    proposed: &ProposedChange,
    successor: u64,
) -> Result<u64, CommitError> {
    match client.get(&proposed.key) {
        Some(current) if current.text == proposed.text => Ok(current.number),
        _ => Err(CommitError::Superseded(successor)),
    }
}

/// Parses the reason of a denial, which begins with `LINE:COLUMN: ` if the error has a position in the statement.
fn parse_denial(reason: &str) -> CommitError {
    let mut parts = reason.splitn(3, ':');
    let mut number = || parts.next()?.parse::<usize>().ok().filter(|number| *number > 0);
    let (position, reason) = match (number(), number(), parts.next()) {
        (Some(line), Some(column), Some(rest)) => (Position { line, column }, rest.trim_start()),
        _ => (STATEMENT_START, reason),
    };
    CommitError::Denied { position, reason: reason.to_owned() }
}

#[cfg(test)]
mod tests;
