//! The table of a core's open requests. For each request it holds the client's connection, the data sent by its
//! attempts, and the channel to the task that waits for its response. Slots are reused, so each access checks that the
//! slot still holds the expected request.

use crate::response::FinalResponse;
use crate::response_channel::ResponseChannel;
use bytes::Bytes;
use http::HeaderMap;
use milletpath_dispatcher::dispatcher::RequestId;
use slab::Slab;
use std::cell::RefCell;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// One open request.
pub struct OpenRequest {
    response: Option<oneshot::Sender<FinalResponse>>,
    channel: Arc<ResponseChannel>,
    /// The client's header fields that are forwarded.
    pub headers: HeaderMap,
    /// The client's request body.
    pub body: Bytes,
    /// The tasks of its attempts, indexed by attempt number.
    pub attempts: Vec<AbortHandle>,
    /// Whether attempts in flight are aborted when the request ends.
    cancels_attempts: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.cancels_attempts {
            self.attempts.iter().for_each(AbortHandle::abort);
        }
    }
}

/// The table of a core's open requests. Its size is bounded by the dispatcher's limit on open requests.
#[derive(Default)]
pub struct OpenRequests {
    slots: RefCell<Slab<OpenRequest>>,
}

/// The slot of a new request, and the receiver of its response.
pub struct NewRequest {
    /// Index in the table.
    pub request_slot: usize,
    /// Receives the response; closed if another core has responded.
    pub response: oneshot::Receiver<FinalResponse>,
}

impl OpenRequests {
    /// Adds a request.
    pub fn insert(
        &self,
        channel: Arc<ResponseChannel>,
        headers: HeaderMap,
        body: Bytes,
        cancels_attempts: bool,
    ) -> NewRequest {
        let (sender, response) = oneshot::channel();
        let open_request = OpenRequest {
            response: Some(sender),
            channel,
            headers,
            body,
            attempts: Vec::new(),
            cancels_attempts,
        };
        NewRequest { request_slot: self.slots.borrow_mut().insert(open_request), response }
    }

    /// Removes a request.
    pub fn remove(&self, request_slot: usize) {
        // Already borrowed only if a panic is unwinding through the borrower; the whole table is then about to be
        // dropped.
        let removed = self.slots.try_borrow_mut().ok().and_then(|mut slots| slots.try_remove(request_slot));
        // Dropped after the borrow has ended, because dropping it aborts tasks.
        drop(removed);
    }

    /// Calls `operation` with a request, unless it has ended.
    pub fn with<R>(
        &self,
        request: RequestId,
        request_slot: usize,
        operation: impl FnOnce(&mut OpenRequest) -> R,
    ) -> Option<R> {
        let mut slots = self.slots.borrow_mut();
        let open_request = slots.get_mut(request_slot)?;
        open_request.channel.is_current_request(request).then(|| operation(open_request))
    }

    /// Returns the connection of a request's client, unless the request has ended.
    pub fn channel(&self, request: RequestId, request_slot: usize) -> Option<Arc<ResponseChannel>> {
        self.with(request, request_slot, |open_request| open_request.channel.clone())
    }

    /// Sends the response to the task that waits for it. Does nothing if the slot has been reused for another client.
    pub fn respond(&self, request_slot: usize, channel: &Arc<ResponseChannel>, response: FinalResponse) {
        let mut slots = self.slots.borrow_mut();
        let open_request = slots.get_mut(request_slot).filter(|open| Arc::ptr_eq(&open.channel, channel));
        if let Some(sender) = open_request.and_then(|open_request| open_request.response.take()) {
            // Fails if the client has just disconnected and nothing waits for the response any more.
            let _ = sender.send(response);
        }
    }

    /// Closes the response channels of requests for which another core has responded.
    pub fn drop_answered(&self) {
        for (_, open_request) in self.slots.borrow_mut().iter_mut() {
            if open_request.channel.claim.is_taken_over() {
                open_request.response = None;
            }
        }
    }
}
