//! Scheduled events, grouped by the module that handles them.

use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_emulator::scenario::TimedStep;
use milletpath_emulator::scenario_file::FaultKind;
use milletpath_history_checker::AttemptOutcome;
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::registry::EndpointEntry;
use std::collections::VecDeque;

/// A client's attempt: its call, and its number within the call, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientAttempt {
    pub call: usize,
    pub number: u32,
}

/// A gateway's attempt at a worker: the gateway's request, and the number of the attempt within it.
#[derive(Clone, Copy)]
pub(crate) struct GatewayAttempt {
    pub gateway: usize,
    pub request: RequestId,
    pub number: usize,
}

/// A load request sent by a gateway.
#[derive(Clone, Copy)]
pub(crate) struct LoadRequest {
    pub gateway: usize,
    pub id: RequestId,
}

/// A process of a worker. Messages sent to an earlier process are not delivered to its successor.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerProcess {
    pub worker: usize,
    /// Number of the process among those of the worker, from 0.
    pub number: u64,
}

pub(crate) enum Event {
    Client(ClientInput),
    Gateway {
        gateway: usize,
        input: GatewayInput,
    },
    Worker {
        process: WorkerProcess,
        input: WorkerInput,
    },
    Fault(FaultEvent),
    /// Changes of the endpoint list arrive at all gateways.
    EndpointsChanged(Vec<EndpointEntry>),
    /// Notifications that a stalled registry has held back are deemed delivered: the workers, and whether each is ready.
    EndpointsDeemedNotified(Vec<(usize, bool)>),
    /// The registry confirms to all gateways that the endpoint list is unchanged.
    EndpointsConfirmed,
}

pub(crate) enum ClientInput {
    SendAttempt(ClientAttempt),
    /// An answer arrives, or the timeout expires.
    AttemptEnded {
        attempt: ClientAttempt,
        gateway: usize,
        outcome: AttemptOutcome,
    },
    /// The client closes its connection.
    Cancel {
        attempt: ClientAttempt,
        gateway: usize,
    },
}

pub(crate) enum GatewayInput {
    RequestArrives(ClientAttempt),
    /// The dispatcher's timer is due.
    Timer,
    AttemptEnded {
        attempt: GatewayAttempt,
        result: AttemptResult,
    },
    LoadRequestEnded {
        id: RequestId,
        outcome: Outcome,
        instances: u8,
    },
    HealthCheckEnded {
        worker: usize,
        serial: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// The shared-budget timer is due.
    BudgetTimer,
    /// A message about shared budgets arrives from another gateway's process.
    BudgetMessage {
        sender: u64,
        bytes: Vec<u8>,
    },
}

pub(crate) enum WorkerInput {
    /// The timer of the worker model is due.
    Timer,
    /// The store answered a fetch.
    FetchEnded {
        load: u64,
        succeeded: bool,
    },
    AttemptArrives(GatewayAttempt),
    LoadRequestArrives {
        request: LoadRequest,
        function: u32,
        instances: u8,
    },
    HealthCheckArrives {
        gateway: usize,
        serial: u64,
    },
}

pub(crate) enum FaultEvent {
    /// The fault with this number in the scenario begins.
    Begins(usize),
    /// The next step of an active fault is due; `steps` are the remaining ones.
    Continues { kind: FaultKind, steps: VecDeque<TimedStep> },
}
