//! Records the result of an attempt on its worker, on its function's instances and in the mean latencies.

use crate::decay::RATE_HALF_LIFE;
use crate::events::{AttemptCompletion, InstanceState, Outcome};
use crate::function_state::Function;
use crate::outlier_detection::Evidence;
use crate::request_state::Attempt;
use crate::router_state::RouterState;

impl RouterState {
    /// Marks an attempt as ended and returns it with its function's index; `None` if it is unknown or had already
    /// ended.
    pub(crate) fn attempt_ended(
        &mut self,
        id: usize,
        completion: &AttemptCompletion,
    ) -> Option<(usize, Attempt)> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(completion.attempt).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_ran = completion.outcome.never_ran();
        Some((request.function, *attempt))
    }

    /// Records the result on the attempt's worker: in-flight counts, load report, outlier score, throughput.
    pub(crate) fn record_on_worker(
        &mut self,
        now: f64,
        function: usize,
        attempt: &Attempt,
        completion: &AttemptCompletion,
    ) {
        let has_succeeded = self.functions.has_succeeded(function);
        let worker = &mut self.workers[attempt.worker];
        worker.in_flight_loaded -= f64::from(u8::from(attempt.warm));
        worker.in_flight = worker.in_flight.saturating_sub(1);
        if worker.has_replaced_process_of(attempt) {
            return;
        }
        worker.record_report(now, completion.report, self.routers);
        if let Some(evidence) =
            Evidence::from_completion(completion, attempt, worker.answered_at, has_succeeded, self.latency)
        {
            worker.record_evidence(now, evidence);
        }
        match completion.outcome {
            Outcome::Succeeded => {
                worker.answered_at = now;
                if self.served_requests_prove_acceptance {
                    worker.acceptance.request_served(attempt.sent_at);
                }
                let warm = self.slow_start.is_warm(now, self.staleness.started_at(now, worker));
                self.throughput.record_answer(now, warm);
            }
            Outcome::Rejected => {
                worker.answered_at = now;
                worker.rejected_at.set(now, attempt.warm);
            }
            _ => {}
        }
    }

    /// Records whether a load that the attempt started succeeded.
    pub(crate) fn record_load(&mut self, now: f64, completion: &AttemptCompletion) {
        if completion.outcome == Outcome::NotLoaded && !self.reports_missing_functions
            || completion.instance_state == Some(InstanceState::LoadFailed)
        {
            self.load_requests.load_ended(now, false, &mut self.random);
        } else if completion.instance_state == Some(InstanceState::LoadStarted)
            && completion.outcome == Outcome::Succeeded
        {
            self.load_requests.load_ended(now, true, &mut self.random);
        }
    }

    /// Records the result on the attempt's function: relative latency, instances, concurrency.
    pub(crate) fn record_on_function(
        &mut self,
        now: f64,
        function: usize,
        attempt: &Attempt,
        completion: &AttemptCompletion,
    ) {
        /// Weight of one answer in a function's mean latency; a single function has few answers.
        const FUNCTION_WEIGHT: f64 = 0.2;
        /// Upper bound on one answer's ratio to the overall mean: a slow store does not make the function slow.
        const MAX_RATIO: f64 = 3.0;
        let Some(state) = self.functions.get_mut(function) else { return };
        // Includes attempts that are never answered, for example when requests queue for the function's instances.
        if matches!(completion.outcome, Outcome::Succeeded | Outcome::Cancelled | Outcome::TimedOut) {
            state.relative_latency += FUNCTION_WEIGHT
                * ((completion.latency / self.latency.max(1e-3)).min(MAX_RATIO) - state.relative_latency);
        }
        state.has_succeeded |= completion.outcome == Outcome::Succeeded;
        let is_replaced = self.workers[attempt.worker].has_replaced_process_of(attempt);
        state.attempt_ended(now, attempt, completion, is_replaced, self.load_latency, self.keep_alive);
        if completion.outcome == Outcome::Succeeded {
            self.record_latency(now, function, attempt, completion);
        }
    }

    /// Updates the exponentially weighted mean latencies.
    fn record_latency(
        &mut self,
        now: f64,
        function: usize,
        attempt: &Attempt,
        completion: &AttemptCompletion,
    ) {
        /// Weight of one answer in the mean load time: about a dozen answers, or one second of a busy worker.
        const LOAD_WEIGHT: f64 = 0.1;
        /// Weight of one answer in the mean latency of loaded instances.
        const WEIGHT: f64 = 0.02;
        let cold = matches!(
            completion.instance_state,
            Some(InstanceState::LoadStarted | InstanceState::LoadAwaited)
        ) || completion.instance_state.is_none() && !attempt.warm;
        if !attempt.warm {
            self.load_latency += LOAD_WEIGHT * (completion.latency - self.load_latency);
        }
        if !cold {
            if let Some(state) = self.functions.get_mut(function) {
                state.busy_time.add(now, RATE_HALF_LIFE, completion.latency);
            }
            self.latency += WEIGHT * (completion.latency - self.latency);
        }
    }
}

impl Function {
    /// Updates the instances on the attempt's worker, unless its process `is_replaced`. `load_latency` is the mean load time
    /// and `keep_alive` the time for which an idle instance is kept, in seconds.
    fn attempt_ended(
        &mut self,
        now: f64,
        attempt: &Attempt,
        completion: &AttemptCompletion,
        is_replaced: bool,
        load_latency: f64,
        keep_alive: f64,
    ) {
        let Some(placement) = self.placement(attempt.worker) else { return };
        placement.in_flight -= 1.0;
        if is_replaced {
            return;
        }
        let outlasted = !attempt.warm && completion.latency > load_latency;
        match completion.outcome {
            Outcome::NotLoaded => {
                (placement.instances, placement.loading_until, placement.missing_at) = (0.0, 0.0, now);
            }
            Outcome::Cancelled | Outcome::TimedOut if outlasted => {
                // The load continues although no request waits for it. Starting it again on another worker each time
                // would never finish.
                placement.instances = placement.instances.max(1.0);
                placement.expires_at = now + keep_alive;
            }
            outcome if outcome.never_ran() => placement.loading_until = 0.0,
            Outcome::Failed if !attempt.warm => placement.loading_until = 0.0,
            Outcome::Succeeded => {
                let instances = if placement.expires_at > now { placement.instances } else { 0.0 };
                placement.instances = instances.max(1.0);
                (placement.expires_at, placement.loading_until) = (now + keep_alive, 0.0);
                if attempt.warm && completion.instance_state == Some(InstanceState::LoadStarted) {
                    // A new version of the function was released: instances on other workers are outdated as well.
                    let others = self.placements.iter_mut().filter(|other| other.worker != attempt.worker);
                    others.for_each(|other| other.instances = 0.0);
                }
            }
            _ => {}
        }
    }
}
