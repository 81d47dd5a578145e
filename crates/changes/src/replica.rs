//! A control machine: told what came and when, it says what to store and what to send.

use crate::entry::{Change, Entry};
use crate::message::{Ballot, Message, Vote};
use crate::state::State;
use crate::view::ReplicaView;
use minicbor::{Decode, Encode};
use std::net::SocketAddr;

/// The figures that a fleet goes by. All its programs should have the same.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Seconds between two polls of a follower to a replica, on average.
    pub poll: f64,
    /// Seconds without an answer after which a follower passes a replica over.
    pub silent: f64,
    /// Seconds between two questions of a replica to the others.
    pub ask: f64,
    /// Seconds after which what was not answered is sent again: longer than a letter and its answer take.
    pub again: f64,
    /// Seconds after which an author is told that the outcome is unknown.
    pub patience: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self { poll: 0.5, silent: 1.2, ask: 0.3, again: 0.4, patience: 5.0 }
    }
}

/// What a replica's disk must hold. Records are appended in order; [`Replica::new`] takes all that were appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Record {
    /// First record of a new log's first start, written by the shell for `--found` alone: this replica votes from the
    /// start, as there is nothing that it could have forgotten.
    #[n(0)]
    Founded,
    /// It was taken in again after it began without a disk; written by the core.
    #[n(1)]
    Joined,
    #[n(2)]
    Promised(#[n(0)] Ballot),
    #[n(3)]
    Accepted(#[n(0)] Vote),
    /// Chosen, and applied in order.
    #[n(4)]
    Chosen(#[n(0)] Entry),
    /// Part of what is in force at the next `Head`; holds only with that one.
    #[n(5)]
    Held(#[n(0)] Entry),
    /// All `Held` since the last one are in force together at this number, with that digest.
    #[n(6)]
    Head(#[n(0)] u64, #[n(1)] u64),
}

/// What to do, in order. Whatever is stored before a send must be durable before that send goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Store(Record),
    Send { to: SocketAddr, message: Message },
}

pub struct Replica {}

impl Replica {
    /// The replica of that number among `replicas`. `stored`: all records on its disk; none: it begins without a disk,
    /// learns, and doesn't vote until it was taken in again.
    pub fn new(
        _me: usize,
        _replicas: Vec<SocketAddr>,
        _terms: Terms,
        _seed: u64,
        _now: f64,
        _stored: Vec<Record>,
    ) -> Self {
        todo!()
    }
    pub fn heard(&mut self, _now: f64, _from: SocketAddr, _message: Message) {
        todo!()
    }
    pub fn turn(&mut self, _now: f64) {
        todo!()
    }
    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        todo!()
    }
    pub fn act(&mut self) -> Option<Act> {
        todo!()
    }
    /// Records that say all that `stored` must: for rewriting a file that has grown. Right only while
    /// [`act`](Self::act) has nothing left.
    pub fn compact(&self) -> Vec<Record> {
        todo!()
    }
    pub fn state(&self) -> &State {
        todo!()
    }
    pub fn view(&mut self, _now: f64) -> ReplicaView {
        todo!()
    }
    #[allow(unused)]
    fn unused(_: Change) {}
}
