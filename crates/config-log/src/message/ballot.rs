//! Ballots and votes of Multi-Paxos.

use super::limits::NUMBER_LIMIT;
use crate::entry::Change;
use minicbor::{Decode, Encode};

/// Low bits of a ballot that hold the index of its owner.
const OWNER_BITS: u32 = 3;

/// A ballot number. Its low three bits are the index of the replica that owns it, so two replicas never share a ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Ballot(#[n(0)] pub u64);

impl Ballot {
    /// The lowest ballot of replica `owner` that is higher than this one.
    #[must_use]
    pub fn above(self, owner: usize) -> Self {
        Self((((self.0 >> OWNER_BITS) + 1) << OWNER_BITS) | owner as u64)
    }

    /// Index of the replica that owns this ballot.
    #[must_use]
    pub fn owner(self) -> usize {
        (self.0 & ((1 << OWNER_BITS) - 1)) as usize
    }

    pub(super) fn fits(self) -> bool {
        self.0 < NUMBER_LIMIT
    }
}

/// A proposal that an acceptor has accepted or is asked to accept: a change at a number, under a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Vote {
    /// Position in the log.
    #[n(0)]
    pub number: u64,
    /// The ballot under which the change was proposed.
    #[n(1)]
    pub ballot: Ballot,
    /// The proposed change.
    #[n(2)]
    pub change: Change,
}

impl Vote {
    pub(super) fn fits(&self) -> bool {
        self.ballot.fits() && self.number < NUMBER_LIMIT && self.change.fits()
    }
}
