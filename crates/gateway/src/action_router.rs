//! Converts the dispatcher's actions into messages for cores. Messages about a request go to the core that read it.
//! Load requests, unload requests and health checks go to the core that called the dispatcher, or are distributed over
//! the cores by worker index.

use crate::connection_pool::{Endpoint, WorkerTarget};
use crate::core_message::{AttemptId, CoreMessage, RequestLocation};
use crate::response::LocalResponse;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId, WorkerProcess};

/// A message and its destination core.
pub struct RoutedMessage {
    /// Index of the destination core.
    pub core: usize,
    /// The message to post to it.
    pub message: CoreMessage,
}

/// Routes the actions that result from one dispatcher call.
pub struct ActionRouter {
    /// The core that called the dispatcher; `None` if the caller is not a core.
    pub calling_core: Option<usize>,
    /// Number of cores that serve clients; the slot at this index belongs to the supervisor.
    pub cores: usize,
    /// Time of the dispatcher call, in seconds since the process started.
    pub now: f64,
}

impl ActionRouter {
    /// Returns the message for an action, or `None` if its request has already ended.
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
        // `None` if a later decision of the same dispatcher call has cancelled the attempt.
        dispatcher.time_left(self.now, request, attempt)?;
        let function = dispatcher.function(request)?;
        let location = dispatcher.context(request)?;
        let id = AttemptId { request, request_slot: location.request_slot, attempt };
        let message = CoreMessage::SendAttempt { id, target, function };
        Some(RoutedMessage { core: location.core, message })
    }

    /// Routes a message that belongs to no request: to the calling core if it serves clients, otherwise to a core
    /// chosen by worker index.
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
