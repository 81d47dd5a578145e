//! What happens at a time, by the module that handles it.

use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_emulator::scenario::TimedStep;
use milletpath_emulator::scenario_file::FaultKind;
use milletpath_history_checker::AttemptOutcome;
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::registry::EndpointEntry;
use std::collections::VecDeque;

/// An attempt of a client: its call, and its number within the call, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientAttempt {
    pub call: usize,
    pub number: u32,
}

/// An attempt of a gateway at a worker: the gateway's request, and the number of the attempt within it.
#[derive(Clone, Copy)]
pub(crate) struct GatewayAttempt {
    pub gateway: usize,
    pub request: RequestId,
    pub number: usize,
}

/// A load request of a gateway.
#[derive(Clone, Copy)]
pub(crate) struct LoadRequest {
    pub gateway: usize,
    pub id: RequestId,
}

/// A process of a worker. What was sent to a former process reaches nobody.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerProcess {
    pub worker: usize,
    /// Counts the worker's processes from 0.
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
    /// Changes of the endpoint list reach all gateways.
    EndpointsChanged(Vec<EndpointEntry>),
    /// What the registry would have told of some workers counts as told: whether each is ready.
    EndpointsDeemedNotified(Vec<(usize, bool)>),
    /// The registry confirms to all gateways that the endpoint list is as it was.
    EndpointsConfirmed,
}

pub(crate) enum ClientInput {
    SendAttempt(ClientAttempt),
    /// An answer arrives, or the timeout passes.
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
    /// A timer of the dispatcher is due.
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
    /// A timer of the budgets that gateways share is due.
    BudgetTimer,
    /// A message about shared budgets arrives from the process of another gateway.
    BudgetMessage {
        sender: u64,
        bytes: Vec<u8>,
    },
}

pub(crate) enum WorkerInput {
    /// A timer of the worker's model is due.
    Timer,
    /// The store has answered a fetch.
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
    /// The fault of this number in the scenario begins.
    Begins(usize),
    /// The next step of a fault that has begun is due: the first of those that are left.
    Continues { kind: FaultKind, steps: VecDeque<TimedStep> },
}
