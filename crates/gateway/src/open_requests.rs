//! The requests that one core has open: for each its client's connection, what its attempts send, and who waits for its
//! response. A slot is used again, so each access checks that the slot still holds the request that is meant.

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
    /// The client's header fields that are passed on.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: Bytes,
    /// The tasks of its attempts, by number.
    pub attempts: Vec<AbortHandle>,
    /// Whether attempts in flight are aborted once the request is over.
    cancels_attempts: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.cancels_attempts {
            self.attempts.iter().for_each(AbortHandle::abort);
        }
    }
}

/// The table of a core's open requests; the dispatcher bounds their number.
#[derive(Default)]
pub struct OpenRequests {
    slots: RefCell<Slab<OpenRequest>>,
}

/// A request's slot, and where its response will arrive.
pub struct NewRequest {
    /// Position in the table.
    pub request_slot: usize,
    /// Receives the response; closed where another core has responded.
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
        // Borrowed only where a panic unwinds through the borrower; then the whole table is about to be dropped.
        let removed = self.slots.try_borrow_mut().ok().and_then(|mut slots| slots.try_remove(request_slot));
        // Dropped without the borrow: dropping it aborts tasks.
        drop(removed);
    }

    /// Calls `operation` with a request, unless it is over.
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

    /// The connection of a request's client, unless the request is over.
    pub fn channel(&self, request: RequestId, request_slot: usize) -> Option<Arc<ResponseChannel>> {
        self.with(request, request_slot, |open_request| open_request.channel.clone())
    }

    /// Hands the response to the task that waits for it; a slot that has gone to another client is left alone.
    pub fn respond(&self, request_slot: usize, channel: &Arc<ResponseChannel>, response: FinalResponse) {
        let mut slots = self.slots.borrow_mut();
        let open_request = slots.get_mut(request_slot).filter(|open| Arc::ptr_eq(&open.channel, channel));
        if let Some(sender) = open_request.and_then(|open_request| open_request.response.take()) {
            // A client that disconnected at this moment has nobody left to take it.
            let _ = sender.send(response);
        }
    }

    /// Closes the response channels of requests that another core has answered.
    pub fn drop_answered(&self) {
        for (_, open_request) in self.slots.borrow_mut().iter_mut() {
            if open_request.channel.claim.is_taken_over() {
                open_request.response = None;
            }
        }
    }
}
