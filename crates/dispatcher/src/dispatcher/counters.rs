//! Counts of what a dispatcher did, for the operator and for tests.

/// Counts since the start, over restarts; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests that were accepted.
    pub accepted: u64,
    /// Requests that were answered by a worker.
    pub succeeded: u64,
    /// Requests that were not executed and may be retried.
    pub rejected: u64,
    /// Requests that failed, parts of which may have been executed.
    pub failed: u64,
    /// Requests whose client went away before the answer.
    pub client_gone: u64,
    /// Attempts that were decided on, sent or not.
    pub attempts: u64,
    /// Load requests that were decided on, sent or not.
    pub load_requests: u64,
    /// Health checks.
    pub health_checks: u64,
    /// Attempts and load requests that were not sent after all, because the endpoint list or a limit had changed by
    /// the time their connection was made.
    pub suppressed: u64,
}
