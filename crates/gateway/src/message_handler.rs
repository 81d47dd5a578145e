//! Handles the messages to one core by passing each to the responsible module.

use crate::attempt::{self, AttemptRequest};
use crate::core_context::CoreContext;
use crate::core_message::{AttemptId, CoreMessage, FaultInjection};
use crate::response::FinalResponse;
use crate::{client_connection, endpoint_watch, worker_commands};
use milletpath_config::WorkerSource;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

/// Handles one message. Must run within a `LocalSet`.
pub fn handle(context: &Rc<CoreContext>, message: CoreMessage) {
    match message {
        CoreMessage::AcceptConnection(stream, permit) => client_connection::accept(context, stream, permit),
        CoreMessage::SendAttempt { id, target, function } => {
            context.with_open_request(id.request, id.request_slot, |open_request| {
                let (headers, body) = (open_request.headers.clone(), open_request.body.clone());
                let attempt_request = AttemptRequest { function, headers, body };
                let task = attempt::send(context.clone(), id, target, attempt_request);
                open_request.attempts.push(spawn_local(task).abort_handle());
            });
        }
        CoreMessage::CancelAttempt(id) => cancel_attempt(context, id),
        CoreMessage::Respond { request_slot, response, channel } => {
            context.respond(request_slot, &channel, FinalResponse::Local(response));
        }
        CoreMessage::LoadFunction { load_request, target, function, instances } => {
            let context = context.clone();
            spawn_local(worker_commands::load_function(context, load_request, target, function, instances));
        }
        CoreMessage::UnloadFunction { target, function } => {
            spawn_local(worker_commands::unload_function(context.clone(), target, function));
        }
        CoreMessage::HealthCheck { target, serial } => {
            spawn_local(worker_commands::health_check(context.clone(), target, serial));
        }
        CoreMessage::WatchEndpoints => watch_endpoints(context),
        CoreMessage::CloseIdleConnection { worker } => context.close_one_idle(worker),
        CoreMessage::InjectFault(fault) => inject_fault(context, fault),
    }
}

fn cancel_attempt(context: &CoreContext, id: AttemptId) {
    context.with_open_request(id.request, id.request_slot, |open_request| {
        open_request.attempts.get(id.attempt).into_iter().for_each(AbortHandle::abort);
    });
}

fn watch_endpoints(context: &Rc<CoreContext>) {
    if let WorkerSource::Registry(address) = context.config().source {
        let task = spawn_local(endpoint_watch::watch(context.clone(), address));
        context.set_endpoint_watch(task.abort_handle());
    }
}

fn inject_fault(context: &Rc<CoreContext>, fault: FaultInjection) {
    match fault {
        FaultInjection::Stall(seconds) => std::thread::sleep(Duration::from_secs_f64(seconds)),
        FaultInjection::StallBeforeWrite(kind, seconds) => context.stall_before_next_write(kind, seconds),
        FaultInjection::Panic => panic!("panic injected by a test"),
        FaultInjection::DispatcherPanic => {
            let shared_runtime = context.shared_runtime.clone();
            let operation = async move {
                shared_runtime.with_dispatcher(None, |_, _| panic!("panic injected by a test"));
            };
            spawn_local(operation);
        }
    }
}
