//! The supervisor's actions on behalf of a core that is stalled or has no thread: sending due responses, and moving
//! work that does not depend on this core.

use crate::connection_limit::ConnectionPermit;
use crate::core_context::CoreContext;
use crate::core_message::{AttemptId, CoreMessage};
use crate::response::{LocalResponse, local_response};
use crate::response_channel::{ResponseChannel, has_unread};
use crate::shared_runtime::SharedRuntime;
use milletpath_dispatcher::dispatcher::AttemptResult;
use milletpath_multicore::connection_balancer::ConnectionBalancer;
use milletpath_policy::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A core that is not running, on whose behalf the supervisor acts.
pub struct StalledCore<'a> {
    /// Index of the core.
    pub core: usize,
    /// The supervisor's own context.
    pub context: &'a Rc<CoreContext>,
    /// Chooses cores for client connections.
    pub balancer: &'a RefCell<ConnectionBalancer>,
}

impl StalledCore<'_> {
    fn shared_runtime(&self) -> &SharedRuntime {
        &self.context.shared_runtime
    }

    /// Sends the final responses in the core's mailbox. All other messages stay there for the core.
    pub fn send_due_responses(&self) {
        for message in self.shared_runtime().core_slots[self.core].mailbox.take_all() {
            if let CoreMessage::Respond { response, channel, .. } = message {
                self.respond(&channel, response);
            } else {
                // The message is now queued after later ones. An attempt whose request has ended by then is not sent,
                // because the dispatcher is asked right before sending.
                self.shared_runtime().send(self.core, message);
            }
        }
    }

    /// Empties the core's mailbox: sends responses, reports attempts as not sent, moves connections to other cores, and
    /// sends load requests, unload requests and health checks from this thread.
    pub fn take_over_messages(&self) {
        // Bounded by the limit on client connections.
        let mut idle_connections = Vec::new();
        loop {
            let messages = self.shared_runtime().core_slots[self.core].mailbox.take_all();
            if messages.is_empty() {
                break;
            }
            for message in messages {
                idle_connections.extend(self.take_over(message));
            }
        }
        for connection in idle_connections {
            self.shared_runtime().send(self.core, connection);
        }
    }

    /// Handles one message. Returns it if only the core itself can handle it.
    fn take_over(&self, message: CoreMessage) -> Option<CoreMessage> {
        match message {
            CoreMessage::Respond { response, channel, .. } => self.respond(&channel, response),
            CoreMessage::SendAttempt { id, .. } => self.report_unsent(id),
            CoreMessage::AcceptConnection(stream, permit) => return self.reassign(stream, permit),
            CoreMessage::LoadFunction { .. }
            | CoreMessage::UnloadFunction { .. }
            | CoreMessage::HealthCheck { .. } => self.context.handle_message(message),
            // These concern the core's own tasks and idle connections, which no other thread can access.
            CoreMessage::CancelAttempt(_)
            | CoreMessage::CloseIdleConnection { .. }
            | CoreMessage::WatchEndpoints
            | CoreMessage::InjectFault(_) => {}
        }
        None
    }

    fn respond(&self, channel: &ResponseChannel, response: LocalResponse) {
        if channel.respond_from_other_core(local_response(response)) {
            let responses = &self.shared_runtime().faults.responses_for_stalled_cores;
            responses.fetch_add(1, Ordering::Relaxed);
            tracing::info!(core = self.core, ?response, "responded for a stalled core");
        }
    }

    fn report_unsent(&self, id: AttemptId) {
        let result = AttemptResult::from_outcome(Outcome::NotSent);
        self.context.with_dispatcher(|dispatcher, now| {
            dispatcher.attempt_ended(now, id.request, id.attempt, result);
        });
    }

    /// Moves a connection to another core. If there is none, rejects the request that was sent on it, or returns a
    /// connection without a request, to wait for the core.
    fn reassign(&self, stream: std::net::TcpStream, permit: ConnectionPermit) -> Option<CoreMessage> {
        let other = self.balancer.borrow_mut().pick_core();
        if other != self.core {
            self.shared_runtime().send(other, CoreMessage::AcceptConnection(stream, permit));
        } else if has_unread(&stream) {
            self.reject_request(stream, permit);
        } else {
            return Some(CoreMessage::AcceptConnection(stream, permit));
        }
        None
    }

    fn reject_request(&self, stream: std::net::TcpStream, permit: ConnectionPermit) {
        match TcpStream::from_std(stream) {
            Ok(stream) => {
                let channel = ResponseChannel::new(stream, self.shared_runtime().now());
                channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
                spawn_local(async move {
                    channel.linger().await;
                    drop(permit);
                });
            }
            Err(error) => tracing::warn!(%error, "a client connection can't be registered with the runtime"),
        }
    }
}
