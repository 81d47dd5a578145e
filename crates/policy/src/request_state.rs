//! State of each request: its times and its attempts.

/// One attempt of a request at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    /// The worker's process when the attempt was sent. What the attempt shows says nothing about a later one.
    pub(crate) process: u64,
    /// The worker's zone and cell when the attempt was sent. The idempotency key is known there, even if the worker
    /// index is reassigned later.
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    pub(crate) sent_at: f64,
    pub(crate) in_flight: bool,
    /// The attempt certainly did not run.
    pub(crate) never_ran: bool,
    /// The attempt was sent to a worker where an instance was loaded, as far as known.
    pub(crate) warm: bool,
}

/// A request that is not released yet.
pub(crate) struct Request {
    /// Number of the request among all that have arrived, never reused.
    pub(crate) arrival_number: u64,
    pub(crate) function: usize,
    pub(crate) profile: usize,
    pub(crate) client: usize,
    /// When the request arrived, and when its client gives up, in seconds.
    pub(crate) arrived_at: f64,
    pub(crate) deadline: f64,
    /// The final response is pending.
    pub(crate) is_open: bool,
    /// The request arrived over its client group's quota.
    pub(crate) over_quota: bool,
    /// When the request was admitted under its client group's rate limit.
    pub(crate) admitted_at: f64,
    /// Retry-After in seconds, if the rate limit does not admit the request.
    pub(crate) retry_after: Option<f64>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// All requests that are not released yet, by the host's index.
#[derive(Default)]
pub(crate) struct Requests {
    requests: Vec<Option<Request>>,
    count: usize,
}

impl Requests {
    pub(crate) fn insert(&mut self, id: usize, request: Request) {
        self.requests.resize_with(self.requests.len().max(id + 1), || None);
        let replaced = self.requests[id].replace(request);
        self.count += usize::from(replaced.is_none());
    }

    pub(crate) fn get(&self, id: usize) -> Option<&Request> {
        self.requests.get(id)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: usize) -> Option<&mut Request> {
        self.requests.get_mut(id)?.as_mut()
    }

    pub(crate) fn take(&mut self, id: usize) -> Option<Request> {
        let request = self.requests.get_mut(id)?.take()?;
        self.count -= 1;
        Some(request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }
}
