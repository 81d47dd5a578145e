//! The requests that the dispatcher has accepted, with their attempts. The table knows which requests still await an
//! answer; what the answer is, the rest of the dispatcher decides.

use super::action::RequestId;
use super::messages::InterruptedRequest;
use super::slot_table::SlotTable;
use crate::timer_wheel::TimerKey;

#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptStage {
    /// Its connection is not made yet, so nothing of it can have been executed.
    Connecting,
    /// Its first byte may have been sent.
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
    /// When the client gives up.
    pub(super) deadline: f64,
    pub(super) awaiting_answer: bool,
    /// Bounded by the attempts a request that the configuration allows.
    pub(super) attempts: Vec<Attempt>,
    /// An attempt ended because time ran out.
    pub(super) timed_out: bool,
    /// An attempt was sent: parts of the request may have been executed.
    pub(super) may_have_run: bool,
    /// What the caller stored with the request.
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

/// The requests by id. Open ones are bounded by the configured limit, which the caller of [`insert`](Self::insert)
/// checks; the others are those whose attempts have not ended, and those released since the actions were last taken.
pub(super) struct RequestTable<T> {
    requests: SlotTable<Request<T>>,
    /// Requests that the router has forgotten, kept until no action that is still to be taken can name them.
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

    /// An attempt that has not ended.
    pub(super) fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(id)?.attempts.get_mut(attempt);
        attempt.filter(|attempt| attempt.stage != AttemptStage::Ended)
    }

    /// Closes a request whose client waits for a response, for whoever gives that answer; none if it was closed before.
    pub(super) fn close(&mut self, id: RequestId) -> Option<&Request<T>> {
        let request = self.requests.get_mut(id).filter(|request| request.awaiting_answer)?;
        request.awaiting_answer = false;
        self.open -= 1;
        Some(request)
    }

    /// Marks a request as one that nothing but actions still to be taken can name.
    pub(super) fn release(&mut self, index: usize) {
        self.released.push(self.requests.id_at(index));
    }

    /// Frees the released requests, once no action names them any more.
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
