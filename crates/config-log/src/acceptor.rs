//! The part of a replica that promises and accepts: what it says binds it for ever, also after a restart, so all that
//! it changes here is stored before anybody hears of it.

use crate::entry::Change;
use crate::message::{Ballot, Vote};
use std::collections::BTreeMap;

/// Numbers above its head at which a replica accepts and counts, and twice what one that leads has open at a time.
pub(crate) const ACCEPT_WINDOW: u64 = 64;

#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    /// Nothing below this ballot is accepted any more.
    pub promised: Ballot,
    /// For which attempt under that ballot; none after a restart, as it is not stored.
    attempt: Option<u64>,
    /// What was accepted at numbers that are not known to be chosen.
    pub votes: BTreeMap<u64, Vote>,
}

/// An acceptor's answer to a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptorResponse {
    /// Yes, and that is to be stored.
    New,
    /// Yes, as it said before.
    Repeated,
    /// No: it promised more.
    Rejected,
}

impl Acceptor {
    /// Of two attempts under one ballot only the first is followed: the second is of a process that forgot the first.
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

    pub fn accept(&mut self, vote: &Vote) -> AcceptorResponse {
        if vote.ballot < self.promised {
            return AcceptorResponse::Rejected;
        }
        if self.votes.get(&vote.number).is_some_and(|v| v.ballot == vote.ballot) {
            return AcceptorResponse::Repeated;
        }
        if vote.ballot > self.promised {
            (self.promised, self.attempt) = (vote.ballot, None);
        }
        self.votes.insert(vote.number, vote.clone());
        AcceptorResponse::New
    }

    /// What it accepted at that number under that ballot or a later one. Where that ballot was chosen, both are the same.
    pub fn value_at(&self, number: u64, ballot: Ballot) -> Option<&Change> {
        self.votes.get(&number).filter(|v| v.ballot >= ballot).map(|v| &v.change)
    }

    /// All up to that number is chosen.
    pub fn discard_through(&mut self, head: u64) {
        self.votes = self.votes.split_off(&(head + 1));
    }
}
