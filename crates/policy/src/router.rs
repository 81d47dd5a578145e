//! The events that a router receives, and the order of the stages. A host (see [`Effects`]) calls the router as
//! events happen: `update_endpoint` and `end_list` for the endpoint list, `request_arrived`, `attempt_ended` and
//! `close_request` for requests, `load_request_ended` and `health_check_ended` for answers of workers, and
//! `timer_fired` for time. The router acts through the `Effects` that are passed in.
//!
//! A request goes through the stages admission, placement and dispatch; each passes it on, queues it or ends it. The
//! result of an attempt is recorded on its worker and its function, and ends the request or sends it through the
//! stages again.

use crate::admission;
use crate::config::PolicyConfig;
use crate::dispatch::SendRefusal;
use crate::effects::{Budget, Effects};
use crate::events::{Arrival, AttemptCompletion, EndpointUpdate, LoadReport, Outcome};
use crate::fleet_budgets::Step;
use crate::outlier_detection::Evidence;
use crate::placement::Decision;
use crate::request_queue::{Deadlines, RequestQueue};
use crate::request_state::Request;
use crate::retry::is_repeat_harmless;
use crate::router_state::RouterState;
use std::collections::BTreeMap;

/// Seconds between checks of open requests: short compared with latency objectives, long compared with the cost of a
/// check.
const CHECK_INTERVAL: f64 = 0.005;

/// The decisions of one router, without I/O, clock or threads. Times are in seconds of one monotonic clock of the
/// host.
pub struct Router {
    state: RouterState,
    /// Requests that wait for a worker.
    queue: RequestQueue,
    /// Deadlines of the requests that wait for their final response.
    deadlines: Deadlines,
    /// Number of requests that have arrived so far.
    arrivals: u64,
    /// When the router has asked to be woken next.
    wake_at: f64,
    /// When to request the endpoint list again after its watch failed.
    next_watch_at: f64,
}

impl Router {
    /// Creates a router at its start.
    pub fn new(config: PolicyConfig, now: f64, host: &mut dyn Effects) -> Self {
        if config.watches_on_request {
            host.watch_endpoints();
        }
        Self {
            state: RouterState::new(config, now),
            queue: RequestQueue::default(),
            deadlines: Deadlines::default(),
            arrivals: 0,
            wake_at: f64::INFINITY,
            next_watch_at: f64::INFINITY,
        }
    }

    /// Sets the estimated number of routers, and the fraction of its configured share of each budget that this router
    /// may use: the first value before `until`, the second from then on. Until the first call, the configured number
    /// of routers applies.
    pub fn set_quota_fraction(&mut self, routers: f64, quota_fraction: [f64; 2], until: f64) {
        self.state.routers = routers.max(1.0);
        let [before, after] = quota_fraction;
        self.state.budgets.set_quota_fraction(Step { before, after, until });
    }

    /// Sets what this router may use of a budget beyond its own share, in the budget's units: the first value before
    /// `until`, the second from then on. Either may be negative.
    pub fn set_lease(&mut self, budget: Budget, lease: [f64; 2], until: f64) {
        let [before, after] = lease;
        self.state.budgets.set_lease(budget, Step { before, after, until });
    }

    /// Sets the concurrency of functions at other routers, by name hash; functions that are missing have none.
    pub fn set_remote_concurrency(&mut self, now: f64, concurrency: &BTreeMap<u64, f64>) {
        self.state.remote_reported_at = now;
        self.state.functions.set_remote_concurrency(concurrency);
    }

    /// The concurrency of functions at this router, by name hash.
    pub fn local_concurrency(&self, now: f64) -> impl Iterator<Item = (u64, f64)> {
        self.state.functions.iter().map(move |f| (f.name, f.local_concurrency(now)))
    }

    /// Units of a budget that are in use at this router.
    pub fn in_use(&mut self, now: f64, budget: Budget) -> f64 {
        match budget {
            Budget::Retries => self.state.retry.budget.as_mut().map_or(0.0, |r| r.used(now)),
            Budget::InFlight(worker) => self.state.workers.get(worker).map_or(0.0, |w| w.in_flight as f64),
            Budget::LoadRequests | Budget::Quota(_) | Budget::RateLimit(_) => 0.0,
        }
    }

    /// Adds or changes an endpoint of the list. Call [`end_list`](Self::end_list) after the last one.
    pub fn update_endpoint(&mut self, endpoint: EndpointUpdate) {
        let memory = self.state.worker_memory.get(endpoint.kind).copied().unwrap_or(f64::INFINITY);
        let change = self.state.workers.update(&endpoint, memory);
        if change.capacity_growth > 1.0 {
            self.state.throughput.capacity_grew(change.capacity_growth);
        }
        if change.is_new_process {
            self.state.functions.worker_restarted(endpoint.worker);
        }
    }

    /// Begins a complete list: endpoints that are not in it are gone.
    pub fn begin_full_list(&mut self) {
        self.state.workers.begin_full_list();
    }

    /// Ends a list, or a change of it, after all its endpoints were passed.
    pub fn end_list(&mut self, now: f64, host: &mut dyn Effects) {
        let state = &mut self.state;
        for index in state.workers.take_updated() {
            let worker = &state.workers[index];
            if worker.is_ready() {
                state.ring.insert(index, worker.name);
            } else {
                state.ring.remove(index);
            }
        }
        self.retry_queued(now, host);
    }

    /// The registry did not answer or ended the watch of the endpoint list: the list is requested again after a
    /// delay.
    pub fn watch_failed(&mut self, now: f64, host: &mut dyn Effects) {
        if self.state.watches_on_request {
            self.next_watch_at = now + 0.5 + self.state.random.uniform();
            self.wake_by(now, self.next_watch_at, host);
        }
    }

    /// A request arrived. Its index must differ from those of all requests that are not released.
    pub fn request_arrived(&mut self, now: f64, id: usize, arrival: Arrival, host: &mut dyn Effects) {
        let state = &mut self.state;
        state.load_requests.request_arrived(now);
        state.retry.budget.iter_mut().for_each(|r| r.request_arrived(now));
        state.functions.request_arrived(now, &arrival);
        let over_quota =
            !arrival.is_retry && state.admission.is_over_quota(now, arrival.client, &state.budgets);
        self.arrivals += 1;
        let request = Request {
            arrival_number: self.arrivals,
            function: arrival.function,
            profile: arrival.profile.min(state.profiles.len().saturating_sub(1)),
            client: arrival.client,
            arrived_at: now,
            deadline: now + arrival.timeout,
            is_open: true,
            over_quota,
            admitted_at: f64::NEG_INFINITY,
            retry_after: None,
            attempts: Vec::new(),
        };
        self.deadlines.insert(id, &request);
        state.requests.insert(id, request);
        state.functions.sweep(now, state.ring.len(), host);
        let response_margin = state.response_margin;
        if arrival.timeout <= response_margin {
            return self.reject_or_fail(now, id, host);
        }
        self.wake_by(now, now + (arrival.timeout - response_margin).min(response_margin), host);
        self.advance(now, id, false, host);
    }

    /// Takes a request through the stages from the first; returns whether it left the queue.
    fn advance(&mut self, now: f64, id: usize, blocked: bool, host: &mut dyn Effects) -> bool {
        let decision = self.admit(now, id, blocked, host);
        match decision {
            Decision::Dispatch(worker) => self.state.send_attempt(now, id, worker, host),
            Decision::GiveUp => self.reject_or_fail(now, id, host),
            Decision::Queue => {
                if let Some(request) = self.state.requests.get(id) {
                    self.queue.push(id, request);
                }
            }
        }
        self.state.budgets.take_exhausted().for_each(|budget| host.budget_exhausted(budget));
        !matches!(decision, Decision::Queue)
    }

    /// Admission, then placement. A request for which no worker has capacity is queued while an answer can still be
    /// in time.
    fn admit(&mut self, now: f64, id: usize, blocked: bool, host: &mut dyn Effects) -> Decision {
        let state = &mut self.state;
        if !state.may_attempt_again(now, id)
            || !state.within_rate_limit(now, id)
            || !state.within_retry_budget(now, id)
        {
            return Decision::GiveUp;
        }
        match if blocked { Decision::Queue } else { state.place(now, id, host) } {
            Decision::Queue => {}
            other => return other,
        }
        let Some(request) = state.requests.get(id) else { return Decision::GiveUp };
        let latency_objective = state.profiles[request.profile].latency_objective;
        let reason = state.queue_reason(now, request);
        if admission::has_waited_too_long(now, request, latency_objective, reason) {
            Decision::GiveUp
        } else {
            Decision::Queue
        }
    }

    /// Whether an attempt requested earlier by [`Effects::send_attempt`] may begin now that its connection is
    /// established.
    ///
    /// # Errors
    ///
    /// Returns why the attempt may not begin.
    pub fn may_send(&self, now: f64, id: usize, worker: usize) -> Result<(), SendRefusal> {
        self.state.may_begin(now, id, worker)
    }

    /// Whether a load request issued earlier by [`Effects::request_load`] may begin now.
    ///
    /// # Errors
    ///
    /// Returns why the load request may not begin.
    pub fn may_request_load(&self, now: f64, worker: usize) -> Result<(), SendRefusal> {
        self.state.may_get_work(now, worker)
    }

    /// The endpoint list was current at `at`, now or in the past: its source was heard from after everything it had
    /// reported.
    pub fn list_confirmed(&mut self, at: f64) {
        self.state.staleness.confirmed(at);
    }

    /// Whether workers may have changed without an update of the endpoint list, because its source has been silent
    /// too long.
    pub fn list_is_stale(&self, now: f64) -> bool {
        self.state.staleness.is_stale(now)
    }

    /// Seconds since the endpoint list was known to be current; infinite before the first confirmation.
    pub fn list_age(&self, now: f64) -> f64 {
        self.state.staleness.age(now)
    }

    /// Number of workers that are listed as ready but get no new work now, because the list is stale and they have
    /// not proved that they take any.
    pub fn unproven_workers(&self, now: f64) -> usize {
        let state = &self.state;
        state.workers.iter().filter(|w| w.is_ready() && !state.staleness.allows(now, w)).count()
    }

    /// A worker answered anything on a connection that was made at `connected_at`.
    pub fn worker_answered(&mut self, now: f64, worker: usize, connected_at: f64) {
        if worker < self.state.workers.len() {
            self.state.workers[worker].acceptance.answered(now, connected_at);
        }
    }

    /// An attempt ended: its result is recorded, and its request ends or is placed again.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        id: usize,
        completion: AttemptCompletion,
        host: &mut dyn Effects,
    ) {
        let Some((function, attempt)) = self.state.attempt_ended(id, &completion) else { return };
        self.state.record_on_worker(now, function, &attempt, &completion);
        self.state.record_load(now, &completion);
        self.state.record_on_function(now, function, &attempt, &completion);
        if completion.is_final {
            self.close_request(id, None, host);
        }
        self.release_if_done(id, host);
        if self
            .state
            .requests
            .get(id)
            .is_some_and(|request| request.is_open && !request.has_attempt_in_flight())
        {
            self.advance(now, id, false, host);
        }
        self.retry_queued(now, host);
    }

    /// The client left, has its response, or receives it as a stream from the attempt `streaming`: other attempts are
    /// cancelled.
    pub fn close_request(&mut self, id: usize, streaming: Option<usize>, host: &mut dyn Effects) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        let was_open = std::mem::replace(&mut request.is_open, false);
        if was_open {
            self.deadlines.remove(id, request);
        }
        if was_open && self.state.can_cancel {
            for attempt in
                (0..request.attempts.len()).filter(|&n| request.attempts[n].in_flight && Some(n) != streaming)
            {
                host.cancel_attempt(id, attempt);
            }
        }
        self.release_if_done(id, host);
    }

    /// Releases a closed request once none of its attempts is in flight.
    fn release_if_done(&mut self, id: usize, host: &mut dyn Effects) {
        if self
            .state
            .requests
            .get(id)
            .is_some_and(|request| !request.is_open && !request.has_attempt_in_flight())
        {
            let request = self.state.requests.take(id);
            let function = request.and_then(|request| self.state.functions.get_mut(request.function));
            function.into_iter().for_each(|f| f.open_requests -= 1);
            host.release_request(id);
        }
    }

    /// Sends the final response of a request that cannot be served: rejected if a repeat is harmless, otherwise
    /// failed.
    fn reject_or_fail(&mut self, now: f64, id: usize, host: &mut dyn Effects) {
        let Some(request) = self.state.requests.get(id).filter(|request| request.is_open) else { return };
        let profile = self.state.profiles[request.profile];
        let retry_after = self.state.admission.retry_after(request, profile.latency_objective);
        let repeated_at = now + retry_after.unwrap_or(0.0);
        if is_repeat_harmless(repeated_at, request, profile.idempotency) {
            host.reject(id, retry_after);
        } else {
            host.fail(id);
        }
        self.close_request(id, None, host);
    }

    /// Places queued requests again.
    fn retry_queued(&mut self, now: f64, host: &mut dyn Effects) {
        // If a request stays queued, later ones of the same function and quota state stay queued without being
        // placed.
        let mut blocked = Vec::new();
        for id in self.queue.take(&self.state.requests) {
            let Some(request) = self.state.requests.get(id) else { continue };
            let key = (request.function, request.over_quota);
            if request.is_open
                && !request.has_attempt_in_flight()
                && !self.advance(now, id, blocked.contains(&key), host)
            {
                blocked.push(key);
            }
        }
    }

    /// A load request was answered or failed; `instances` is the worker's number of instances of the function.
    pub fn load_request_ended(
        &mut self,
        now: f64,
        worker: usize,
        function: usize,
        outcome: Outcome,
        instances: u8,
        host: &mut dyn Effects,
    ) {
        let state = &mut self.state;
        if let Some(placement) = state.functions.placement(function, worker) {
            placement.loading_until = 0.0;
            state.load_requests.load_request_ended();
            if instances > 0 {
                placement.instances = instances.into();
                placement.expires_at = now + state.keep_alive;
            }
        }
        match outcome {
            Outcome::Unreachable => state.workers[worker].record_evidence(now, Evidence::UNREACHABLE),
            // The worker has no room or drains. Asked again at once, it would reject as often as it is asked.
            Outcome::Rejected => state.workers[worker].rejected_at.set(now, false),
            Outcome::Failed | Outcome::Succeeded => {
                state.load_requests.load_ended(now, outcome == Outcome::Succeeded, &mut state.random);
            }
            _ => {}
        }
        self.retry_queued(now, host);
    }

    /// A health check was answered or failed.
    pub fn health_check_ended(
        &mut self,
        now: f64,
        worker: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
        host: &mut dyn Effects,
    ) {
        let worker_state = &mut self.state.workers[worker];
        worker_state.health_check_ended(outcome);
        worker_state.record_report(now, report, self.state.routers);
        if outcome == Outcome::Unreachable {
            worker_state.record_evidence(now, Evidence::UNREACHABLE);
        }
        self.retry_queued(now, host);
    }

    /// Asks to be woken at `at`, unless the router will be woken earlier.
    fn wake_by(&mut self, now: f64, at: f64, host: &mut dyn Effects) {
        if at < self.wake_at {
            self.wake_at = at;
            host.wake_after((at - now).max(0.0));
        }
    }

    /// The time requested by [`Effects::wake_after`] has come.
    pub fn timer_fired(&mut self, now: f64, host: &mut dyn Effects) {
        if now < self.wake_at - 1e-6 {
            return;
        }
        self.wake_at = f64::INFINITY;
        if now >= self.next_watch_at {
            self.next_watch_at = f64::INFINITY;
            host.watch_endpoints();
        }
        let response_margin = self.state.response_margin;
        for id in self.deadlines.due(|deadline| now >= deadline - response_margin) {
            self.reject_or_fail(now, id, host);
        }
        self.retry_queued(now, host);
        if !self.state.requests.is_empty() {
            self.wake_by(now, now + CHECK_INTERVAL, host);
        } else if self.next_watch_at.is_finite() {
            self.wake_by(now, self.next_watch_at, host);
        }
    }
}
