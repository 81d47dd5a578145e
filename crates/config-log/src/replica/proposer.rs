//! The proposer's state.

use super::pending::PendingChanges;
use crate::message::{Ballot, Vote};
use std::collections::BTreeMap;

/// A replica's promise to an attempt, as far as its messages have arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedPromise {
    /// `false` if the replica lost its disk and promises nothing.
    pub votes: bool,
    pub head: u64,
    /// Proposals that it has accepted, by number.
    pub accepted: BTreeMap<u64, Vote>,
    /// Whether all proposals that it has accepted above its head have arrived.
    pub complete: bool,
}

/// An attempt to lead, or to be readmitted after the loss of the disk.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub ballot: Ballot,
    /// Random id that distinguishes the replies to this attempt from those to an earlier process.
    pub id: u64,
    /// By index of the replica.
    pub promises: BTreeMap<usize, ReceivedPromise>,
    /// When the prepare request is retransmitted.
    pub retransmit_at: f64,
}

/// The phase that a proposer is in.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Idle,
    Preparing(Attempt),
    Leading { ballot: Ballot, next_number: u64 },
}

impl Role {
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Idle => None,
            Self::Preparing(attempt) => Some(attempt.ballot),
            Self::Leading { ballot, .. } => Some(*ballot),
        }
    }
}

/// A log that does not advance although this replica has accepted a proposal beyond its head.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stall {
    pub head: u64,
    pub since: f64,
}

/// The state of a proposer.
#[derive(Clone, Debug)]
pub(super) struct Proposer {
    pub role: Role,
    pub pending: PendingChanges,
    /// When to retransmit each proposal that is in flight, by number.
    pub in_flight: BTreeMap<u64, f64>,
    /// Earliest time of the next attempt.
    pub next_attempt_at: f64,
    /// Consecutive ballots lost to a higher one.
    pub preemptions: i32,
    pub stall: Option<Stall>,
}

impl Proposer {
    pub fn new(now: f64) -> Self {
        Self {
            role: Role::Idle,
            pending: PendingChanges::default(),
            in_flight: BTreeMap::new(),
            next_attempt_at: now,
            preemptions: 0,
            stall: None,
        }
    }
}
