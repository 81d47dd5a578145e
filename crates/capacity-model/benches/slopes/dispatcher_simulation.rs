//! Simulates the dispatcher of one gateway of a fleet, without sockets and in simulated time. Measured are CPU per
//! call, memory in the steady state, the rates of health checks and load requests, and the dispatcher's part of a
//! cold start.

use crate::endpoint_list::{dispatcher, endpoints};
use crate::event_queue::EventQueue;
use crate::fleet_load::FleetLoad;
use crate::measure::{
    BYTES_PER_MEGABYTE, MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND, allocated_bytes, clock_overhead,
    cpu_seconds,
};
use crate::simulated_workers::{SimulatedWorkers, round_trip};
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::{InstanceState, LoadReport, Outcome};
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::collections::HashMap;

/// Simulated seconds beyond the idle timeout until the state is steady: the functions that were called first have been
/// evicted by then.
const WARM_UP_SECONDS: f64 = 20.0;

/// Number and duration of the measured windows, which follow the warm-up.
const WINDOW_COUNT: usize = 5;
const WINDOW_SECONDS: f64 = 5.0;

/// Mean execution time of a call.
const MEAN_EXECUTION_SECONDS: f64 = 0.05;

/// Timeout that the client sets, and the id of the client.
const CLIENT_TIMEOUT_SECONDS: f64 = 3.3;
const CLIENT_ID: usize = 9;

/// Results of a simulation. Vectors described as "by window" have one value per measured window.
#[derive(Default)]
pub struct DispatcherMetrics {
    /// CPU per call in microseconds, by window.
    pub cpu_micros: Vec<f64>,
    /// Memory of the dispatcher in MB, by window.
    pub megabytes: Vec<f64>,
    /// Number of functions for which the dispatcher holds state, by window.
    pub functions: Vec<f64>,
    /// Health checks per call, by window.
    pub health_checks: Vec<f64>,
    /// Load requests per call, by window.
    pub load_requests: Vec<f64>,
    /// For each call whose function was loaded nowhere, the milliseconds until its first attempt.
    pub cold_start_millis: Vec<f64>,
    /// Fraction of the calls that succeeded.
    pub success_ratio: f64,
    /// Number of instances that the gateway has used and that are still loaded at the end.
    pub loaded_instances: f64,
}

/// An event in simulated time.
enum Event {
    RequestArrives,
    AttemptEnds { request: RequestId, attempt: usize, worker: usize, was_loaded: bool },
    LoadRequestEnds { load_request: RequestId, instances: u8 },
    HealthCheckEnds { worker: usize, serial: u64 },
    ListUpdates,
}

/// The input of the dispatcher at one event. It is created outside of the measurement.
struct Input {
    /// The rank of the function of an arriving request.
    function: usize,
    report: Option<LoadReport>,
    update: Option<EndpointEntry>,
}

/// Distributions that are sampled for each call.
struct Distributions {
    function: Zipf<f64>,
    interval: Exp<f64>,
    execution: Exp<f64>,
}

impl Distributions {
    fn new(load: &FleetLoad) -> Self {
        Self {
            function: Zipf::new(load.functions as f64, load.zipf_exponent)
                .expect("the Zipf parameters are valid"),
            interval: Exp::new(load.calls_per_second).expect("the call rate is positive"),
            execution: Exp::new(1.0 / MEAN_EXECUTION_SECONDS).expect("the mean is positive"),
        }
    }
}

/// Counters of the current window.
#[derive(Default)]
struct Window {
    /// Number of the window; 0 is the warm-up.
    number: usize,
    cpu_seconds: f64,
    calls: u32,
    health_checks_before: u64,
    load_requests_before: u64,
}

struct Simulation {
    load: FleetLoad,
    rng: ChaCha8Rng,
    distributions: Distributions,
    /// Names of the functions, indexed by rank; rank 0 is not called.
    names: Vec<String>,
    list: Vec<EndpointEntry>,
    workers: SimulatedWorkers,
    queue: EventQueue<Event>,
    dispatcher: Dispatcher<usize>,
    clock_overhead: f64,
    /// Bytes allocated by the dispatcher, without the tables of the simulation.
    dispatcher_bytes: f64,
    window: Window,
    list_updates: usize,
    /// Arrival times of requests whose function is loaded nowhere, by serial number.
    cold_requests: HashMap<u64, f64>,
    metrics: DispatcherMetrics,
}

/// Runs the simulation.
pub fn simulate(load: FleetLoad, seed: u64) -> DispatcherMetrics {
    Simulation::new(load, seed).run()
}

impl Simulation {
    fn new(load: FleetLoad, seed: u64) -> Self {
        let names = (0..=load.functions).map(|rank| format!("function-{rank}")).collect();
        let list = endpoints(load.workers);
        let workers = SimulatedWorkers::new(&load);
        let distributions = Distributions::new(&load);
        let clock_overhead = clock_overhead();
        let before = allocated_bytes();
        let mut dispatcher: Dispatcher<usize> = dispatcher(load.gateways, load.idle_timeout, "");
        dispatcher.update_endpoints(0.0, true, &list);
        let dispatcher_bytes = allocated_bytes() - before;
        Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            distributions,
            names,
            list,
            workers,
            queue: EventQueue::new(),
            dispatcher,
            clock_overhead,
            dispatcher_bytes,
            window: Window::default(),
            list_updates: 0,
            cold_requests: HashMap::new(),
            metrics: DispatcherMetrics::default(),
        }
    }

    fn run(mut self) -> DispatcherMetrics {
        self.queue.push(0.0, Event::RequestArrives);
        self.schedule_list_update(0.0);
        self.begin_window(0);
        while let Some((now, event)) = self.queue.pop() {
            self.advance_window(now);
            if self.window.number > WINDOW_COUNT {
                self.metrics.loaded_instances = self.workers.loaded_instances(now) as f64;
                break;
            }
            self.apply(now, &event);
        }
        let counters = self.dispatcher.counters();
        self.metrics.success_ratio = counters.succeeded as f64 / counters.accepted.max(1) as f64;
        self.metrics
    }

    fn schedule_list_update(&mut self, now: f64) {
        if self.load.list_updates_per_second > 0.0 {
            self.queue.push(now + 1.0 / self.load.list_updates_per_second, Event::ListUpdates);
        }
    }

    /// Begins the first measured window after the warm-up, and records each window at its end.
    fn advance_window(&mut self, now: f64) {
        let steady_state_start = self.load.idle_timeout + WARM_UP_SECONDS;
        if self.window.number == 0 && now >= steady_state_start {
            self.metrics.cold_start_millis.clear();
            self.begin_window(1);
        }
        if self.window.number > 0 && now >= steady_state_start + WINDOW_SECONDS * self.window.number as f64 {
            self.record_window();
            self.begin_window(self.window.number + 1);
        }
    }

    fn begin_window(&mut self, number: usize) {
        let counters = self.dispatcher.counters();
        self.window = Window {
            number,
            cpu_seconds: 0.0,
            calls: 0,
            health_checks_before: counters.health_checks,
            load_requests_before: counters.load_requests,
        };
    }

    fn record_window(&mut self) {
        let (window, counters) = (&self.window, self.dispatcher.counters());
        let calls = f64::from(window.calls.max(1));
        let health_checks = counters.health_checks - window.health_checks_before;
        let load_requests = counters.load_requests - window.load_requests_before;
        self.metrics.cpu_micros.push(window.cpu_seconds * MICROSECONDS_PER_SECOND / calls);
        self.metrics.megabytes.push(self.dispatcher_bytes / BYTES_PER_MEGABYTE);
        self.metrics.functions.push(self.dispatcher.function_count() as f64);
        self.metrics.health_checks.push(health_checks as f64 / calls);
        self.metrics.load_requests.push(load_requests as f64 / calls);
    }

    fn apply(&mut self, now: f64, event: &Event) {
        let input = self.input(event);
        let (bytes_before, start) = (allocated_bytes(), cpu_seconds());
        let request = self.dispatch(now, event, &input);
        let actions = self.actions(now);
        self.window.cpu_seconds += cpu_seconds() - start - self.clock_overhead;
        let action_bytes = (actions.capacity() * size_of::<Action>()) as f64;
        self.dispatcher_bytes += allocated_bytes() - bytes_before - action_bytes;
        match event {
            Event::RequestArrives => self.request_arrived(now, input.function, request),
            Event::ListUpdates => self.schedule_list_update(now),
            _ => {}
        }
        actions.into_iter().for_each(|action| self.perform(now, action));
    }

    fn input(&mut self, event: &Event) -> Input {
        let report = match event {
            Event::AttemptEnds { worker, .. } => {
                self.workers.end_call(*worker);
                Some(self.workers.report(*worker, &mut self.rng))
            }
            Event::HealthCheckEnds { worker, .. } => Some(self.workers.report(*worker, &mut self.rng)),
            _ => None,
        };
        let function = match event {
            Event::RequestArrives => self.distributions.function.sample(&mut self.rng) as usize,
            _ => 0,
        };
        let update = matches!(event, Event::ListUpdates).then(|| self.next_update());
        Input { function, report, update }
    }

    /// The next update of the endpoint list: a worker starts to drain, and every second update reverts this.
    fn next_update(&mut self) -> EndpointEntry {
        let mut endpoint = self.list[self.list_updates / 2 % self.load.workers].clone();
        if self.list_updates.is_multiple_of(2) {
            endpoint.state = EndpointStatus::Draining;
        }
        self.list_updates += 1;
        endpoint
    }

    /// First part of the measured code: runs timers that are due and passes the event to the dispatcher. Returns the id
    /// of an arriving request.
    fn dispatch(&mut self, now: f64, event: &Event, input: &Input) -> Option<RequestId> {
        let dispatcher = &mut self.dispatcher;
        while dispatcher.next_deadline().is_some_and(|deadline| deadline <= now) {
            dispatcher.advance(now);
        }
        match event {
            Event::RequestArrives => {
                let request = IncomingRequest {
                    function: &self.names[input.function],
                    profile: 0,
                    client: CLIENT_ID,
                    timeout: CLIENT_TIMEOUT_SECONDS,
                    is_retry: false,
                    resources: None,
                };
                return dispatcher.submit(now, request, input.function);
            }
            Event::AttemptEnds { request, attempt, was_loaded, .. } => {
                dispatcher.attempt_ended(now, *request, *attempt, attempt_result(*was_loaded, input.report));
            }
            Event::LoadRequestEnds { load_request, instances } => {
                dispatcher.load_request_ended(now, *load_request, Outcome::Succeeded, *instances);
            }
            Event::HealthCheckEnds { worker, serial } => {
                dispatcher.health_check_ended(now, *worker, *serial, Outcome::Succeeded, input.report);
            }
            Event::ListUpdates => dispatcher.update_endpoints(now, false, input.update.as_slice()),
        }
        None
    }

    /// Second part of the measured code: collects the actions that the dispatcher requests.
    fn actions(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(action) = self.dispatcher.next_action() {
            if let Action::SendAttempt { request, attempt, .. } = action {
                self.dispatcher.begin_attempt(now, request, attempt);
            }
            actions.push(action);
        }
        actions
    }

    fn request_arrived(&mut self, now: f64, function: usize, request: Option<RequestId>) {
        self.window.calls += 1;
        let interval = self.distributions.interval.sample(&mut self.rng);
        self.queue.push(now + interval, Event::RequestArrives);
        let is_cold = self.workers.is_loaded_nowhere(now, function);
        if let Some(request) = request.filter(|_| is_cold) {
            self.cold_requests.insert(request.serial, now);
        }
    }

    fn perform(&mut self, now: f64, action: Action) {
        match action {
            Action::SendAttempt { request, attempt, worker } => {
                self.send_attempt(now, request, attempt, worker);
            }
            Action::LoadFunction { load_request, worker, function, instances } => {
                let rank = function.rsplit('-').next().and_then(|rank| rank.parse().ok()).unwrap_or(0);
                let is_loaded = self.workers.use_function(now, rank, worker, &mut self.rng);
                let load_time = SimulatedWorkers::load_time(is_loaded, &mut self.rng);
                let end = now + round_trip(worker) + load_time;
                self.queue.push(end, Event::LoadRequestEnds { load_request, instances });
            }
            Action::HealthCheck { worker, serial } => {
                self.queue.push(now + round_trip(worker), Event::HealthCheckEnds { worker, serial });
            }
            _ => {}
        }
    }

    fn send_attempt(&mut self, now: f64, request: RequestId, attempt: usize, worker: usize) {
        if let Some(arrival) = self.cold_requests.remove(&request.serial) {
            self.metrics.cold_start_millis.push((now - arrival) * MILLISECONDS_PER_SECOND);
        }
        self.workers.begin_call(worker);
        let function = self.dispatcher.context(request).copied().unwrap_or(0);
        let was_loaded = self.workers.use_function(now, function, worker, &mut self.rng);
        let load_time = SimulatedWorkers::load_time(was_loaded, &mut self.rng);
        let execution = self.distributions.execution.sample(&mut self.rng);
        let end = now + (round_trip(worker) + load_time + execution);
        self.queue.push(end, Event::AttemptEnds { request, attempt, worker, was_loaded });
    }
}

fn attempt_result(was_loaded: bool, report: Option<LoadReport>) -> AttemptResult {
    let instance_state = if was_loaded { InstanceState::Loaded } else { InstanceState::LoadStarted };
    AttemptResult {
        report,
        instance_state: Some(instance_state),
        ..AttemptResult::from_outcome(Outcome::Succeeded)
    }
}
