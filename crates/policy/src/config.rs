//! Configuration of a router, given at its start. Times are in seconds, memory is in MB.

use crate::worker_size::SizeMeaning;

/// Memory for the state of all functions of a host that is granted no certain amount of memory, in bytes.
pub const DEFAULT_FUNCTION_MEMORY: usize = 256 << 20;

/// Memory for the state of all functions of a host that is granted this many bytes. Most of the rest is for buffers.
#[must_use]
pub fn function_memory(granted: usize) -> usize {
    /// Fraction of the granted memory.
    const DIVISOR: usize = 8;
    granted / DIVISOR
}

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// May run again at any time.
    Idempotent,
    /// May run again with the same idempotency key: the workers of the key's scope recognize the repeat.
    IdempotentWithKey {
        /// The workers that recognize the key.
        scope: KeyScope,
        /// Seconds for which those workers remember a key.
        retention: f64,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The workers that recognize an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests with the same objective and idempotency.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Latency objective, in seconds.
    pub latency_objective: f64,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
}

/// A budget of actions, shared by all routers, that grows with the requests that arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestBudget {
    /// Length in seconds of the sliding window in which actions and requests are counted.
    pub window: f64,
    /// Actions that are allowed in the window regardless of requests.
    pub free: f64,
    /// Further actions that each request in the window allows.
    pub earned_per_request: f64,
}

/// Configuration of a router.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of routers that share the workers, including this one.
    pub routers: usize,
    /// Request profiles, by index.
    pub profiles: Vec<Profile>,
    /// Quota of each client group over all routers, in requests per second.
    pub quotas: Vec<f64>,
    /// Rate limit of each client group over all routers, in requests per second; infinite if unlimited.
    pub rate_limits: Vec<f64>,
    /// Retry budget; `None` is unlimited.
    pub retry_budget: Option<RequestBudget>,
    /// Maximum attempts in flight at one worker over all routers; infinite if unlimited.
    pub max_in_flight: f64,
    /// Weight of a request over its client group's quota, 0 to 1. Below 1 such requests are shed first.
    pub over_quota_weight: f64,
    /// Maximum attempts per request.
    pub max_attempts: usize,
    /// Attempts in flight can be cancelled.
    pub can_cancel: bool,
    /// Workers accept load and unload requests.
    pub can_request_loads: bool,
    /// A worker without the function reports that it is missing instead of loading it by itself.
    pub reports_missing_functions: bool,
    /// Changes of the endpoint list are sent only after a watch request.
    pub watches_on_request: bool,
    /// Workers answer health checks.
    pub can_check_health: bool,
    /// Answers to health checks contain a load report.
    pub health_checks_report_load: bool,
    /// Seconds for which the endpoint list is valid after its source was last heard from; infinite if the host learns
    /// of every change.
    pub list_valid_for: f64,
    /// Draining workers reject new requests, so a served request proves that its worker is not draining.
    pub draining_workers_reject: bool,
    /// Seconds for which a worker's statement that it takes new work is valid while the list is stale, counted from
    /// when it was asked.
    pub acceptance_valid_for: f64,
    /// The longest Retry-After in seconds that clients follow; `None` if they are not sent one.
    pub max_retry_after: Option<f64>,
    /// Minimum seconds for which an idle instance is kept.
    pub keep_alive: f64,
    /// Budget of load requests; `None` is unlimited.
    pub load_budget: Option<RequestBudget>,
    /// Seconds after which a load request counts as unanswered.
    pub load_request_timeout: f64,
    /// Slow start: minimum fraction of its capacity that a worker has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// Slow start: seconds until a worker reaches its full capacity.
    pub warm_up: f64,
    /// Slow start: a worker fails from overload if it is sent more than this multiple of its current capacity within
    /// [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// Slow start: length in seconds of the window in which requests to a worker are counted.
    pub overload_window: f64,
    /// What the sizes in the endpoint list state.
    pub size_meaning: SizeMeaning,
    /// Memory of each kind of worker, in MB; empty if unknown.
    pub memory: Vec<f64>,
    /// Memory for the state of all functions, in bytes. Functions that have requests or instances are kept beyond it.
    pub function_memory: usize,
    /// Resolution of the host's timer, in seconds.
    pub clock_resolution: f64,
}
