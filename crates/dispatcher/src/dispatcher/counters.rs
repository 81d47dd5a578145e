//! Event counts of a dispatcher, for operators and tests.

/// Counts since the dispatcher was created. They only increase and survive a restart of the dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Accepted requests.
    pub accepted: u64,
    /// Requests answered successfully by a worker.
    pub succeeded: u64,
    /// Requests rejected before execution; the client may retry them.
    pub rejected: u64,
    /// Requests that failed and may have been executed in part.
    pub failed: u64,
    /// Requests whose client disconnected before the response.
    pub client_gone: u64,
    /// Attempts started by the router, whether they were sent or not.
    pub attempts: u64,
    /// Load requests started by the router, whether they were sent or not.
    pub load_requests: u64,
    /// Health checks started by the router.
    pub health_checks: u64,
    /// Attempts and load requests that were not sent because the endpoint list or a limit did not allow it any more
    /// when their connection was established.
    pub suppressed: u64,
}
