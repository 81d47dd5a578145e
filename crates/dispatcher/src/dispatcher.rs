//! The dispatcher: requests, attempts, load requests, health checks and workers around the routing decisions of
//! `milletpath-policy`. The caller (gateway, platform router or simulator) reports each event with the time at which
//! it happened, then drains the resulting [`Action`]s with [`Dispatcher::next_action`] and performs them with its own
//! I/O. The policy's router chooses the worker for each request.

mod action;
mod attempts;
mod counters;
mod effects;
mod endpoints;
mod health_checks;
mod load_requests;
mod messages;
mod quota;
mod request_table;
mod requests;
mod slot_table;
mod state;
mod timers;

pub use crate::worker_table::{EndpointRevision, WorkerProcess};
pub use action::{Action, RequestId};
pub use counters::Counters;
pub use messages::{AttemptResult, FunctionResources, IncomingRequest, InterruptedRequest, QuotaFraction};

use crate::start_times::StartTimes;
use crate::worker_table::WorkerTable;
use milletpath_config::{ConfigChange, FunctionConfig, FunctionConfigs, GatewayConfig, ProfileConfig};
use milletpath_policy::Budget;
use milletpath_policy::Router;
use milletpath_shared_budgets::QuotaAdjustment;
use request_table::Request;
use state::DispatcherState;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The state machine of a router. `T` is the caller's context, stored with each request.
///
/// Times are in seconds on the caller's monotonic clock, which is 0 when the dispatcher is created, and must not
/// decrease from one call to the next. Events for a request, attempt, load request or health check that has already
/// ended are ignored.
pub struct Dispatcher<T> {
    router: Router,
    state: DispatcherState<T>,
    functions: FunctionConfigs,
    profiles: Vec<ProfileConfig>,
    quota_fraction: Option<QuotaFraction>,
    /// Adjustments to this gateway's fraction of each budget. Bounded by the configured budgets and the worker
    /// indices.
    adjustments: BTreeMap<Budget, QuotaAdjustment>,
    /// Adjustments to workers' budgets by worker name, since a worker can get another index.
    worker_adjustments: BTreeMap<Arc<str>, QuotaAdjustment>,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without workers. `unix_time` is the wall clock's reading, in seconds, at time 0 of the
    /// dispatcher's clock; report later readings to [`wall_clock_read`](Self::wall_clock_read).
    pub fn new(config: &GatewayConfig, unix_time: f64) -> Self {
        // After this time, every attempt, load request and health check sent to a worker that is gone has ended.
        let max_timeout =
            config.profiles.iter().map(|p| p.deadline).fold(config.policy.load_request_timeout, f64::max);
        let evict_after = 2.0 * (max_timeout + config.limits.health_check_timeout);
        let start_times = StartTimes::new(unix_time);
        let worker_table =
            WorkerTable::new(&config.worker_kinds, config.policy.seed, start_times, 0, evict_after);
        Self::with_worker_table(config, worker_table, 0.0, 0)
    }

    /// Resets the dispatcher after a panic in it. Counters, configuration changes, quotas and the load requests
    /// counted by the rate limiter are kept, and the clock continues; the endpoint list must be passed in again.
    ///
    /// Returns the requests that were open.
    #[must_use = "the client of each open request still waits for a response"]
    pub fn restart(&mut self, config: &GatewayConfig, now: f64) -> Vec<InterruptedRequest<T>> {
        let worker_table = self.state.worker_table.next_generation(config.policy.seed);
        // Serial numbers continue after the last one assigned, even if the event that panicked assigned it; none is
        // reused.
        let serial = self.state.last_serial() + 1;
        let replacement = Self::with_worker_table(config, worker_table, now, serial);
        let previous = std::mem::replace(self, replacement);
        let Self { state, quota_fraction, adjustments, worker_adjustments, functions, .. } = previous;
        let DispatcherState { requests, counters, load_rate_limit, usage_meters, .. } = state;
        // Keeps the configuration changes that were applied at runtime.
        self.functions = functions;
        self.worker_adjustments = worker_adjustments;
        self.state.load_rate_limit = load_rate_limit;
        self.state.usage_meters = usage_meters;
        self.state.counters = counters;
        self.restore_quotas(quota_fraction, adjustments);
        let interrupted: Vec<_> = requests.into_open_requests().map(Request::into_interrupted).collect();
        let failed = interrupted.iter().filter(|request| request.may_have_run).count() as u64;
        self.state.counters.failed += failed;
        self.state.counters.rejected += interrupted.len() as u64 - failed;
        interrupted
    }

    fn with_worker_table(config: &GatewayConfig, worker_table: WorkerTable, now: f64, serial: u64) -> Self {
        let mut state = DispatcherState::new(config, worker_table, now, serial);
        Self {
            router: Router::new(config.policy.clone(), now, &mut state),
            state,
            functions: config.functions.clone(),
            profiles: config.profiles.clone(),
            quota_fraction: None,
            adjustments: BTreeMap::new(),
            worker_adjustments: BTreeMap::new(),
        }
    }

    /// Applies a configuration change of functions to requests that arrive from now on. `initial` supplies the values
    /// where no change applies.
    pub fn apply_config_change(&mut self, change: &ConfigChange, initial: &FunctionConfigs) {
        self.functions.apply(change, initial);
    }

    /// The effective configuration of a function.
    pub fn function_config(&self, function: &str) -> FunctionConfig {
        self.functions.resolve(function)
    }

    /// Returns the next action for the caller. After each event, the caller must take actions until there are none
    /// left.
    pub fn next_action(&mut self) -> Option<Action> {
        let action = self.state.actions.pop_front();
        if action.is_none() {
            self.state.requests.free_released();
        }
        action
    }

    /// Counts since the dispatcher was created, including those before a restart.
    pub fn counters(&self) -> Counters {
        self.state.counters
    }

    /// Number of functions that are currently known.
    pub fn function_count(&self) -> usize {
        self.state.functions.len()
    }

    /// Concurrency of each function at this gateway, in lanes, by the hash of the function's name.
    pub fn local_concurrency(&self, now: f64) -> Vec<(u64, f64)> {
        self.router.local_concurrency(now).collect()
    }

    /// Sets the total concurrency of each function at all other gateways, in lanes, by the hash of the function's
    /// name.
    pub fn set_remote_concurrency(&mut self, now: f64, concurrency: &BTreeMap<u64, f64>) {
        self.router.set_remote_concurrency(now, concurrency);
    }
}
