//! Submits the calls of clients to the dispatcher and returns its final responses to the clients.

use crate::platform_router::{ClientKey, OpenCall, PlatformRouter, RequestContext};
use crate::write_buffer::WriteBuffer;
use milletpath_dispatcher::dispatcher::{FunctionResources, IncomingRequest, RequestId};
use milletpath_platform_protocol::lines::{self, Call};

/// Seconds before the client's deadline at which the final response is sent. Covers the delay on a busy host from the
/// client's write to the router's read, and back.
pub(crate) const RESPONSE_MARGIN: f64 = 0.015;
/// Seconds deducted from the estimated time that a call was unread. The forwarded deadline is allowed to exceed the
/// client's remaining time by 0.15 s. The deduction reduces the time lost by a call that arrived at the end of a
/// process pause, or in an apparent pause on a busy host.
const UNREAD_SLACK: f64 = 0.1;

impl PlatformRouter {
    /// Whether a call that is read now is rejected whatever it contains.
    pub(super) fn rejects_all_calls(&self) -> bool {
        let now = self.now();
        self.is_behind(now) || self.shutdown.rejects(now)
    }

    /// Submits a call to the dispatcher, or rejects it immediately.
    pub(super) fn submit_call(&mut self, slot: usize, call: Call) {
        if !self.admits_call(slot) {
            return self.reject_call(slot, call.number);
        }
        let now = self.now();
        let Some(connection) = self.clients.get(slot) else { return };
        let client = ClientKey { slot, serial: connection.serial };
        let unread_since = connection.reading_paused_since.unwrap_or(now);
        let arrived_at = self.liveness.earliest_arrival(now, connection.emptied_at).min(unread_since);
        let unread_seconds = (now - arrived_at - UNREAD_SLACK).max(0.0);
        let time_left = (call.timeout - unread_seconds - RESPONSE_MARGIN).max(0.0);
        let reservation = self.memory_budget.reserve(call.body.capacity() + call.idempotency_key.capacity());
        if self.memory_budget.is_full() {
            self.memory_rejections.record();
            return self.reject_call(slot, call.number);
        }
        let profile = index_of(&self.profiles, &call.profile);
        let incoming = IncomingRequest {
            function: &call.function,
            profile,
            client: index_of(&self.groups, &call.client),
            timeout: time_left.min(self.shutdown.time_to_answer(now)),
            is_retry: call.is_retry,
            resources: Some(FunctionResources {
                lanes: call.lanes,
                memory: call.memory,
                load_time: call.load,
            }),
        };
        let context = RequestContext {
            client,
            number: call.number,
            id: call.id,
            profile,
            idempotency_key: call.idempotency_key,
            body: call.body,
            _reservation: reservation,
            response_reservation: None,
            received_at: now,
            last_attempt_at: now,
            worker_connections: Vec::new(),
        };
        match self.dispatcher.submit(now, incoming, context) {
            Some(request) => self.open_call(slot, call.id, OpenCall { number: call.number, request }),
            None => self.reject_call(slot, call.number),
        }
    }

    /// Whether calls on a connection are admitted now. An overflow connection becomes a regular one once there is
    /// room.
    fn admits_call(&mut self, slot: usize) -> bool {
        let now = self.now();
        if self.shutdown.rejects(now) {
            return false;
        }
        let over_limit = self.clients.len() > self.connection_limits.clients;
        match self.clients.get_mut(slot) {
            Some(client) if client.has_left => false,
            Some(client) if client.overflow && over_limit => false,
            Some(client) => {
                client.overflow = false;
                true
            }
            None => true,
        }
    }

    fn open_call(&mut self, slot: usize, id: u64, call: OpenCall) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.open_calls.push(call);
            self.open_request_ids.insert(id);
        }
    }

    /// Rejects a call that was not admitted. The caller flushes the write buffer.
    fn reject_call(&mut self, slot: usize, number: u64) {
        if let Some(client) = self.clients.get_mut(slot) {
            let retry_after = self.retry_after;
            client.write_buffer.append_short(|line| {
                lines::write_rejected(line, number, retry_after);
            });
        }
    }

    /// Rejects a call of which only the number was read.
    pub(super) fn reject_unread_call(&mut self, slot: usize, number: u64) {
        if !self.shutdown.begun() {
            self.unread_rejections.record();
        }
        self.reject_call(slot, number);
    }

    /// Cancels the calls of a client that have this request id or, if no id is given, this number.
    pub(super) fn cancel_calls(&mut self, slot: usize, id: Option<u64>, number: Option<u64>) {
        let matching = self.calls_to_cancel(slot, id, number);
        let Some(client) = self.clients.get_mut(slot) else { return };
        let open_calls = std::mem::take(&mut client.open_calls);
        let (cancelled, kept): (Vec<_>, Vec<_>) =
            open_calls.into_iter().partition(|call| matching.contains(&call.request));
        client.open_calls = kept;
        self.cancel_requests(cancelled);
    }

    /// Notifies the dispatcher that the client no longer waits for these calls.
    pub(super) fn cancel_requests(&mut self, calls: Vec<OpenCall>) {
        let now = self.now();
        for OpenCall { request, .. } in calls {
            let Some(id) = self.release_request_id(request) else { continue };
            if self.dispatcher.client_gone(now, request) {
                self.abandoned_ids.insert(now, id);
            }
        }
    }

    /// Releases and returns the id of a request that has ended; `None` if the dispatcher does not know the request any
    /// more.
    fn release_request_id(&mut self, request: RequestId) -> Option<u64> {
        let id = self.dispatcher.context(request).map(|context| context.id)?;
        self.open_request_ids.remove(&id);
        Some(id)
    }

    /// Gives a client the final response to its call, if it is still connected and has none. `write` appends the response
    /// with the call's number to the write buffer, which is written by the next [`run_actions`](Self::run_actions).
    pub fn send_final_response(&mut self, request: RequestId, write: impl FnOnce(&mut WriteBuffer, u64)) {
        let Some(context) = self.dispatcher.context(request) else { return };
        let (key, number, id) = (context.client, context.number, context.id);
        self.open_request_ids.remove(&id);
        let Some(client) = self.client_by_key(key) else { return };
        if !client.take_open_call(number) {
            return;
        }
        write(&mut client.write_buffer, number);
        self.flush_later(key);
    }

    /// Ends an open call at once: failed if it may have run, rejected if it has not started. The caller flushes the write
    /// buffer.
    pub(super) fn end_call(&mut self, slot: usize, call: OpenCall, now: f64) {
        let OpenCall { number, request } = call;
        self.release_request_id(request);
        // Ending one request may end others, whose responses are then among the dispatcher's actions. Those find their
        // calls answered.
        let may_have_run = self.dispatcher.client_gone(now, request);
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.take_open_call(number);
        if may_have_run {
            client.write_buffer.append_short(|line| lines::write_failed(line, number));
        } else {
            self.reject_call(slot, number);
        }
    }

    /// Ends a request for whose response there is no memory before it is sent.
    pub fn reject_without_memory(&mut self, request: RequestId) {
        let now = self.now();
        let Some(context) = self.dispatcher.context(request) else { return };
        let (key, number) = (context.client, context.number);
        if self.client_by_key(key).is_none() {
            return;
        }
        self.memory_rejections.record();
        self.end_call(key.slot, OpenCall { number, request }, now);
        self.flush_later(key);
    }

    /// Has the client's write buffer flushed by the next [`run_actions`](Self::run_actions).
    pub(super) fn flush_later(&mut self, key: ClientKey) {
        let Some(client) = self.client_by_key(key) else { return };
        if !std::mem::replace(&mut client.flush_pending, true) {
            self.answered_clients.push(key);
        }
    }

    /// Tells a client that its request has failed, as [`send_final_response`](Self::send_final_response) does.
    pub fn send_failure(&mut self, request: RequestId) {
        self.send_final_response(request, |out, number| {
            out.append_short(|line| lines::write_failed(line, number));
        });
    }

    /// Writes the final responses of the events handled since the last call: several responses to one client go in one
    /// write. Returns whether there were any.
    pub fn flush_answered_clients(&mut self) -> bool {
        let answered = std::mem::take(&mut self.answered_clients);
        for key in &answered {
            let Some(client) = self.client_by_key(*key) else { continue };
            client.flush_pending = false;
            self.flush_client(key.slot);
            if self.shutdown.admission_closed() {
                self.shut_down_if_idle(key.slot, self.now());
            }
        }
        !answered.is_empty()
    }
}

/// Index of a name in a list, or `usize::MAX` if it is not in the list.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|other| other == name).unwrap_or(usize::MAX)
}
