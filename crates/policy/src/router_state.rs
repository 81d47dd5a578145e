//! State of a router: the workers, functions and requests that it knows, and the components that decide by them. Its
//! methods in `placement`, `dispatch` and `attempt_result` are the stages of a request; `router` has the events and
//! their order.

use crate::admission::Admission;
use crate::config::{Idempotency, PolicyConfig, Profile, RequestBudget};
use crate::effects::Effects;
use crate::fleet_budgets::FleetBudgets;
use crate::function_state::Functions;
use crate::hash_ring::HashRing;
use crate::list_staleness::ListStaleness;
use crate::load_requests::{LoadRequest, LoadRequests};
use crate::random::Random;
use crate::rate_limiter::RateLimiter;
use crate::request_state::Requests;
use crate::retry::RetryPolicy;
use crate::slow_start::SlowStart;
use crate::throughput::Throughput;
use crate::worker_set;
use crate::worker_state::WorkerTable;

/// The state of a router.
pub(crate) struct RouterState {
    pub(crate) random: Random,
    /// Number of routers that share the workers.
    pub(crate) routers: f64,
    pub(crate) budgets: FleetBudgets,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) admission: Admission,
    pub(crate) retry: RetryPolicy,
    pub(crate) load_requests: LoadRequests,
    pub(crate) slow_start: SlowStart,
    pub(crate) throughput: Throughput,
    pub(crate) workers: WorkerTable,
    pub(crate) staleness: ListStaleness,
    pub(crate) ring: HashRing,
    pub(crate) functions: Functions,
    pub(crate) requests: Requests,
    /// Attempts in flight can be cancelled.
    pub(crate) can_cancel: bool,
    /// A worker without the function reports that it is missing instead of loading it by itself.
    pub(crate) reports_missing_functions: bool,
    /// Changes of the endpoint list are sent only after a watch request.
    pub(crate) watches_on_request: bool,
    /// Workers answer health checks.
    pub(crate) can_check_health: bool,
    /// A served request proves that its worker takes new work. If draining workers still serve requests, only health
    /// checks prove it; without health checks served requests have to count.
    pub(crate) served_requests_prove_acceptance: bool,
    /// Health checks are sent to learn the load of other routers.
    pub(crate) refreshes_load_reports: bool,
    /// Minimum seconds for which an idle instance is kept.
    pub(crate) keep_alive: f64,
    /// Memory of each kind of worker, in MB.
    pub(crate) worker_memory: Vec<f64>,
    /// This router's share of the limit on attempts in flight at a worker.
    pub(crate) max_in_flight: f64,
    /// Seconds before the client's timeout by which a request gets its final response: two ticks of the host's timer.
    pub(crate) response_margin: f64,
    /// When other routers' concurrency was last reported.
    pub(crate) remote_reported_at: f64,
    /// Mean latency of answers from loaded instances, and of answers that waited for a load, in seconds.
    pub(crate) latency: f64,
    pub(crate) load_latency: f64,
}

impl RouterState {
    /// Creates the initial state from the configuration.
    pub(crate) fn new(config: PolicyConfig, now: f64) -> Self {
        /// The profile of requests if none is configured: not idempotent.
        const DEFAULT_PROFILE: Profile =
            Profile { latency_objective: 1.0, idempotency: Idempotency::NonIdempotent };
        /// Seconds of clock rounding at the end of a window.
        const EDGE_TOLERANCE: f64 = 1e-5;
        let routers = config.routers.max(1) as f64;
        let own_share = |all: Vec<f64>| all.into_iter().map(|total| total / routers).collect();
        let sheds_over_quota = config.over_quota_weight < 1.0;
        let limit = |budget: Option<RequestBudget>| budget.map(|r| RateLimiter::new(r, EDGE_TOLERANCE));
        Self {
            random: Random::new(config.seed),
            routers,
            budgets: FleetBudgets::new(),
            profiles: if config.profiles.is_empty() { vec![DEFAULT_PROFILE] } else { config.profiles },
            admission: Admission::new(
                now,
                own_share(config.quotas),
                own_share(config.rate_limits),
                sheds_over_quota,
                config.max_retry_after,
            ),
            retry: RetryPolicy {
                max_attempts: config.max_attempts.max(1),
                budget: limit(config.retry_budget),
            },
            load_requests: LoadRequests::new(
                config.can_request_loads,
                config.load_request_timeout,
                limit(config.load_budget),
                routers,
            ),
            slow_start: SlowStart {
                initial_capacity: config.initial_capacity.clamp(0.0, 1.0),
                warm_up: config.warm_up,
                overload_multiple: config.overload_multiple,
                overload_window: config.overload_window,
            },
            throughput: Throughput::default(),
            workers: WorkerTable::new(config.size_meaning),
            staleness: ListStaleness::new(config.list_valid_for, config.acceptance_valid_for),
            ring: HashRing::default(),
            functions: Functions::new(config.function_memory),
            requests: Requests::default(),
            can_cancel: config.can_cancel,
            reports_missing_functions: config.reports_missing_functions,
            watches_on_request: config.watches_on_request,
            // A single router knows its own load without health checks.
            refreshes_load_reports: config.can_check_health
                && config.health_checks_report_load
                && config.routers > 1,
            can_check_health: config.can_check_health,
            served_requests_prove_acceptance: config.draining_workers_reject || !config.can_check_health,
            keep_alive: config.keep_alive,
            worker_memory: config.memory,
            max_in_flight: config.max_in_flight / routers,
            response_margin: 2.0 * config.clock_resolution.max(0.001),
            remote_reported_at: f64::NEG_INFINITY,
            latency: 0.3,
            load_latency: 1.0,
        }
    }

    /// Weight of the concurrency that other routers reported, 0 to 1.
    pub(crate) fn remote_weight(&self, now: f64) -> f64 {
        worker_set::remote_weight(now, self.remote_reported_at)
    }

    /// Checks the health of a worker that gets no new work before it has proved that it takes some.
    pub(crate) fn check_acceptance(&mut self, now: f64, worker: usize, host: &mut dyn Effects) {
        if self.can_check_health {
            self.workers[worker].check_health(now, worker, host);
        }
    }

    /// Sends a load request if it is allowed.
    pub(crate) fn request_load(&mut self, now: f64, request: LoadRequest, host: &mut dyn Effects) {
        if !self.load_requests.is_wanted(now, request, &self.workers, &self.functions) {
            return;
        }
        if !self.staleness.allows(now, &self.workers[request.worker]) {
            return self.check_acceptance(now, request.worker, host);
        }
        if request.preload {
            let max_pending =
                self.load_requests.max_preloads(self.ring.len() as f64, self.budgets.quota_fraction(now));
            if !self.load_requests.may_preload(now, request, &self.workers, &self.functions, max_pending) {
                return;
            }
        }
        if self.load_requests.within_limit(now, &mut self.budgets) {
            self.load_requests.send(now, request, &mut self.functions, host);
        }
    }
}
