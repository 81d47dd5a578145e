//! Checks the five rules for all gateways together and counts service. It goes by [`HistoryRecord`]s taken where stand-ins
//! read and wrote: the client's side, the worker's side, the registry's; never by a gateway's own word.
//! Where gateways share things, bounds over all of them come beside the rules.

mod budgets;
mod fleet;
mod rules;
mod service;

pub use fleet::{
    BoundReport, DetectionTimes, MembershipObservations, SharedBudgetBounds, bounds, membership_observations,
};

pub use rules::{RuleParameters, SlowStartWindow, Violation, check, slow_start_limit, slow_start_windows};
pub use service::{ServiceCounts, ServiceWeights, count_service, latencies};

use serde::{Deserialize, Serialize};

/// What passed at a stand-in, and when, in seconds of one clock for all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    pub at: f64,
    #[serde(rename = "saw")]
    pub event: HistoryEvent,
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    #[serde(rename = "Handled")]
    Succeeded,
    #[serde(rename = "Bounced")]
    Rejected,
    #[serde(rename = "Terminated")]
    Failed,
    /// The gateway was not reached: nothing was taken.
    #[serde(rename = "Unreached")]
    Unreachable,
    /// The connection broke before an answer.
    #[serde(rename = "Broken")]
    ConnectionLost,
    /// The client's time was up without an answer.
    Unanswered,
    /// The client left before its time, of its own.
    #[serde(rename = "Left")]
    Abandoned,
}

impl AttemptOutcome {
    /// The word for the outcome in stored histories and in the texts of reports.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::Succeeded => "Handled",
            Self::Rejected => "Bounced",
            Self::Failed => "Terminated",
            Self::Unreachable => "Unreached",
            Self::ConnectionLost => "Broken",
            Self::Unanswered => "Unanswered",
            Self::Abandoned => "Left",
        }
    }
}

/// How harmful a repeat is, as the client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Idempotency {
    #[serde(rename = "Pure")]
    Idempotent,
    #[serde(rename = "Receipted")]
    IdempotentWithKey,
    #[serde(rename = "Effectful")]
    NonIdempotent,
}

impl Idempotency {
    /// The word for it in stored histories and in the texts of reports.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::Idempotent => "Pure",
            Self::IdempotentWithKey => "Receipted",
            Self::NonIdempotent => "Effectful",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HistoryEvent {
    /// A client sent a try. `call` is the same for all tries of one call.
    #[serde(rename = "Asked")]
    AttemptSent { call: u64, attempt: u32, gateway: usize, patience: f64 },
    /// What a call is worth, and to whom; once for each call, with its first try.
    #[serde(rename = "Call")]
    RequestIssued {
        call: u64,
        group: usize,
        importance: f64,
        due: f64,
        effect: Idempotency,
        #[serde(rename = "trouble")]
        fault: Option<usize>,
    },
    /// A try ended at its client.
    #[serde(rename = "Ended")]
    AttemptEnded { call: u64, attempt: u32, gateway: usize, how: AttemptOutcome },
    /// A shot's head was read at a worker. `work` in seconds of one core of speed 1.
    #[serde(rename = "Came")]
    AttemptReceived { call: u64, attempt: u32, gateway: usize, worker: usize, work: f64 },
    /// A shot that came is over at its worker: answered, or its connection is gone.
    #[serde(rename = "Over")]
    AttemptFinished { gateway: usize, worker: usize },
    /// A worker ran the call: its effect happened, and was no repeat that it knew.
    #[serde(rename = "Ran")]
    RequestExecuted { call: u64, worker: usize },
    /// An order to load was read at a worker.
    #[serde(rename = "Ordered")]
    LoadRequested { gateway: usize, worker: usize },
    /// A worker process started, with what it can do when warm, in seconds of work a second; warm ones began long
    /// ago.
    #[serde(rename = "Started")]
    WorkerStarted { worker: usize, capacity: f64, warm: bool },
    /// A line of the list was written to a gateway.
    #[serde(rename = "Told")]
    EndpointNotified { gateway: usize, worker: usize, ready: bool },
    /// A gateway process was killed outright, or is there again.
    #[serde(rename = "Killed")]
    GatewayKilled { gateway: usize },
    #[serde(rename = "Back")]
    GatewayRestarted { gateway: usize },
    /// A gateway process was made to stand still, or moves again.
    #[serde(rename = "Still")]
    GatewayPaused { gateway: usize },
    #[serde(rename = "Moves")]
    GatewayResumed { gateway: usize },
    /// A letter of a gateway to another was read on its link.
    #[serde(rename = "Sent")]
    DatagramSent { gateway: usize, bytes: usize },
    /// The first letter of a process: it goes by this number.
    #[serde(rename = "Lives")]
    IncarnationObserved { gateway: usize, life: u64 },
    /// A gateway said in a letter how it takes the process of that number to stand, and had not said so before: 0
    /// alive, 1 suspect, 2 dead, 3 left.
    #[serde(rename = "Says")]
    MemberStateReported { gateway: usize, about: usize, life: u64, state: u8 },
    /// Links that were cut carry letters again.
    #[serde(rename = "Mended")]
    LinksHealed,
}
