//! Implements the router's output interface: its decisions become records, timers and actions. The router calls these
//! methods while it handles an event; none of them calls the router.

use super::action::Action;
use super::request_table::{Attempt, AttemptStage};
use super::state::{CancelledAttempt, DispatcherState, HealthCheck, LoadRequest, Timer};
use milletpath_policy::{Budget, Effects, Outcome};

impl<T> Effects for DispatcherState<T> {
    fn send_attempt(&mut self, request: usize, worker: usize, deadline: f64) {
        let request = self.requests.id_at(request);
        self.counters.attempts += 1;
        let Some(record) = self.requests.get_mut(request) else { return };
        let attempt = record.attempts.len();
        let deadline_timer = self.timers.set(deadline, Timer::AttemptDeadline { request, attempt });
        let connect_deadline = self.now + self.limits.connect_timeout;
        let connect_timer = self.timers.set(connect_deadline, Timer::ConnectDeadline { request, attempt });
        record.attempts.push(Attempt {
            worker,
            dispatched_at: self.now,
            deadline,
            stage: AttemptStage::Connecting,
            deadline_timer,
            connect_timer,
        });
        self.actions.push_back(Action::SendAttempt { request, attempt, worker });
    }

    fn cancel_attempt(&mut self, request: usize, attempt: usize) {
        let request = self.requests.id_at(request);
        let Some(record) = self.requests.attempt_mut(request, attempt) else { return };
        // An attempt without a connection cannot have been executed.
        let sent = record.stage == AttemptStage::Sent;
        let outcome = if sent { Outcome::Cancelled } else { Outcome::NotSent };
        self.actions.push_back(Action::CancelAttempt { request, attempt });
        self.cancelled_attempts.push_back(CancelledAttempt { request, attempt, outcome });
    }

    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        let request = self.requests.id_at(request);
        if self.requests.close(request).is_some() {
            self.counters.rejected += 1;
            self.actions.push_back(Action::Reject { request, retry_after });
        }
    }

    fn fail(&mut self, request: usize) {
        let request = self.requests.id_at(request);
        if let Some(record) = self.requests.close(request) {
            let timed_out = record.timed_out || record.has_attempt_in_flight();
            self.counters.failed += 1;
            self.actions.push_back(Action::Fail { request, timed_out });
        }
    }

    fn request_load(&mut self, worker: usize, function: usize, instances: u8) {
        let serial = self.next_serial();
        self.counters.load_requests += 1;
        self.count_demand(Budget::LoadRequests, 1, 0);
        let load_request = self.load_requests.next_id(serial);
        let deadline = self.now + self.load_request_timeout;
        let deadline_timer = self.timers.set(deadline, Timer::LoadRequestDeadline(load_request));
        let process = self.worker_table.process(worker).process;
        self.load_requests.insert(serial, LoadRequest { worker, process, function, deadline_timer });
        let function = self.functions.name(function);
        self.actions.push_back(Action::LoadFunction { load_request, worker, function, instances });
    }

    fn unload(&mut self, worker: usize, function: usize) {
        let function = self.functions.name(function);
        self.actions.push_back(Action::UnloadFunction { worker, function });
    }

    fn check_health(&mut self, worker: usize) {
        let serial = self.next_serial();
        self.counters.health_checks += 1;
        let deadline = self.now + self.limits.health_check_timeout;
        let deadline_timer = self.timers.set(deadline, Timer::HealthCheckDeadline { worker, serial });
        if self.health_checks.len() <= worker {
            self.health_checks.resize_with(worker + 1, || None);
        }
        let process = self.worker_table.process(worker).process;
        self.health_checks[worker] = Some(HealthCheck { serial, process, deadline_timer });
        self.actions.push_back(Action::HealthCheck { worker, serial });
    }

    fn wake_after(&mut self, after: f64) {
        self.timers.set(self.now + after, Timer::Wake);
    }

    fn watch_endpoints(&mut self) {
        self.actions.push_back(Action::WatchEndpoints);
    }

    fn release_request(&mut self, request: usize) {
        // An action still in the queue may refer to the request, so it is only marked here.
        self.requests.release(request);
    }

    fn release_function(&mut self, function: usize) {
        self.functions.release(function);
    }

    fn budget_exhausted(&mut self, budget: Budget) {
        // Demand for quotas and rate limits is counted when requests arrive.
        let already_counted = matches!(budget, Budget::Quota(_) | Budget::RateLimit(_));
        self.count_demand(budget, u64::from(!already_counted), 1);
    }
}
