//! The acceptor's state. Promises and accepted proposals stay binding across restarts, so every change of this state is
//! stored before any message that depends on it is sent.

use crate::entry::Change;
use crate::message::{Ballot, Vote};
use std::collections::BTreeMap;

/// A replica accepts proposals up to this many numbers above its head; a leader has half as many in flight.
pub(super) const ACCEPT_WINDOW: u64 = 64;

/// The promise and the votes of an acceptor.
#[derive(Clone, Debug, Default)]
pub(super) struct Acceptor {
    /// Proposals under lower ballots are rejected.
    pub promised: Ballot,
    /// The attempt to which that ballot was promised; `None` after a restart, as it is not stored, and if the ballot was
    /// raised by an accept request.
    attempt: Option<u64>,
    /// Accepted proposals by number, for numbers that are not yet applied.
    pub votes: BTreeMap<u64, Vote>,
}

/// An acceptor's response to a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptorResponse {
    /// Promised or accepted; the state changed and must be stored.
    New,
    /// Promised or accepted before; the state did not change.
    Repeated,
    /// Rejected because of the current promise.
    Rejected,
}

impl Acceptor {
    /// Phase 1. Of two attempts under the same ballot only the first gets a promise: the second comes from a process that
    /// restarted and no longer knows of the first.
    pub fn prepare(&mut self, ballot: Ballot, attempt: u64) -> AcceptorResponse {
        if ballot > self.promised {
            (self.promised, self.attempt) = (ballot, Some(attempt));
            return AcceptorResponse::New;
        }
        if ballot == self.promised && self.attempt == Some(attempt) {
            AcceptorResponse::Repeated
        } else {
            AcceptorResponse::Rejected
        }
    }

    /// Phase 2.
    pub fn accept(&mut self, vote: &Vote) -> AcceptorResponse {
        if vote.ballot < self.promised {
            return AcceptorResponse::Rejected;
        }
        if self.votes.get(&vote.number).is_some_and(|accepted| accepted.ballot == vote.ballot) {
            return AcceptorResponse::Repeated;
        }
        if vote.ballot > self.promised {
            (self.promised, self.attempt) = (vote.ballot, None);
        }
        self.votes.insert(vote.number, vote.clone());
        AcceptorResponse::New
    }

    /// The change accepted at `number` under `ballot` or a later one. If the proposal under `ballot` was chosen, all later
    /// ballots propose the same change.
    pub fn value_at(&self, number: u64, ballot: Ballot) -> Option<&Change> {
        self.votes.get(&number).filter(|vote| vote.ballot >= ballot).map(|vote| &vote.change)
    }

    /// Drops votes up to `head`, which are applied.
    pub fn discard_through(&mut self, head: u64) {
        self.votes = self.votes.split_off(&(head + 1));
    }
}
