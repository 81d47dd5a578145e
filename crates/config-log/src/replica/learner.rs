//! The learner's vote counts.

use crate::message::Ballot;
use std::collections::BTreeMap;

/// Maximum number of ballots counted at one number; beyond it the lowest is dropped.
const MAX_BALLOTS_PER_NUMBER: usize = 8;

/// Votes by number and ballot, and the ballots that have been chosen.
#[derive(Clone, Debug, Default)]
pub(super) struct Learner {
    /// The replicas that accepted, by number and ballot, as a bit mask of their indexes.
    acceptors: BTreeMap<u64, BTreeMap<Ballot, u8>>,
    /// The ballot under which a change is known to be chosen at a number; the change itself may not be known yet.
    chosen: BTreeMap<u64, Ballot>,
}

impl Learner {
    /// Counts the vote of `replica`. A proposal is chosen once `quorum` replicas have accepted it under the same ballot.
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

    /// Whether `replica` accepted the proposal at `number` under `ballot`.
    pub fn has_accepted(&self, replica: usize, number: u64, ballot: Ballot) -> bool {
        let acceptors = self.acceptors.get(&number).and_then(|ballots| ballots.get(&ballot));
        acceptors.is_some_and(|acceptors| acceptors & (1 << replica) != 0)
    }

    /// The ballot chosen at `number`, if it is known.
    pub fn chosen_at(&self, number: u64) -> Option<Ballot> {
        self.chosen.get(&number).copied()
    }

    /// Drops the counts up to `head`, which are applied.
    pub fn discard_through(&mut self, head: u64) {
        self.acceptors = self.acceptors.split_off(&(head + 1));
        self.chosen = self.chosen.split_off(&(head + 1));
    }
}
