//! What the desk has for a core, carried out: each errand goes to the piece that does it.

use crate::core_context::CoreContext;
use crate::response::FinalResponse;
use crate::shared_runtime::{CoreMessage, FaultInjection};
use crate::{attempt, endpoint_watch, http_service};
use milletpath_config::WorkerSource;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

pub fn handle(context: &Rc<CoreContext>, message: CoreMessage) {
    match message {
        CoreMessage::AcceptConnection(stream, permit) => http_service::accept(context, stream, permit),
        CoreMessage::SendAttempt {
            request,
            request_slot,
            attempt,
            worker,
            endpoint,
            function,
            time_left,
        } => {
            context.with_open_request(request, request_slot, |open_request| {
                let (headers, body) = (open_request.headers.clone(), open_request.body.clone());
                let parts = attempt::AttemptRequest { function, time_left, headers, body };
                let task =
                    attempt::send(context.clone(), (request, request_slot, attempt), worker, endpoint, parts);
                open_request.attempts.push(spawn_local(task).abort_handle());
            });
        }
        CoreMessage::CancelAttempt { request, request_slot, attempt } => {
            context.with_open_request(request, request_slot, |open_request| {
                open_request.attempts.get(attempt).into_iter().for_each(AbortHandle::abort)
            });
        }
        CoreMessage::Respond { request_slot, local, channel } => {
            context.respond(request_slot, &channel, FinalResponse::Local(local))
        }
        CoreMessage::LoadFunction { load_request, worker, endpoint, function, instances } => {
            spawn_local(attempt::load_function(
                context.clone(),
                load_request,
                worker,
                endpoint,
                function,
                instances,
            ));
        }
        CoreMessage::UnloadFunction { worker, endpoint, function } => {
            spawn_local(attempt::unload_function(context.clone(), worker, endpoint, function));
        }
        CoreMessage::HealthCheck { worker, endpoint, serial } => {
            spawn_local(attempt::health_check(context.clone(), worker, endpoint, serial));
        }
        CoreMessage::WatchEndpoints => {
            if let WorkerSource::Registry(address) = context.config().source {
                context.set_endpoint_watch(
                    spawn_local(endpoint_watch::watch(context.clone(), address)).abort_handle(),
                );
            }
        }
        CoreMessage::CloseIdleConnection { worker } => context.close_one_idle(worker),
        CoreMessage::InjectFault(FaultInjection::Stall(seconds)) => {
            std::thread::sleep(Duration::from_secs_f64(seconds))
        }
        CoreMessage::InjectFault(FaultInjection::Panic) => panic!("asked for"),
        CoreMessage::InjectFault(FaultInjection::DispatcherPanic) => {
            let context = context.clone();
            spawn_local(
                async move { context.shared_runtime.with_dispatcher(None, |_, _| panic!("asked for")) },
            );
        }
    }
}
