//! The records of a history. Their stored form is JSON, one record a line; its words are older than the names here.

use serde::{Deserialize, Serialize};

/// An event and when it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Seconds of the history's clock.
    pub at: f64,
    /// What was observed.
    #[serde(rename = "saw")]
    pub event: HistoryEvent,
}

/// How an attempt of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A worker answered.
    #[serde(rename = "Handled")]
    Succeeded,
    /// The gateway answered that nothing was executed and the client may retry.
    #[serde(rename = "Bounced")]
    Rejected,
    /// The gateway answered that the request failed; it may have been executed.
    #[serde(rename = "Terminated")]
    Failed,
    /// The gateway could not be reached: it accepted nothing.
    #[serde(rename = "Unreached")]
    Unreachable,
    /// The connection broke before an answer.
    #[serde(rename = "Broken")]
    ConnectionLost,
    /// The client's timeout passed without an answer.
    Unanswered,
    /// The client closed the connection before its timeout.
    #[serde(rename = "Left")]
    Abandoned,
}

impl AttemptOutcome {
    /// The word for the outcome in stored histories and in reports.
    pub(crate) fn recorded_name(self) -> &'static str {
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

/// What a second execution of a call does, as its client knows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Nothing: it may be executed any number of times.
    #[serde(rename = "Pure")]
    Idempotent,
    /// Workers recognise it by its idempotency key and do not execute it again.
    #[serde(rename = "Receipted")]
    IdempotentWithKey,
    /// It has its effect again, so it must not happen.
    #[serde(rename = "Effectful")]
    NonIdempotent,
}

impl Idempotency {
    /// The word for it in stored histories and in reports.
    pub(crate) fn recorded_name(self) -> &'static str {
        match self {
            Self::Idempotent => "Pure",
            Self::IdempotentWithKey => "Receipted",
            Self::NonIdempotent => "Effectful",
        }
    }
}

/// What was observed. Clients, gateways and workers are numbered from 0; `call` is the same for all attempts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HistoryEvent {
    /// A client sent an attempt.
    #[serde(rename = "Asked")]
    AttemptSent {
        /// The call that is attempted.
        call: u64,
        /// Number of the attempt within its call, from 0.
        attempt: u32,
        /// The gateway to which it was sent.
        gateway: usize,
        /// Seconds for which the client waits.
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// A client began a call; recorded once for each call, with its first attempt.
    #[serde(rename = "Call")]
    RequestIssued {
        /// Number of the call.
        call: u64,
        /// The client group that makes it.
        group: usize,
        /// What it earns when answered in time.
        importance: f64,
        /// Seconds within which it is to be answered.
        #[serde(rename = "due")]
        latency_objective: f64,
        /// Whether it may be executed again.
        #[serde(rename = "effect")]
        idempotency: Idempotency,
        /// The fault of the scenario during which it was made.
        #[serde(rename = "trouble")]
        fault: Option<usize>,
    },
    /// An attempt ended at its client.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The call that was attempted.
        call: u64,
        /// Number of the attempt within its call.
        attempt: u32,
        /// The gateway to which it was sent.
        gateway: usize,
        /// How it ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// A worker read the head of a gateway's attempt.
    #[serde(rename = "Came")]
    AttemptReceived {
        /// The call that is attempted.
        call: u64,
        /// Number of the client's attempt within its call; the gateway may send it to several workers.
        attempt: u32,
        /// The gateway that sent it.
        gateway: usize,
        /// The worker that read it.
        worker: usize,
        /// Its work in seconds of one core of speed 1.
        work: f64,
    },
    /// An attempt that a worker received is over there: it was answered, or its connection is closed.
    #[serde(rename = "Over")]
    AttemptFinished {
        /// The gateway that sent it.
        gateway: usize,
        /// The worker that received it.
        worker: usize,
    },
    /// A worker executed a call, and did not recognise it as executed before.
    #[serde(rename = "Ran")]
    RequestExecuted {
        /// The call.
        call: u64,
        /// The worker.
        worker: usize,
    },
    /// A worker read a load request.
    #[serde(rename = "Ordered")]
    LoadRequested {
        /// The gateway that sent it.
        gateway: usize,
        /// The worker that read it.
        worker: usize,
    },
    /// A worker's process started.
    #[serde(rename = "Started")]
    WorkerStarted {
        /// The worker.
        worker: usize,
        /// Seconds of work that it does in a second when it is warm.
        capacity: f64,
        /// Whether it started long ago and is warm already.
        warm: bool,
    },
    /// An entry of the endpoint list was written to a gateway.
    #[serde(rename = "Told")]
    EndpointNotified {
        /// The gateway that is notified.
        gateway: usize,
        /// The worker of the entry.
        worker: usize,
        /// Whether the worker takes requests; otherwise it is draining or gone.
        ready: bool,
    },
    /// A gateway's process was killed.
    #[serde(rename = "Killed")]
    GatewayKilled {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway's process runs again after it was killed.
    #[serde(rename = "Back")]
    GatewayRestarted {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway's process, or one of its cores, was paused.
    #[serde(rename = "Still")]
    GatewayPaused {
        /// The gateway.
        gateway: usize,
    },
    /// A paused gateway runs again.
    #[serde(rename = "Moves")]
    GatewayResumed {
        /// The gateway.
        gateway: usize,
    },
    /// A datagram of a gateway to another was read on its link.
    #[serde(rename = "Sent")]
    DatagramSent {
        /// The gateway that sent it.
        gateway: usize,
        /// Its size.
        bytes: usize,
    },
    /// The first datagram of a gateway's process was read.
    #[serde(rename = "Lives")]
    IncarnationObserved {
        /// The gateway.
        gateway: usize,
        /// The number by which others know this process.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A gateway stated in a datagram that another gateway's process is in a state in which it had not stated it to be.
    #[serde(rename = "Says")]
    MemberStateReported {
        /// The gateway that sent the datagram.
        gateway: usize,
        /// The gateway that it is about.
        about: usize,
        /// The process of that gateway.
        #[serde(rename = "life")]
        incarnation: u64,
        /// 0 alive, 1 suspect, 2 dead, 3 left.
        state: u8,
    },
    /// Links that were cut carry datagrams again.
    #[serde(rename = "Mended")]
    LinksHealed,
}
