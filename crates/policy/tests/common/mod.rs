//! A host that records the calls of a router, and a router on it. Not every test file uses all of it.
#![allow(dead_code)]

use milletpath_policy::Router;
use milletpath_policy::*;

#[derive(Clone, Debug, PartialEq)]
pub enum HostCall {
    Send { id: usize, worker: usize },
    Cancel { id: usize, attempt: usize },
    Reject { id: usize },
    Fail { id: usize },
    RequestLoad { worker: usize, function: usize, instances: u8 },
    WatchEndpoints,
    CheckHealth { worker: usize },
}

#[derive(Default)]
pub struct RecordingHost {
    pub now: f64,
    pub calls: Vec<(f64, HostCall)>,
    pub wakes: Vec<f64>,
    pub released_requests: Vec<usize>,
    pub released_functions: Vec<usize>,
    pub exhausted: Vec<Budget>,
    pub retry_after: Vec<Option<f64>>,
}

impl Effects for RecordingHost {
    fn send_attempt(&mut self, id: usize, worker: usize, _until: f64) {
        self.calls.push((self.now, HostCall::Send { id, worker }));
    }
    fn cancel_attempt(&mut self, id: usize, attempt: usize) {
        self.calls.push((self.now, HostCall::Cancel { id, attempt }));
    }
    fn budget_exhausted(&mut self, budget: Budget) {
        self.exhausted.push(budget);
    }
    fn reject(&mut self, id: usize, retry_after: Option<f64>) {
        self.retry_after.push(retry_after);
        self.calls.push((self.now, HostCall::Reject { id }));
    }
    fn fail(&mut self, id: usize) {
        self.calls.push((self.now, HostCall::Fail { id }));
    }
    fn request_load(&mut self, worker: usize, function: usize, instances: u8) {
        self.calls.push((self.now, HostCall::RequestLoad { worker, function, instances }));
    }
    fn unload(&mut self, _worker: usize, _function: usize) {}
    fn check_health(&mut self, worker: usize) {
        self.calls.push((self.now, HostCall::CheckHealth { worker }));
    }
    fn wake_after(&mut self, after: f64) {
        self.wakes.push(self.now + after);
    }
    fn watch_endpoints(&mut self) {
        self.calls.push((self.now, HostCall::WatchEndpoints));
    }
    fn release_request(&mut self, id: usize) {
        self.released_requests.push(id);
    }
    fn release_function(&mut self, function: usize) {
        self.released_functions.push(function);
    }
}

/// A router on a recording host.
pub struct TestRouter {
    pub host: RecordingHost,
    pub router: Router,
    next_request: usize,
}

pub fn idempotent() -> Profile {
    Profile { latency_objective: 1.0, idempotency: Idempotency::Idempotent }
}

/// A minimal configuration: one router, one profile, load requests enabled, no budgets.
pub fn config(profile: Profile) -> PolicyConfig {
    PolicyConfig {
        seed: 7,
        routers: 1,
        profiles: vec![profile],
        quotas: vec![],
        rate_limits: vec![],
        retry_budget: None,
        max_in_flight: f64::INFINITY,
        over_quota_weight: 1.0,
        max_attempts: 4,
        can_cancel: true,
        can_request_loads: true,
        reports_missing_functions: false,
        watches_on_request: false,
        can_check_health: false,
        health_checks_report_load: true,
        list_valid_for: f64::INFINITY,
        draining_workers_reject: true,
        acceptance_valid_for: 0.5,
        max_retry_after: None,
        keep_alive: 10.0,
        load_budget: None,
        load_request_timeout: 10.0,
        initial_capacity: 0.2,
        warm_up: 15.0,
        overload_multiple: 2.5,
        overload_window: 2.0,
        size_meaning: SizeMeaning::Capacity,
        function_memory: usize::MAX,
        memory: vec![],
        clock_resolution: 0.004,
    }
}

impl TestRouter {
    /// A router with the given number of warm workers.
    pub fn new(config: PolicyConfig, workers: usize) -> Self {
        let mut host = RecordingHost::default();
        let router = Router::new(config, 0.0, &mut host);
        let mut router = Self { host, router, next_request: 0 };
        router.list((0..workers).map(|w| endpoint(w, EndpointState::Ready, None)).collect());
        router
    }

    pub fn list(&mut self, endpoints: Vec<EndpointUpdate>) {
        endpoints.into_iter().for_each(|l| self.router.update_endpoint(l));
        self.router.end_list(self.host.now, &mut self.host);
    }

    /// Advances the clock and wakes the router whenever it asked for it.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.host.now + seconds;
        while let Some(&at) = self.host.wakes.iter().min_by(|a, b| a.total_cmp(b)).filter(|&&t| t <= end) {
            self.host.wakes.retain(|&t| t != at);
            self.host.now = at.max(self.host.now);
            self.router.timer_fired(self.host.now, &mut self.host);
        }
        self.host.now = end;
    }

    /// A request of the function arrives; returns its index.
    pub fn arrive(&mut self, function: usize, patience: f64) -> usize {
        let id = self.next_request;
        self.next_request += 1;
        let arrival = Arrival {
            function,
            name: 1000 + function as u64,
            profile: 0,
            client: 0,
            timeout: patience,
            is_retry: false,
            concurrency: 2.0,
            memory: 100.0,
            load_time: None,
        };
        self.router.request_arrived(self.host.now, id, arrival, &mut self.host);
        id
    }

    pub fn answer(&mut self, id: usize, attempt: usize, outcome: Outcome, latency: f64) {
        let succeeded = outcome == Outcome::Succeeded;
        let answer = AttemptCompletion {
            attempt,
            outcome,
            is_final: succeeded,
            latency,
            instance_state: None,
            in_flight_of_function: 0.0,
            report: None,
        };
        self.router.attempt_ended(self.host.now, id, answer, &mut self.host);
    }

    /// The workers of a request's attempts, in order.
    pub fn attempts(&self, id: usize) -> Vec<usize> {
        let sends = self.host.calls.iter().filter_map(|(_, call)| match call {
            HostCall::Send { id: other, worker } if *other == id => Some(*worker),
            _ => None,
        });
        sends.collect()
    }

    /// A request arrives and is answered after `latency` seconds; returns the worker.
    pub fn serve(&mut self, function: usize, latency: f64) -> usize {
        let id = self.arrive(function, 4.0);
        self.advance(latency);
        let attempt = self.attempts(id).len().checked_sub(1).expect("an attempt was sent");
        self.answer(id, attempt, Outcome::Succeeded, latency);
        self.attempts(id)[attempt]
    }

    pub fn load_requests(&self) -> Vec<(f64, usize)> {
        let load_requests = self.host.calls.iter().filter_map(|(at, call)| match call {
            HostCall::RequestLoad { worker, instances: 1.., .. } => Some((*at, *worker)),
            _ => None,
        });
        load_requests.collect()
    }

    pub fn has_called(&self, expected: &HostCall) -> bool {
        self.host.calls.iter().any(|(_, call)| call == expected)
    }
}

pub fn endpoint(worker: usize, state: EndpointState, started: Option<f64>) -> EndpointUpdate {
    EndpointUpdate {
        worker,
        name: 77 + worker as u64 * 13,
        started_at: started,
        size: 1.0,
        kind: 0,
        zone: worker % 2,
        cell: worker / 2,
        state,
    }
}
