//! State of the dispatcher outside the router: tables of requests, load requests, health checks and workers, timers,
//! limits and counters. The router's output is applied to it in `effects.rs`; the dispatcher's methods read it and
//! record what the caller reports.

use super::action::{Action, RequestId};
use super::counters::Counters;
use super::request_table::{AttemptStage, RequestTable};
use super::slot_table::SlotTable;
use crate::interner::Interner;
use crate::load_rate_limit::LoadRateLimit;
use crate::timer_wheel::{TimerKey, TimerWheel};
use crate::worker_table::WorkerTable;
use milletpath_config::{GatewayConfig, Limits};
use milletpath_policy::{Budget, Outcome};
use milletpath_shared_budgets::UsageMeter;
use std::collections::{BTreeMap, VecDeque};

/// A load request that has not been answered yet.
pub(super) struct LoadRequest {
    pub(super) worker: usize,
    /// The worker's process when the router decided on it.
    pub(super) process: u64,
    pub(super) function: usize,
    pub(super) deadline_timer: TimerKey,
}

/// A health check that has not been answered yet.
pub(super) struct HealthCheck {
    pub(super) serial: u64,
    /// The worker's process when the router decided on it.
    pub(super) process: u64,
    pub(super) deadline_timer: TimerKey,
}

/// An attempt that the router cancelled, and the resulting outcome.
pub(super) struct CancelledAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
}

/// What to do when a timer fires.
pub(super) enum Timer {
    /// The router asked to be called at this time.
    Wake,
    AttemptDeadline {
        request: RequestId,
        attempt: usize,
    },
    ConnectDeadline {
        request: RequestId,
        attempt: usize,
    },
    LoadRequestDeadline(RequestId),
    HealthCheckDeadline {
        worker: usize,
        serial: u64,
    },
}

pub(super) struct DispatcherState<T> {
    /// Time of the current or last event, in seconds on the dispatcher's clock.
    pub(super) now: f64,
    /// Queued actions for the caller. Bounded by the numbers of requests and workers, as the caller takes all actions
    /// after each event.
    pub(super) actions: VecDeque<Action>,
    /// Attempts that the router cancelled during the current event. Their ends are reported to it after the event is
    /// processed; empty between events.
    pub(super) cancelled_attempts: VecDeque<CancelledAttempt>,
    pub(super) requests: RequestTable<T>,
    /// Bounded by the rate at which the router sends load requests and by their timeout.
    pub(super) load_requests: SlotTable<LoadRequest>,
    /// The pending health check of each worker, by worker index.
    pub(super) health_checks: Vec<Option<HealthCheck>>,
    /// Bounded by the router, which releases functions that are no longer called.
    pub(super) functions: Interner,
    pub(super) worker_table: WorkerTable,
    /// Bounded by the numbers of attempts, load requests and health checks, and one timer for each time the router
    /// asked to be called.
    pub(super) timers: TimerWheel<Timer>,
    /// The last serial number assigned.
    serial: u64,
    pub(super) limits: Limits,
    /// Timeout of a load request, in seconds.
    pub(super) load_request_timeout: f64,
    pub(super) load_rate_limit: Option<LoadRateLimit>,
    /// Demand for each budget, counted only if gateways share budgets. Bounded by the configured budgets and the
    /// worker indices.
    pub(super) usage_meters: Option<BTreeMap<Budget, UsageMeter>>,
    pub(super) counters: Counters,
}

impl<T> DispatcherState<T> {
    /// Creates an empty state. Serial numbers continue after `serial`.
    pub(super) fn new(config: &GatewayConfig, worker_table: WorkerTable, now: f64, serial: u64) -> Self {
        Self {
            now,
            actions: VecDeque::new(),
            cancelled_attempts: VecDeque::new(),
            requests: RequestTable::new(),
            load_requests: SlotTable::new(),
            health_checks: Vec::new(),
            functions: Interner::new(config.policy.seed),
            worker_table,
            timers: TimerWheel::default(),
            serial,
            limits: config.limits.clone(),
            load_request_timeout: config.policy.load_request_timeout,
            load_rate_limit: config.policy.load_budget.map(LoadRateLimit::new),
            usage_meters: None,
            counters: Counters::default(),
        }
    }

    pub(super) fn last_serial(&self) -> u64 {
        self.serial
    }

    pub(super) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Whether a worker's process is no longer the one that something was decided for.
    pub(super) fn is_replaced(&self, worker: usize, process: u64) -> bool {
        self.worker_table.process(worker).process != process
    }

    /// Counts requested and denied units of a budget.
    pub(super) fn count_demand(&mut self, budget: Budget, requested: u64, denied: u64) {
        if let Some(usage_meters) = &mut self.usage_meters {
            let meter = usage_meters.entry(budget).or_default();
            meter.requested += requested;
            meter.denied += denied;
        }
    }

    /// Records the end of an attempt. Returns the seconds since it was dispatched, or `None` if it had already ended.
    pub(super) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) -> Option<f64> {
        let record = self.requests.attempt_mut(request, attempt)?;
        record.stage = AttemptStage::Ended;
        let latency = self.now - record.dispatched_at;
        self.timers.cancel(record.deadline_timer);
        self.timers.cancel(record.connect_timer);
        if let Some(record) = self.requests.get_mut(request) {
            record.timed_out |= outcome == Outcome::TimedOut;
        }
        Some(latency)
    }
}
