//! Attempts: whether one may be sent, and how its end affects the request. The router decides what follows, another
//! attempt or a final response.

use super::Dispatcher;
use super::action::{Action, RequestId};
use super::messages::AttemptResult;
use super::request_table::AttemptStage;
use super::state::{CancelledAttempt, Timer};
use milletpath_policy::{AttemptCompletion, Outcome};

impl<T> Dispatcher<T> {
    /// Seconds until an attempt times out, negative if it is overdue; `None` if the attempt has ended.
    pub fn time_left(&mut self, now: f64, request: RequestId, attempt: usize) -> Option<f64> {
        self.state.requests.attempt_mut(request, attempt).map(|record| record.deadline - now)
    }

    /// Whether an attempt may be sent now that its connection is established: the client still waits, the deadline
    /// has not passed, and the router still allows it, for example because the endpoint list reports the worker as
    /// ready. Otherwise, the attempt ends here as not sent.
    pub fn begin_attempt(&mut self, now: f64, request: RequestId, attempt: usize) -> bool {
        self.state.now = now;
        let record = self.state.requests.get_mut(request);
        let open = record.is_some_and(|record| record.awaiting_answer && now < record.deadline);
        let Some(record) = self.state.requests.attempt_mut(request, attempt) else { return false };
        let in_time = now < record.deadline;
        let (worker, connect_timer) = (record.worker, record.connect_timer);
        let refusal = self.router.may_send(now, request.index, worker).err();
        if let Some(reason) = refusal {
            tracing::debug!(worker, ?reason, "attempt not sent");
        }
        if !(open && refusal.is_none() && in_time) {
            self.state.counters.suppressed += u64::from(refusal.is_some());
            self.attempt_ended(now, request, attempt, AttemptResult::from_outcome(Outcome::NotSent));
            return false;
        }
        self.state.timers.cancel(connect_timer);
        self.set_attempt_stage(request, attempt, AttemptStage::Sent);
        if let Some(record) = self.state.requests.get_mut(request) {
            record.may_have_run = true;
        }
        true
    }

    /// Reports that no byte of an attempt allowed by [`begin_attempt`](Self::begin_attempt) could be written. The
    /// attempt returns to the connecting stage, and must be allowed again before it is sent.
    pub fn attempt_not_written(&mut self, now: f64, request: RequestId, attempt: usize) {
        self.state.now = now;
        let connect_deadline = now + self.state.limits.connect_timeout;
        let Some(record) = self.state.requests.attempt_mut(request, attempt) else { return };
        if record.stage != AttemptStage::Sent {
            return;
        }
        record.stage = AttemptStage::Connecting;
        record.connect_timer =
            self.state.timers.set(connect_deadline, Timer::ConnectDeadline { request, attempt });
    }

    /// Reports the end of an attempt. Returns whether its result is the final response, which the caller must then
    /// send to the client.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        request: RequestId,
        attempt: usize,
        result: AttemptResult,
    ) -> bool {
        self.state.now = now;
        let Some(record) = self.state.requests.get_mut(request) else { return false };
        let in_time = record.awaiting_answer && now < record.deadline;
        // After its deadline the client gets no response, even if its disconnect has not been noticed yet.
        let outcome = match result.outcome {
            Outcome::Succeeded if record.awaiting_answer && !in_time => Outcome::TimedOut,
            other => other,
        };
        let Some(latency) = self.state.end_attempt(request, attempt, outcome) else { return false };
        let answers_client = in_time && (result.answers_client || outcome == Outcome::Succeeded);
        if answers_client && self.state.requests.close(request).is_some() {
            match outcome {
                Outcome::Succeeded => self.state.counters.succeeded += 1,
                _ => self.state.counters.failed += 1,
            }
        }
        let result = AttemptResult { outcome, ..result };
        self.report_to_router(request, attempt, latency, answers_client, result);
        self.report_cancelled_attempts();
        answers_client
    }

    /// Ends an attempt whose connection was not established in time.
    pub(super) fn connect_timed_out(&mut self, request: RequestId, attempt: usize) {
        let record = self.state.requests.attempt_mut(request, attempt);
        if record.is_some_and(|record| record.stage == AttemptStage::Connecting) {
            self.attempt_timed_out(request, attempt);
        }
    }

    /// Ends an attempt that timed out: notifies the router and tells the caller to cancel it.
    pub(super) fn attempt_timed_out(&mut self, request: RequestId, attempt: usize) {
        let Some(record) = self.state.requests.attempt_mut(request, attempt) else { return };
        // Without a connection nothing can have been executed, whichever timeout ended the attempt.
        let connecting = record.stage == AttemptStage::Connecting;
        let outcome = if connecting { Outcome::Unreachable } else { Outcome::TimedOut };
        let Some(latency) = self.state.end_attempt(request, attempt, outcome) else { return };
        self.state.actions.push_back(Action::CancelAttempt { request, attempt });
        self.report_to_router(request, attempt, latency, false, AttemptResult::from_outcome(outcome));
        self.report_cancelled_attempts();
    }

    /// Reports to the router the ends of the attempts that it cancelled. The router may cancel more attempts in
    /// response; they are reported too.
    pub(super) fn report_cancelled_attempts(&mut self) {
        while let Some(cancelled) = self.state.cancelled_attempts.pop_front() {
            let CancelledAttempt { request, attempt, outcome } = cancelled;
            if let Some(latency) = self.state.end_attempt(request, attempt, outcome) {
                let result = AttemptResult::from_outcome(outcome);
                self.report_to_router(request, attempt, latency, true, result);
            }
        }
    }

    fn report_to_router(
        &mut self,
        request: RequestId,
        attempt: usize,
        latency: f64,
        is_final: bool,
        result: AttemptResult,
    ) {
        let record = self.state.requests.get_mut(request);
        let is_final = is_final || record.is_some_and(|record| !record.awaiting_answer);
        let AttemptResult { outcome, instance_state, concurrent_requests, report, .. } = result;
        let completion = AttemptCompletion {
            attempt,
            outcome,
            is_final,
            latency,
            instance_state,
            in_flight_of_function: concurrent_requests,
            report,
        };
        let now = self.state.now;
        self.router.attempt_ended(now, request.index, completion, &mut self.state);
    }

    fn set_attempt_stage(&mut self, request: RequestId, attempt: usize, stage: AttemptStage) {
        if let Some(record) = self.state.requests.attempt_mut(request, attempt) {
            record.stage = stage;
        }
    }
}
