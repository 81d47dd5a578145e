//! Dispatch: the conditions that every attempt must meet, and the only place where attempts are sent.

use crate::effects::{Budget, Effects};
use crate::request_state::{Attempt, Request};
use crate::retry;
use crate::router_state::RouterState;

/// Why an attempt or a load request may no longer begin after it was decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The endpoint list has the worker as draining or gone.
    NotReady,
    /// The worker's process was replaced after the decision.
    Replaced,
    /// The endpoint list is stale, and the worker has not proved recently that it takes new work.
    Unproven,
    /// The request's admission under its client group's rate limit has expired.
    AdmissionLapsed,
    /// An earlier attempt may have run so long ago that workers no longer know its idempotency key.
    KeyExpired,
    /// The decision is too old for a worker in slow start.
    SlowStart,
    /// Too many attempts are in flight at the worker.
    InFlightLimit,
}

impl RouterState {
    /// Whether a worker may get new work now: the endpoint list has it as ready, and if the list is stale, the worker
    /// has proved that it takes new work.
    pub(crate) fn may_get_work(&self, now: f64, worker: usize) -> Result<(), SendRefusal> {
        match self.workers.get(worker) {
            Some(worker) if worker.is_ready() && self.staleness.allows(now, worker) => Ok(()),
            Some(worker) if worker.is_ready() => Err(SendRefusal::Unproven),
            _ => Err(SendRefusal::NotReady),
        }
    }

    /// Whether this router may have `in_flight` attempts at a worker, by its share of the limit for all routers.
    fn within_in_flight_limit(&self, now: f64, worker: usize, in_flight: usize) -> bool {
        self.max_in_flight.is_infinite()
            || in_flight as f64 <= self.budgets.allowed(now, Budget::InFlight(worker), self.max_in_flight)
    }

    /// Whether a request may have another attempt on some worker.
    pub(crate) fn may_attempt_again(&self, now: f64, id: usize) -> bool {
        self.requests.get(id).is_some_and(|request| {
            let idempotency = self.profiles[request.profile].idempotency;
            self.retry.may_attempt_again(
                now,
                request,
                idempotency,
                self.functions.has_succeeded(request.function),
            )
        })
    }

    /// Whether a request is within its client group's rate limit; if not, sets its Retry-After.
    pub(crate) fn within_rate_limit(&mut self, now: f64, id: usize) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        self.admission.within_rate_limit(now, request, &mut self.budgets, &mut self.random)
    }

    /// Whether the retry budget allows another attempt of a request.
    pub(crate) fn within_retry_budget(&mut self, now: f64, id: usize) -> bool {
        let first = self.requests.get(id).is_none_or(|request| request.attempts.is_empty());
        self.retry.within_retry_budget(now, first, &mut self.budgets)
    }

    /// Whether a request may have an attempt at a worker, by number of attempts, time, idempotency, endpoint state,
    /// slow start and in-flight limit. Callers check the proof that is required while the list is stale.
    pub(crate) fn may_attempt(&mut self, now: f64, id: usize, worker: usize) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let idempotency = self.profiles[request.profile].idempotency;
        let allowed = self.may_attempt_again(now, id)
            && self.workers[worker].is_ready()
            && retry::may_run_on(request, idempotency, worker, &self.workers[worker])
            && self.slow_start.has_capacity(
                now,
                worker,
                &mut self.workers,
                &self.staleness,
                &mut self.throughput,
                &mut self.random,
            );
        let over_limit =
            allowed && !self.within_in_flight_limit(now, worker, self.workers[worker].in_flight + 1);
        if over_limit {
            self.budgets.record_exhausted(Budget::InFlight(worker));
        }
        allowed && !over_limit
    }

    /// Sends an attempt if it is allowed.
    pub(crate) fn send_attempt(&mut self, now: f64, id: usize, worker: usize, host: &mut dyn Effects) {
        /// Multiple of the mean load time after which a load is assumed to have failed.
        const MAX_LOAD_MULTIPLE: f64 = 4.0;
        if !self.may_attempt(now, id, worker) || self.may_get_work(now, worker).is_err() {
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(function) = self.functions.get(request.function) else { return };
        let warm = function.instances(now, worker).count > 0.0;
        let Some(placement) = self.functions.placement(request.function, worker) else { return };
        placement.in_flight += 1.0;
        if !warm {
            placement.loading_until =
                placement.loading_until.max(now + MAX_LOAD_MULTIPLE * self.load_latency);
        }
        self.retry.attempt_sent(now, request.attempts.is_empty());
        self.admission.attempt_sent(now, request);
        let worker_state = &mut self.workers[worker];
        let (zone, cell) = (worker_state.zone, worker_state.cell);
        request.attempts.push(Attempt {
            worker,
            process: worker_state.process,
            zone,
            cell,
            sent_at: now,
            in_flight: true,
            never_ran: false,
            warm,
        });
        worker_state.in_flight += 1;
        worker_state.in_flight_loaded += f64::from(u8::from(warm));
        worker_state.slow_start_slot.attempts_left -= 1.0;
        host.send_attempt(id, worker, request.deadline);
    }

    /// Whether an attempt that was decided on earlier may begin now, by its worker's state, its admission, its
    /// idempotency key and the in-flight limit. At a worker in slow start the decision must also be recent: delayed
    /// attempts of several slots would otherwise all fall into one window.
    pub(crate) fn may_begin(&self, now: f64, id: usize, worker: usize) -> Result<(), SendRefusal> {
        self.may_get_work(now, worker)?;
        if let Some(request) = self.requests.get(id) {
            if self.is_for_replaced_process(request, worker) {
                return Err(SendRefusal::Replaced);
            }
            if self.admission.has_lapsed(now, request) {
                return Err(SendRefusal::AdmissionLapsed);
            }
            if retry::key_expired(now, request, self.profiles[request.profile].idempotency) {
                return Err(SendRefusal::KeyExpired);
            }
            if self.is_too_late_for_slow_start(now, request, worker) {
                return Err(SendRefusal::SlowStart);
            }
        }
        if self.within_in_flight_limit(now, worker, self.workers[worker].in_flight) {
            Ok(())
        } else {
            Err(SendRefusal::InFlightLimit)
        }
    }

    /// Whether an attempt at a worker was decided on for an earlier process of it.
    fn is_for_replaced_process(&self, request: &Request, worker: usize) -> bool {
        let mut in_flight =
            request.attempts.iter().filter(|attempt| attempt.in_flight && attempt.worker == worker);
        in_flight.any(|attempt| self.workers[worker].has_replaced_process_of(attempt))
    }

    /// Whether an attempt has waited for its connection for longer than one slot of its worker's slow start.
    fn is_too_late_for_slow_start(&self, now: f64, request: &Request, worker: usize) -> bool {
        let is_late = |attempt: &Attempt| {
            attempt.in_flight
                && attempt.worker == worker
                && now - attempt.sent_at > self.slow_start.slot_seconds()
        };
        request.attempts.iter().any(is_late)
            && self.slow_start.is_cold(now, self.staleness.started_at(now, &self.workers[worker]))
    }
}
