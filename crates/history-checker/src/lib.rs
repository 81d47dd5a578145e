//! Checks the five rules for all gateways together and counts service. It goes by [`Record`]s taken where stand-ins
//! read and wrote: the client's side, the worker's side, the registry's; never by a gateway's own word.
//! Where gateways share things, bounds over all of them come beside the rules.

mod budgets;
mod fleet;
mod rules;
mod service;

pub use fleet::{Bound, Known, Shared, Times, bounds, known};

pub use rules::{Broken, Terms, Window, check, cold, slow_start_limit};
pub use service::{Account, Counts, count, latencies};

use serde::{Deserialize, Serialize};

/// What passed at a stand-in, and when, in seconds of one clock for all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at: f64,
    pub saw: Saw,
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    Handled,
    Bounced,
    Terminated,
    /// The gateway was not reached: nothing was taken.
    Unreached,
    /// The connection broke before an answer.
    Broken,
    /// The client's time was up without an answer.
    Unanswered,
    /// The client left before its time, of its own.
    Left,
}

/// How harmful a repeat is, as the client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    Pure,
    Receipted,
    Effectful,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Saw {
    /// A client sent a try. `call` is the same for all tries of one call.
    Asked {
        call: u64,
        attempt: u32,
        gateway: usize,
        patience: f64,
    },
    /// What a call is worth, and to whom; once for each call, with its first try.
    Call {
        call: u64,
        group: usize,
        importance: f64,
        due: f64,
        effect: Effect,
        trouble: Option<usize>,
    },
    /// A try ended at its client.
    Ended {
        call: u64,
        attempt: u32,
        gateway: usize,
        how: Ended,
    },
    /// A shot's head was read at a worker. `work` in seconds of one core of speed 1.
    Came {
        call: u64,
        attempt: u32,
        gateway: usize,
        worker: usize,
        work: f64,
    },
    /// A shot that came is over at its worker: answered, or its connection is gone.
    Over {
        gateway: usize,
        worker: usize,
    },
    /// A worker ran the call: its effect happened, and was no repeat that it knew.
    Ran {
        call: u64,
        worker: usize,
    },
    /// An order to load was read at a worker.
    Ordered {
        gateway: usize,
        worker: usize,
    },
    /// A worker process started, with what it can do when warm, in seconds of work a second; warm ones began long
    /// ago.
    Started {
        worker: usize,
        capacity: f64,
        warm: bool,
    },
    /// A line of the list was written to a gateway.
    Told {
        gateway: usize,
        worker: usize,
        ready: bool,
    },
    /// A gateway process was killed outright, or is there again.
    Killed {
        gateway: usize,
    },
    Back {
        gateway: usize,
    },
    /// A gateway process was made to stand still, or moves again.
    Still {
        gateway: usize,
    },
    Moves {
        gateway: usize,
    },
    /// A letter of a gateway to another was read on its link.
    Sent {
        gateway: usize,
        bytes: usize,
    },
    /// The first letter of a process: it goes by this number.
    Lives {
        gateway: usize,
        life: u64,
    },
    /// A gateway said in a letter how it takes the process of that number to stand, and had not said so before: 0
    /// alive, 1 suspect, 2 dead, 3 left.
    Says {
        gateway: usize,
        about: usize,
        life: u64,
        state: u8,
    },
    /// Links that were cut carry letters again.
    Mended,
}
