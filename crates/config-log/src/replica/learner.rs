//! The learner's count of votes.

use crate::message::Ballot;
use std::collections::BTreeMap;

/// Ballots counted at one number; the lowest is dropped beyond that.
const MAX_BALLOTS_PER_NUMBER: usize = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Learner {
    /// Who accepted, by number and ballot: one bit for each replica.
    acceptors: BTreeMap<u64, BTreeMap<Ballot, u8>>,
    /// The ballot at which a number is known to be chosen; the change itself may not be known yet.
    chosen: BTreeMap<u64, Ballot>,
}

impl Learner {
    /// Counts the vote of `replica`; the number is chosen once `quorum` replicas accepted under the same ballot.
    pub fn count_vote(&mut self, replica: usize, ballot: Ballot, number: u64, quorum: usize) {
        let ballots = self.acceptors.entry(number).or_default();
        *ballots.entry(ballot).or_default() |= 1 << replica;
        if ballots.len() > MAX_BALLOTS_PER_NUMBER {
            ballots.pop_first();
        }
        if ballots.get(&ballot).is_some_and(|acceptors| acceptors.count_ones() as usize >= quorum) {
            self.chosen.insert(number, ballot);
        }
    }

    /// Whether `replica` accepted at that number under that ballot.
    pub fn has_accepted(&self, replica: usize, number: u64, ballot: Ballot) -> bool {
        let acceptors = self.acceptors.get(&number).and_then(|ballots| ballots.get(&ballot));
        acceptors.is_some_and(|acceptors| acceptors & (1 << replica) != 0)
    }

    /// The ballot that was chosen at that number, if that is known.
    pub fn chosen_at(&self, number: u64) -> Option<Ballot> {
        self.chosen.get(&number).copied()
    }

    /// Drops what is counted up to `head`, where all is applied.
    pub fn discard_through(&mut self, head: u64) {
        self.acceptors = self.acceptors.split_off(&(head + 1));
        self.chosen = self.chosen.split_off(&(head + 1));
    }
}
