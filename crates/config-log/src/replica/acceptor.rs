//! The acceptor's state. What it promises and accepts binds it forever, also after a restart, so every change of it is
//! stored before any message that depends on it is sent.

use crate::entry::Change;
use crate::message::{Ballot, Vote};
use std::collections::BTreeMap;

/// Numbers above its head at which a replica accepts proposals; a leader has half as many open at a time.
pub(super) const ACCEPT_WINDOW: u64 = 64;

#[derive(Clone, Debug, Default)]
pub(super) struct Acceptor {
    /// Nothing below this ballot is accepted any more.
    pub promised: Ballot,
    /// The attempt that was promised under that ballot; `None` after a restart, as it is not stored.
    attempt: Option<u64>,
    /// Proposals accepted at numbers that are not known to be chosen.
    pub votes: BTreeMap<u64, Vote>,
}

/// An acceptor's answer to a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptorResponse {
    /// Agreed; the change of state must be stored.
    New,
    /// Agreed before.
    Repeated,
    /// Refused because of a higher promise.
    Rejected,
}

impl Acceptor {
    /// Phase 1. Of two attempts under one ballot only the first is promised: the second is of a process that forgot the
    /// first.
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

    /// The change accepted at `number` under `ballot` or a later one. If `ballot` was chosen there, all later ballots
    /// propose the same change.
    pub fn value_at(&self, number: u64, ballot: Ballot) -> Option<&Change> {
        self.votes.get(&number).filter(|vote| vote.ballot >= ballot).map(|vote| &vote.change)
    }

    /// Drops votes up to `head`, where all is chosen.
    pub fn discard_through(&mut self, head: u64) {
        self.votes = self.votes.split_off(&(head + 1));
    }
}
