//! Turns the dispatcher's actions into messages for cores. What concerns a request goes to the core that read it; load
//! requests and health checks go to the core that called the dispatcher, or are spread by worker.

use crate::connection_pool::{Endpoint, WorkerTarget};
use crate::core_message::{AttemptId, CoreMessage, RequestLocation};
use crate::response::LocalResponse;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId, WorkerProcess};

/// A message and the core that gets it.
pub struct RoutedMessage {
    /// Index of the core.
    pub core: usize,
    /// What it is to do.
    pub message: CoreMessage,
}

/// Routes the actions that follow one call of the dispatcher.
pub struct ActionRouter {
    /// The core that called the dispatcher, where one did.
    pub calling_core: Option<usize>,
    /// Cores that serve clients; the slot behind them is the supervisor's.
    pub cores: usize,
    /// Seconds since the start of the process.
    pub now: f64,
}

impl ActionRouter {
    /// The message for an action; `None` where its request is over already.
    pub fn route(
        &self,
        dispatcher: &mut Dispatcher<RequestLocation>,
        action: Action,
    ) -> Option<RoutedMessage> {
        match action {
            Action::SendAttempt { request, attempt, worker } => {
                self.send_attempt(dispatcher, request, attempt, worker)
            }
            Action::CancelAttempt { request, attempt } => cancel_attempt(dispatcher, request, attempt),
            Action::Reject { request, retry_after } => {
                respond(dispatcher, request, LocalResponse::Rejected(retry_after))
            }
            Action::Fail { request, timed_out } => {
                respond(dispatcher, request, LocalResponse::Failed { timed_out })
            }
            Action::LoadFunction { load_request, worker, function, instances } => {
                let target = target(dispatcher, worker);
                let message = CoreMessage::LoadFunction { load_request, target, function, instances };
                Some(self.for_worker(worker, message))
            }
            Action::UnloadFunction { worker, function } => {
                let target = target(dispatcher, worker);
                Some(self.for_worker(worker, CoreMessage::UnloadFunction { target, function }))
            }
            Action::HealthCheck { worker, serial } => {
                let target = target(dispatcher, worker);
                Some(self.for_worker(worker, CoreMessage::HealthCheck { target, serial }))
            }
            Action::WatchEndpoints => {
                Some(RoutedMessage { core: self.cores, message: CoreMessage::WatchEndpoints })
            }
        }
    }

    fn send_attempt(
        &self,
        dispatcher: &mut Dispatcher<RequestLocation>,
        request: RequestId,
        attempt: usize,
        worker: usize,
    ) -> Option<RoutedMessage> {
        let target = target(dispatcher, worker);
        // None where a later decision of the same call has cancelled it.
        dispatcher.time_left(self.now, request, attempt)?;
        let function = dispatcher.function(request)?;
        let location = dispatcher.context(request)?;
        let id = AttemptId { request, request_slot: location.request_slot, attempt };
        let message = CoreMessage::SendAttempt { id, target, function };
        Some(RoutedMessage { core: location.core, message })
    }

    /// For what no request is waiting for: the calling core if it serves clients, else one chosen by worker.
    fn for_worker(&self, worker: usize, message: CoreMessage) -> RoutedMessage {
        let calling_core = self.calling_core.filter(|core| *core < self.cores);
        RoutedMessage { core: calling_core.unwrap_or(worker % self.cores), message }
    }
}

fn target(dispatcher: &Dispatcher<RequestLocation>, worker: usize) -> WorkerTarget {
    let WorkerProcess { address, process } = dispatcher.worker_process(worker);
    WorkerTarget { worker, endpoint: Endpoint { address, process } }
}

fn cancel_attempt(
    dispatcher: &mut Dispatcher<RequestLocation>,
    request: RequestId,
    attempt: usize,
) -> Option<RoutedMessage> {
    let location = dispatcher.context(request)?;
    let id = AttemptId { request, request_slot: location.request_slot, attempt };
    Some(RoutedMessage { core: location.core, message: CoreMessage::CancelAttempt(id) })
}

fn respond(
    dispatcher: &mut Dispatcher<RequestLocation>,
    request: RequestId,
    response: LocalResponse,
) -> Option<RoutedMessage> {
    let location = dispatcher.context(request)?;
    let (request_slot, channel) = (location.request_slot, location.channel.clone());
    let message = CoreMessage::Respond { request_slot, response, channel };
    Some(RoutedMessage { core: location.core, message })
}
