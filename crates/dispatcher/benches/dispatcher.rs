//! CPU time of the dispatcher alone in the gateway, without sockets, in simulated time. Workloads: 30 workers and 60
//! functions, or 300 workers and 10,000 functions with Zipf-distributed popularity; 760 or 7,600 requests per second;
//! a single gateway, or one of 60 that share the workers.
//!
//! `cargo bench -p milletpath-dispatcher --bench dispatcher` prints microseconds per request, for all its events
//! together.

mod worker_entry;

use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::registry::EndpointStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::collections::BTreeMap;
use std::time::Instant;
use worker_entry::entry;

/// Simulated duration in seconds, including the warm-up. The warm-up, in which the dispatcher learns of the
/// instances, is not measured.
const SECONDS: f64 = 20.0;
const WARM_UP_SECONDS: f64 = 5.0;

/// Service time of a worker in seconds: the minimum, and the mean of the exponentially distributed addition.
const MIN_SERVICE_TIME: f64 = 0.01;
const MEAN_EXTRA_SERVICE_TIME: f64 = 0.05;

#[derive(Clone, Copy)]
struct Workload {
    workers: usize,
    functions: usize,
    requests_per_second: f64,
    gateways: usize,
}

#[derive(Clone, Copy)]
enum Event {
    Submit,
    AttemptEnded { request: RequestId, attempt: usize, worker: usize },
    LoadRequestEnded { load_request: RequestId, instances: u8 },
    HealthCheckEnded { worker: usize, serial: u64 },
}

struct Measurement {
    micros_per_request: f64,
    succeeded: f64,
}

struct Simulation {
    dispatcher: Dispatcher<()>,
    random: ChaCha8Rng,
    popularity: Zipf<f64>,
    interval: Exp<f64>,
    service_time: Exp<f64>,
    functions: Vec<String>,
    /// Events by time in microseconds and serial number.
    queue: BTreeMap<(u64, u64), Event>,
    next_serial: u64,
    /// Attempts in flight at each worker.
    in_flight: Vec<i64>,
}

impl Simulation {
    fn new(workload: Workload) -> Self {
        let Workload { workers, functions, requests_per_second, gateways } = workload;
        let text = format!(
            "seed = 7\ngateways = {gateways}\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{\n  lanes = 2\n  \
             load = 0.4\n}}\nworkers {{ registry = \"127.0.0.1:1\" }}\n"
        );
        let mut config = milletpath_config::read(&text).expect("a valid configuration");
        // The list is never confirmed here, so it must not become stale.
        config.policy.list_valid_for = f64::INFINITY;
        let mut dispatcher = Dispatcher::new(&config, 0.0);
        dispatcher.update_endpoints(
            0.0,
            true,
            &(0..workers).map(|number| entry(number, EndpointStatus::Ready)).collect::<Vec<_>>(),
        );
        let mut simulation = Self {
            dispatcher,
            random: ChaCha8Rng::seed_from_u64(1),
            popularity: Zipf::new(functions as f64, 1.1).expect("a valid distribution"),
            interval: Exp::new(requests_per_second).expect("a valid distribution"),
            service_time: Exp::new(1.0 / MEAN_EXTRA_SERVICE_TIME).expect("a valid distribution"),
            functions: (0..=functions).map(|n| format!("pack-{n}")).collect(),
            queue: BTreeMap::new(),
            next_serial: 0,
            in_flight: vec![0; workers],
        };
        simulation.schedule(0.0, Event::Submit);
        simulation
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.next_serial += 1;
        self.queue.insert(((at * 1e6) as u64, self.next_serial), event);
    }

    fn run(mut self) -> Measurement {
        let (mut elapsed, mut requests) = (0.0, 0u64);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            let now = at as f64 / 1e6;
            if now > SECONDS {
                break;
            }
            let is_request = matches!(event, Event::Submit);
            let started_at = Instant::now();
            let actions = self.dispatch(now, event);
            if now > WARM_UP_SECONDS {
                elapsed += started_at.elapsed().as_secs_f64();
                requests += u64::from(is_request);
            }
            if is_request {
                let interval = self.interval.sample(&mut self.random);
                self.schedule(now + interval, Event::Submit);
            }
            for action in actions {
                self.execute(now, action);
            }
        }
        let counters = self.dispatcher.counters();
        Measurement {
            micros_per_request: elapsed * 1e6 / requests.max(1) as f64,
            succeeded: counters.succeeded as f64 / counters.accepted.max(1) as f64,
        }
    }

    /// Performs all calls to the dispatcher for one event; this is what is measured.
    fn dispatch(&mut self, now: f64, event: Event) -> Vec<Action> {
        while self.dispatcher.next_deadline().is_some_and(|at| at <= now) {
            self.dispatcher.advance(now);
        }
        self.report(now, event);
        let mut actions = Vec::new();
        while let Some(action) = self.dispatcher.next_action() {
            if let Action::SendAttempt { request, attempt, .. } = action {
                self.dispatcher.begin_attempt(now, request, attempt);
            }
            actions.push(action);
        }
        actions
    }

    fn report(&mut self, now: f64, event: Event) {
        match event {
            Event::Submit => {
                let function = &self.functions[self.popularity.sample(&mut self.random) as usize];
                let incoming = IncomingRequest {
                    function,
                    profile: 0,
                    client: 9,
                    timeout: 3.0,
                    is_retry: false,
                    resources: None,
                };
                self.dispatcher.submit(now, incoming, ());
            }
            Event::AttemptEnded { request, attempt, worker } => {
                self.in_flight[worker] -= 1;
                let report = Some(self.load(worker));
                let result = AttemptResult { report, ..AttemptResult::from_outcome(Outcome::Succeeded) };
                self.dispatcher.attempt_ended(now, request, attempt, result);
            }
            Event::LoadRequestEnded { load_request, instances } => {
                self.dispatcher.load_request_ended(now, load_request, Outcome::Succeeded, instances);
            }
            Event::HealthCheckEnded { worker, serial } => {
                let report = Some(self.load(worker));
                self.dispatcher.health_check_ended(now, worker, serial, Outcome::Succeeded, report);
            }
        }
    }

    /// Load report of a worker.
    fn load(&self, worker: usize) -> LoadReport {
        let in_flight = self.in_flight[worker] as f64;
        LoadReport { in_flight: Some(in_flight), utilization: Some(in_flight / 8.0), ..LoadReport::default() }
    }

    fn execute(&mut self, now: f64, action: Action) {
        match action {
            Action::SendAttempt { request, attempt, worker } => {
                self.in_flight[worker] += 1;
                let service_time = MIN_SERVICE_TIME + self.service_time.sample(&mut self.random);
                self.schedule(now + service_time, Event::AttemptEnded { request, attempt, worker });
            }
            Action::LoadFunction { load_request, instances, .. } => {
                let load_time = self.random.random_range(0.2..0.6);
                self.schedule(now + load_time, Event::LoadRequestEnded { load_request, instances });
            }
            Action::HealthCheck { worker, serial } => {
                self.schedule(now + 0.001, Event::HealthCheckEnded { worker, serial });
            }
            _ => {}
        }
    }
}

fn main() {
    for (workers, functions, requests_per_second, gateways) in [
        (30, 60, 760.0, 1),
        (30, 60, 760.0, 60),
        (300, 10_000, 760.0, 1),
        (300, 10_000, 760.0, 60),
        (300, 10_000, 7600.0, 1),
    ] {
        let workload = Workload { workers, functions, requests_per_second, gateways };
        let Measurement { micros_per_request, succeeded } = Simulation::new(workload).run();
        println!(
            "{workers} workers, {functions} functions, {requests_per_second} requests/s, one of {gateways}: \
             {micros_per_request:.1} us a request ({succeeded:.3} succeeded)"
        );
    }
}
