//! Attempts to have a request executed by a worker: whether one may be sent, and what its end means for the request.
//! What is done next, another attempt or a final answer, the router decides.

use super::Dispatcher;
use super::action::{Action, RequestId};
use super::messages::AttemptResult;
use super::request_table::AttemptStage;
use super::state::{CancelledAttempt, Timer};
use milletpath_policy::{AttemptCompletion, Outcome};

impl<T> Dispatcher<T> {
    /// Seconds until an attempt times out; negative where it is overdue.
    pub fn time_left(&mut self, now: f64, request: RequestId, attempt: usize) -> Option<f64> {
        self.state.requests.attempt_mut(request, attempt).map(|record| record.deadline - now)
    }

    /// Whether an attempt whose connection is made may be sent now: the client still waits, there is time, and the
    /// endpoint list says at this moment that the worker takes requests. If not, the attempt ends here as unsent.
    pub fn begin_attempt(&mut self, now: f64, request: RequestId, attempt: usize) -> bool {
        self.state.now = now;
        let record = self.state.requests.get_mut(request);
        let open = record.is_some_and(|record| record.awaiting_answer && now < record.deadline);
        let Some(record) = self.state.requests.attempt_mut(request, attempt) else { return false };
        let in_time = now < record.deadline;
        let (worker, connect_timer) = (record.worker, record.connect_timer);
        let refusal = self.router.may_send(now, request.index, worker).err();
        if let Some(reason) = refusal {
            tracing::debug!(worker, ?reason, "an attempt was not sent");
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

    /// No byte of an attempt that [`begin_attempt`](Self::begin_attempt) allowed could be written. It counts as one
    /// whose connection is not made yet, and has to be allowed again.
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

    /// An attempt ended. Gives whether its result is the client's final answer, which the caller then has to deliver.
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
        // A client that gave up gets no answer, even where its own end was not noticed yet.
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

    /// The connection of an attempt was not made in time.
    pub(super) fn connect_timed_out(&mut self, request: RequestId, attempt: usize) {
        let record = self.state.requests.attempt_mut(request, attempt);
        if record.is_some_and(|record| record.stage == AttemptStage::Connecting) {
            self.attempt_timed_out(request, attempt);
        }
    }

    /// Ends an attempt that took too long, for the router and for the caller.
    pub(super) fn attempt_timed_out(&mut self, request: RequestId, attempt: usize) {
        let Some(record) = self.state.requests.attempt_mut(request, attempt) else { return };
        // Without a connection nothing can have run, whatever time limit ended it.
        let connecting = record.stage == AttemptStage::Connecting;
        let outcome = if connecting { Outcome::Unreachable } else { Outcome::TimedOut };
        let Some(latency) = self.state.end_attempt(request, attempt, outcome) else { return };
        self.state.actions.push_back(Action::CancelAttempt { request, attempt });
        self.report_to_router(request, attempt, latency, false, AttemptResult::from_outcome(outcome));
        self.report_cancelled_attempts();
    }

    /// Reports to the router how the attempts that it cancelled ended, until it cancels no more.
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
        let answer = AttemptCompletion {
            attempt,
            outcome,
            is_final,
            latency,
            instance_state,
            in_flight_of_function: concurrent_requests,
            report,
        };
        let now = self.state.now;
        self.router.attempt_ended(now, request.index, answer, &mut self.state);
    }

    fn set_attempt_stage(&mut self, request: RequestId, attempt: usize, stage: AttemptStage) {
        if let Some(record) = self.state.requests.attempt_mut(request, attempt) {
            record.stage = stage;
        }
    }
}
