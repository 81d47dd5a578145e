//! Has one change committed by the control machines.

use super::proposal::ProposedChange;
use milletpath_config::document::Position;
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};

/// Where a statement begins.
const STATEMENT_START: Position = Position { line: 1, column: 1 };

/// Why a change was not committed, or is not known to be.
#[derive(Debug, thiserror::Error)]
pub enum CommitError {
    /// The entry in force under the key can't be learned.
    #[error("no control machine answers: nothing was proposed; are they running, with this key?")]
    NoControlMachine,
    /// Another change of the same key was committed since this one's author read the key.
    #[error("another author was first, with number {0}: this changed nothing; look and decide again")]
    Superseded(u64),
    /// The control machines' configuration does not allow the statement.
    #[error("the control machine refuses it: {reason}")]
    Denied {
        /// Where in the statement.
        position: Position,
        /// What is wrong, and what to write instead.
        reason: String,
    },
    /// Key or text exceeds its bound.
    #[error("it is larger than a change may be")]
    TooLarge,
    /// The log has no room for another key, or for that much text.
    #[error("there is no room for more statements; remove some that are not needed")]
    Full,
    /// Too many changes are pending.
    #[error("too many changes are pending: it was not proposed; run this again")]
    Busy,
    /// No quorum answered the control machine that proposed it.
    #[error(
        "no majority of the control machines answered in time: it is not known whether it will come into force; see \
         milletpath changes, and run this again: it is never applied twice"
    )]
    UnknownOutcome,
    /// The control machines received the proposal, or not, and did not answer.
    #[error(
        "the control machines stopped answering: it is not known whether it will come into force; see milletpath \
         changes, and run this again: it is never applied twice"
    )]
    Unanswered,
}

impl CommitError {
    /// Where in its statement a change is wrong; none where the statement is not the cause.
    pub fn position(&self) -> Option<Position> {
        match self {
            Self::Denied { position, .. } => Some(*position),
            Self::TooLarge => Some(STATEMENT_START),
            _ => None,
        }
    }
}

/// Has a change committed; its number in the log. Where it is in force already, it is not proposed again.
///
/// # Errors
///
/// The control machines deny the change or do not answer, or another change took its place.
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

/// The number of a change that is in force although its proposal was superseded: an earlier transmission of the same
/// request may have committed it.
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

/// A denial by its reason, which begins with `LINE:COLUMN: ` where the statement is wrong at a certain place.
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
