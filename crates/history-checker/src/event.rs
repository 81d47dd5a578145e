//! The records of a history. They are stored as JSON Lines, whose names differ from those in the code.

use serde::{Deserialize, Serialize};

/// An event and the time at which it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Time in seconds of the history's clock.
    pub at: f64,
    /// The observed event.
    #[serde(rename = "saw")]
    pub event: HistoryEvent,
}

/// How a client's attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// A worker answered.
    #[serde(rename = "Handled")]
    Succeeded,
    /// The gateway answered that nothing was executed, so the client may retry.
    #[serde(rename = "Bounced")]
    Rejected,
    /// The gateway answered that the request failed, although it may have been executed.
    #[serde(rename = "Terminated")]
    Failed,
    /// The gateway could not be reached, so it accepted nothing.
    #[serde(rename = "Unreached")]
    Unreachable,
    /// The connection broke before an answer arrived.
    #[serde(rename = "Broken")]
    ConnectionLost,
    /// The client's timeout expired without an answer.
    Unanswered,
    /// The client closed the connection before its timeout expired.
    #[serde(rename = "Left")]
    Abandoned,
}

impl AttemptOutcome {
    /// The name of the outcome in stored histories and in reports.
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

/// The effect of executing a call more than once, as declared by its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeated executions have no further effect.
    #[serde(rename = "Pure")]
    Idempotent,
    /// Workers recognise a repetition by its idempotency key and do not execute it again.
    #[serde(rename = "Receipted")]
    IdempotentWithKey,
    /// Each execution has its effect again, so a call must not be executed twice.
    #[serde(rename = "Effectful")]
    NonIdempotent,
}

impl Idempotency {
    /// The name of this value in stored histories and in reports.
    pub(crate) fn recorded_name(self) -> &'static str {
        match self {
            Self::Idempotent => "Pure",
            Self::IdempotentWithKey => "Receipted",
            Self::NonIdempotent => "Effectful",
        }
    }
}

/// An observed event. Client groups, gateways and workers are numbered from 0; all attempts of a call share its `call`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HistoryEvent {
    /// A client sent an attempt.
    #[serde(rename = "Asked")]
    AttemptSent {
        /// The call to which the attempt belongs.
        call: u64,
        /// Number of the attempt within its call, from 0.
        attempt: u32,
        /// The gateway to which the attempt was sent.
        gateway: usize,
        /// Seconds for which the client waits for an answer.
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// A client issued a call; recorded once per call, with its first attempt.
    #[serde(rename = "Call")]
    RequestIssued {
        /// Number of the call.
        call: u64,
        /// The client group that issued it.
        group: usize,
        /// The service that it earns when answered in time.
        importance: f64,
        /// Seconds within which it should be answered.
        #[serde(rename = "due")]
        latency_objective: f64,
        /// Whether it may be executed more than once.
        #[serde(rename = "effect")]
        idempotency: Idempotency,
        /// The scenario's fault during which it was issued, if any.
        #[serde(rename = "trouble")]
        fault: Option<usize>,
    },
    /// A client's attempt ended.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The call to which the attempt belongs.
        call: u64,
        /// Number of the attempt within its call.
        attempt: u32,
        /// The gateway to which the attempt was sent.
        gateway: usize,
        /// How the attempt ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// A worker read the head of an attempt sent by a gateway.
    #[serde(rename = "Came")]
    AttemptReceived {
        /// The call to which the attempt belongs.
        call: u64,
        /// Number of the client's attempt within its call; the gateway may send it to several workers.
        attempt: u32,
        /// The gateway that sent it.
        gateway: usize,
        /// The worker that read it.
        worker: usize,
        /// Its work, in seconds on one core of speed 1.
        work: f64,
    },
    /// An attempt ended at the worker that received it: it was answered, or its connection closed.
    #[serde(rename = "Over")]
    AttemptFinished {
        /// The gateway that sent it.
        gateway: usize,
        /// The worker that received it.
        worker: usize,
    },
    /// A worker executed a call that it did not recognise as a repetition.
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
        /// Seconds of work that it completes per second once it is warm.
        capacity: f64,
        /// Whether it started long ago and is already warm.
        warm: bool,
    },
    /// The registry wrote an entry of the endpoint list to a gateway.
    #[serde(rename = "Told")]
    EndpointNotified {
        /// The gateway that was notified.
        gateway: usize,
        /// The worker that the entry describes.
        worker: usize,
        /// Whether the worker accepts requests; if not, it is draining or gone.
        ready: bool,
    },
    /// A gateway's process was killed.
    #[serde(rename = "Killed")]
    GatewayKilled {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway's process was restarted after it had been killed.
    #[serde(rename = "Back")]
    GatewayRestarted {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway's process or one of its cores was paused.
    #[serde(rename = "Still")]
    GatewayPaused {
        /// The gateway.
        gateway: usize,
    },
    /// A paused gateway resumed.
    #[serde(rename = "Moves")]
    GatewayResumed {
        /// The gateway.
        gateway: usize,
    },
    /// A datagram from one gateway to another was read on their link.
    #[serde(rename = "Sent")]
    DatagramSent {
        /// The gateway that sent it.
        gateway: usize,
        /// Size of the datagram.
        bytes: usize,
    },
    /// The first datagram from a gateway's process was read.
    #[serde(rename = "Lives")]
    IncarnationObserved {
        /// The gateway.
        gateway: usize,
        /// The number that identifies this process to other gateways.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A gateway's datagram reported a changed state of another gateway's process.
    #[serde(rename = "Says")]
    MemberStateReported {
        /// The gateway that sent the datagram.
        gateway: usize,
        /// The gateway whose state is reported.
        about: usize,
        /// The process of that gateway.
        #[serde(rename = "life")]
        incarnation: u64,
        /// 0: alive, 1: suspect, 2: dead, 3: left.
        state: u8,
    },
    /// Links that had been cut carry datagrams again.
    #[serde(rename = "Mended")]
    LinksHealed,
}
