//! Accepted requests and their attempts. The table tracks which requests still await a response; the rest of the
//! dispatcher decides what the response is.

use super::action::RequestId;
use super::messages::InterruptedRequest;
use super::slot_table::SlotTable;
use crate::timer_wheel::TimerKey;

#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptStage {
    /// The connection is not established yet, so nothing can have been executed.
    Connecting,
    /// The first byte may have been sent.
    Sent,
    Ended,
}

pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) dispatched_at: f64,
    pub(super) deadline: f64,
    pub(super) stage: AttemptStage,
    pub(super) deadline_timer: TimerKey,
    pub(super) connect_timer: TimerKey,
}

pub(super) struct Request<T> {
    pub(super) function: usize,
    /// Time at which the client gives up.
    pub(super) deadline: f64,
    pub(super) awaiting_answer: bool,
    /// Bounded by the configured number of attempts per request.
    pub(super) attempts: Vec<Attempt>,
    /// Whether an attempt timed out.
    pub(super) timed_out: bool,
    /// Whether an attempt was sent, so that the request may have been executed in part.
    pub(super) may_have_run: bool,
    /// The caller's context.
    pub(super) context: T,
}

impl<T> Request<T> {
    pub(super) fn new(function: usize, deadline: f64, context: T) -> Self {
        Self {
            function,
            deadline,
            awaiting_answer: true,
            attempts: Vec::new(),
            timed_out: false,
            may_have_run: false,
            context,
        }
    }

    pub(super) fn into_interrupted(self) -> InterruptedRequest<T> {
        InterruptedRequest { context: self.context, may_have_run: self.may_have_run }
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.stage != AttemptStage::Ended)
    }
}

/// Requests by id. The number of open requests is limited by the configuration; the caller of
/// [`insert`](Self::insert) checks it. The table also holds closed requests whose attempts have not ended, and
/// released requests until all queued actions have been taken.
pub(super) struct RequestTable<T> {
    requests: SlotTable<Request<T>>,
    /// Requests that the router will not refer to again, kept until no queued action can refer to them either.
    released: Vec<RequestId>,
    open: usize,
}

impl<T> RequestTable<T> {
    pub(super) fn new() -> Self {
        Self { requests: SlotTable::new(), released: Vec::new(), open: 0 }
    }

    /// Number of requests whose clients wait for a response.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Adds a request whose client waits for a response.
    pub(super) fn insert(&mut self, serial: u64, request: Request<T>) -> RequestId {
        self.open += 1;
        self.requests.insert(serial, request)
    }

    pub(super) fn id_at(&self, index: usize) -> RequestId {
        self.requests.id_at(index)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request<T>> {
        self.requests.get_mut(id)
    }

    /// Returns an attempt if it has not ended.
    pub(super) fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(id)?.attempts.get_mut(attempt);
        attempt.filter(|attempt| attempt.stage != AttemptStage::Ended)
    }

    /// Closes an open request, on behalf of the code that sends the response. Returns `None` if it was closed before.
    pub(super) fn close(&mut self, id: RequestId) -> Option<&Request<T>> {
        let request = self.requests.get_mut(id).filter(|request| request.awaiting_answer)?;
        request.awaiting_answer = false;
        self.open -= 1;
        Some(request)
    }

    /// Marks a request that only queued actions can still refer to.
    pub(super) fn release(&mut self, index: usize) {
        self.released.push(self.requests.id_at(index));
    }

    /// Removes the released requests; no action may refer to them any more.
    pub(super) fn free_released(&mut self) {
        while let Some(id) = self.released.pop() {
            self.requests.remove(id);
        }
    }

    pub(super) fn iter_open(&self) -> impl Iterator<Item = (RequestId, &Request<T>)> {
        self.requests.iter().filter(|(_, request)| request.awaiting_answer)
    }

    pub(super) fn into_open_requests(self) -> impl Iterator<Item = Request<T>> {
        self.requests.into_records().filter(|request| request.awaiting_answer)
    }
}
