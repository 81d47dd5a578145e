//! The dispatcher: requests, attempts, load requests, health checks and workers around the routing decisions of
//! `milletpath-policy`. The gateway, the platform router and the simulator report events to it with the time at which
//! they happened, then take [`Action`]s with [`Dispatcher::next_action`] until there are none, and carry them out with
//! their own I/O. Which worker gets what, the router of the policy decides.

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

/// The state machine of a router. `T` is what the caller stores with each request.
///
/// Times are in seconds on the caller's monotonic clock, which begins at 0 when the dispatcher is made, and must not
/// decrease from one call to the next. An event for a request, attempt, load request or health check that is over
/// already is ignored.
pub struct Dispatcher<T> {
    router: Router,
    state: DispatcherState<T>,
    functions: FunctionConfigs,
    profiles: Vec<ProfileConfig>,
    quota_fraction: Option<QuotaFraction>,
    /// The adjustments that hold beside the fraction. Bounded by the budgets of the configuration and the worker
    /// indices.
    adjustments: BTreeMap<Budget, QuotaAdjustment>,
    /// Those of workers' budgets by the worker's name, which outlives its index.
    worker_adjustments: BTreeMap<Arc<str>, QuotaAdjustment>,
}

impl<T> Dispatcher<T> {
    /// A dispatcher without workers. `unix_time` is the reading of the wall clock, in seconds, when the dispatcher's
    /// clock begins; see [`wall_clock_read`](Self::wall_clock_read) for later readings.
    pub fn new(config: &GatewayConfig, unix_time: f64) -> Self {
        // By then every attempt, load request and health check to a worker that is gone has ended.
        let max_deadline =
            config.profiles.iter().map(|p| p.deadline).fold(config.policy.load_request_timeout, f64::max);
        let evict_after = 2.0 * (max_deadline + config.limits.health_check_timeout);
        let start_times = StartTimes::new(unix_time);
        let worker_table =
            WorkerTable::new(&config.worker_kinds, config.policy.seed, start_times, 0, evict_after);
        Self::with_worker_table(config, worker_table, 0.0, 0)
    }

    /// Replaces the dispatcher by an empty one after a panic in it. Its counters, configuration changes, quotas and the
    /// record of load requests that count against their rate limit are kept, and the clock goes on; the endpoint list
    /// must be passed to it again.
    ///
    /// Gives the requests that were open.
    #[must_use = "the client of each open request still waits for a response"]
    pub fn restart(&mut self, config: &GatewayConfig, now: f64) -> Vec<InterruptedRequest<T>> {
        let worker_table = self.state.worker_table.next_generation(config.policy.seed);
        // Past any number that was given out in the event that broke off.
        let serial = self.state.last_serial() + 1;
        let replacement = Self::with_worker_table(config, worker_table, now, serial);
        let previous = std::mem::replace(self, replacement);
        let Self { state, quota_fraction, adjustments, worker_adjustments, functions, .. } = previous;
        let DispatcherState { requests, counters, load_rate_limit, usage_meters, .. } = state;
        // With the changes that are in force.
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

    /// Applies a change of functions' configuration to requests that arrive from here on. `initial` is what holds where
    /// no change does.
    pub fn apply_config_change(&mut self, change: &ConfigChange, initial: &FunctionConfigs) {
        self.functions.apply(change, initial);
    }

    /// The configuration of a function that is in force.
    pub fn function_config(&self, function: &str) -> FunctionConfig {
        self.functions.resolve(function)
    }

    /// What the caller is to do next; it must take actions until there are none after each event.
    pub fn next_action(&mut self) -> Option<Action> {
        let action = self.state.actions.pop_front();
        if action.is_none() {
            self.state.requests.free_released();
        }
        action
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.state.counters
    }

    /// Number of functions that are known now.
    pub fn function_count(&self) -> usize {
        self.state.functions.len()
    }

    /// Concurrency of functions at this gateway, in lanes, by the hash of the function's name.
    pub fn local_concurrency(&self, now: f64) -> Vec<(u64, f64)> {
        self.router.local_concurrency(now).collect()
    }

    /// Sets the concurrency of functions at all other gateways, in lanes, by the hash of the function's name.
    pub fn set_remote_concurrency(&mut self, now: f64, concurrency: &BTreeMap<u64, f64>) {
        self.router.set_remote_concurrency(now, concurrency);
    }
}
