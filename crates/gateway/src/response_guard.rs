//! Ensures that each request ends. A request that is dropped before its response is ready is cancelled, and its client
//! gets a response if one can still be written.

use crate::core_context::CoreContext;
use crate::response::{LocalResponse, ResponseBody, local_response};
use crate::response_channel::ResponseChannel;
use http::Response;
use http::header::{self, HeaderValue};
use milletpath_dispatcher::dispatcher::RequestId;
use std::rc::Rc;
use std::sync::Arc;

/// Guards a request from the time its head is read until its response is ready.
pub struct ResponseGuard {
    context: Rc<CoreContext>,
    /// The client's connection.
    pub channel: Arc<ResponseChannel>,
    /// The id of the request, once the dispatcher has accepted it.
    pub request: Option<RequestId>,
    /// The request's index in the core's table, once it is open.
    pub request_slot: Option<usize>,
    is_ready: bool,
}

impl ResponseGuard {
    /// Creates a guard for a request whose head has just been read.
    pub fn new(context: Rc<CoreContext>, channel: Arc<ResponseChannel>) -> Self {
        Self { context, channel, request: None, request_slot: None, is_ready: false }
    }

    /// Marks the response as ready. From now on only the connection's own core writes it.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
        self.channel.begin_response();
    }

    /// Cancels the request of a client that has disconnected. The returned response is for a client that has closed
    /// only its sending side. It closes the connection, because no further requests would be read on it.
    pub fn cancel(&self) -> Response<ResponseBody> {
        let mut response = local_response(self.interrupt());
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Notifies the dispatcher that no client waits for this request any more. Returns the response for an abandoned
    /// request.
    fn interrupt(&self) -> LocalResponse {
        let shared_runtime = &self.context.shared_runtime;
        let client_gone = |request| {
            shared_runtime.with_dispatcher(None, |dispatcher, now| dispatcher.client_gone(now, request))
        };
        LocalResponse::interrupted(self.request.is_some_and(client_gone))
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if !self.is_ready {
            self.channel.respond_from_other_core(local_response(self.interrupt()));
        }
        if let Some(request_slot) = self.request_slot {
            self.context.close_request(request_slot);
        }
    }
}
