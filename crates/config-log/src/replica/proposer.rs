//! The proposer's state.

use super::pending::PendingChanges;
use crate::message::{Ballot, Vote};
use std::collections::BTreeMap;

/// What a replica promised to an attempt, as far as its messages have arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedPromise {
    /// `false` if it lost its disk and promises nothing.
    pub votes: bool,
    pub head: u64,
    /// What it accepted, by number.
    pub accepted: BTreeMap<u64, Vote>,
    /// Whether all that it accepted above its head has arrived.
    pub complete: bool,
}

/// An attempt to lead, or of a replica without a disk to be readmitted.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub ballot: Ballot,
    /// Random id that distinguishes the answers to this attempt from those to a former process.
    pub id: u64,
    /// By index of the replica.
    pub promises: BTreeMap<usize, ReceivedPromise>,
    /// When the prepare request is sent again.
    pub retransmit_at: f64,
}

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

/// The log does not advance although something beyond its head was accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stall {
    pub head: u64,
    pub since: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Proposer {
    pub role: Role,
    pub pending: PendingChanges,
    /// When the proposal at an open number is sent again.
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
