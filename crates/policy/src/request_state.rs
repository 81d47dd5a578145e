//! What is known of each request: its time, and the attempts that were made for it.

/// One attempt of a request at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    /// The worker's zone and cell then: those who know the receipt, whatever the list says of its name later.
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    pub(crate) sent_at: f64,
    pub(crate) in_flight: bool,
    /// Known never to have run.
    pub(crate) never_ran: bool,
    /// Sent to an instance believed to be there.
    pub(crate) warm: bool,
}

pub(crate) struct Request {
    pub(crate) function: usize,
    pub(crate) profile: usize,
    pub(crate) client: usize,
    /// When it arrived, and when its client gives up.
    pub(crate) arrived_at: f64,
    pub(crate) deadline: f64,
    /// The final answer is owed.
    pub(crate) is_open: bool,
    /// Beyond the share of its client group.
    pub(crate) over_quota: bool,
    /// When its client group's ceiling let it through.
    pub(crate) admitted_at: f64,
    /// Seconds after which its client may come again, where the ceiling does not let it through.
    pub(crate) retry_after: Option<f64>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Whether a shot is out.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// All requests that are not let go of yet, under the host's index.
#[derive(Default)]
pub(crate) struct Requests {
    requests: Vec<Option<Request>>,
}

impl Requests {
    pub(crate) fn insert(&mut self, id: usize, request: Request) {
        self.requests.resize_with(self.requests.len().max(id + 1), || None);
        self.requests[id] = Some(request);
    }

    pub(crate) fn get(&self, id: usize) -> Option<&Request> {
        self.requests.get(id)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: usize) -> Option<&mut Request> {
        self.requests.get_mut(id)?.as_mut()
    }

    pub(crate) fn take(&mut self, id: usize) -> Option<Request> {
        self.requests.get_mut(id)?.take()
    }
}
