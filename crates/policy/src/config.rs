//! Configuration: what a deployment states when a router starts. Times are seconds, memory is in MB.

/// How harmful it is to run a request twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Idempotent: it may run again.
    Idempotent,
    /// Idempotent by its key: the workers of one group recognise a repeat.
    IdempotentWithKey {
        /// The workers among which the key is known.
        scope: KeyScope,
        /// Seconds for which it is known there.
        retention: f64,
    },
    /// Not idempotent: it must never run twice.
    NonIdempotent,
}

/// The workers among which an idempotency key is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Latency objective: seconds within which an answer is wanted.
    pub latency_objective: f64,
    /// How harmful a repeat is.
    pub idempotency: Idempotency,
}

/// A budget of actions, over all routers, that grows with the requests that arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestBudget {
    /// Seconds of the sliding window in which actions and requests count.
    pub window: f64,
    /// Actions that are free in the window.
    pub free: f64,
    /// Actions that each request earns.
    pub earned_per_request: f64,
}

/// Configuration of a router.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// Seed of the router's random draws.
    pub seed: u64,
    /// Routers that share the workers, this one included.
    pub routers: usize,
    /// Kinds of requests, by index.
    pub profiles: Vec<Profile>,
    /// Requests a second, over all routers, within the share of each client group.
    pub quotas: Vec<f64>,
    /// Requests a second, over all routers, that may be sent at all for each client group; infinite where it
    /// is not limited.
    pub rate_limits: Vec<f64>,
    /// Retry budget; unlimited where there is none.
    pub retry_budget: Option<RequestBudget>,
    /// Attempts in flight at one worker, over all routers; infinite where they are not limited.
    pub max_in_flight: f64,
    /// The weight of a request beyond its client group's share, 0 to 1.
    pub over_quota_weight: f64,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// An attempt in flight can be cancelled.
    pub can_cancel: bool,
    /// Load and unload requests are possible.
    pub can_request_loads: bool,
    /// A worker without the function answers that it is missing, rather than load it unasked.
    pub reports_missing_functions: bool,
    /// Changes of the endpoint list come only on request.
    pub watches_on_request: bool,
    /// Workers answer health checks.
    pub can_check_health: bool,
    /// Workers report their load when they answer health checks.
    pub health_checks_report_load: bool,
    /// Seconds for which the endpoint list is believed after its source was last heard of; infinite where the host hears
    /// of each change of it.
    pub list_valid_for: f64,
    /// A draining worker rejects what is new: a request that it served proves that it does not drain.
    pub draining_workers_reject: bool,
    /// Seconds for which a worker's own word that it takes new work is believed once the list is not any more, from when
    /// it was asked.
    pub acceptance_valid_for: f64,
    /// The longest Retry-After in seconds that clients follow; none where they are not given one.
    pub max_retry_after: Option<f64>,
    /// Seconds that an idle instance is kept at least.
    pub keep_alive: f64,
    /// Budget of load requests; unlimited where there is none.
    pub load_budget: Option<RequestBudget>,
    /// Seconds after which a load request counts as unanswered.
    pub load_request_timeout: f64,
    /// Slow start: the part of its capacity that a worker has at its start, or more, 0 to 1.
    pub initial_capacity: f64,
    /// Slow start: seconds until it has all of it.
    pub warm_up: f64,
    /// Slow start: a worker that is sent more than this multiple of its present capacity for
    /// [`overload_window`](Self::overload_window) fails from overload.
    pub overload_multiple: f64,
    /// Slow start: the window, in seconds, in which what it is sent is counted.
    pub overload_window: f64,
    /// Memory of each kind of worker, in MB; empty where it is not known.
    pub memory: Vec<f64>,
    /// The resolution in seconds of the host's timer.
    pub clock_resolution: f64,
}
