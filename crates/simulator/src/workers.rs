//! Workers in simulated time: the emulator's models of the workers and of the store that they share.

use crate::context::Context;
use crate::event::{
    ClientAttempt, Event, GatewayAttempt, GatewayInput, LoadRequest, WorkerInput, WorkerProcess,
};
use crate::worker::{AcceptedAttempt, Worker, instance_state};
use milletpath_dispatcher::dispatcher::AttemptResult;
use milletpath_emulator::context::WarmRequests;
use milletpath_emulator::store::Store;
use milletpath_emulator::traffic::PlannedRequest;
use milletpath_emulator::worker_model::{Job, WorkerEvent, WorkerModel};
use milletpath_history_checker::{HistoryEvent, Idempotency};
use milletpath_policy::{InstanceState, Outcome};
use milletpath_protocol::worker::Rejection;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct Workers {
    workers: Vec<Worker>,
    pub store: Store,
    /// The models' function IDs, assigned in the order in which functions first occur.
    functions: BTreeMap<String, u32>,
    /// Executed calls with an idempotency key; every worker recognises their repetitions.
    executed_with_key: BTreeSet<usize>,
    warm_requests: WarmRequests,
}

impl Workers {
    /// Creates workers that are already warm.
    pub fn new(context: &mut Context) -> Self {
        let (spec, count) = (context.scenario.worker_spec, context.scenario.workers);
        let long_ago = -spec.warm_up - 1.0;
        for worker in 0..count {
            context.record(HistoryEvent::WorkerStarted { worker, capacity: spec.capacity(), warm: true });
        }
        Self {
            workers: (0..count).map(|_| Worker::new(spec, long_ago, 0)).collect(),
            store: Store::new(context.scenario.store_spec),
            functions: BTreeMap::new(),
            executed_with_key: BTreeSet::new(),
            warm_requests: WarmRequests::default(),
        }
    }

    pub fn count(&self) -> usize {
        self.workers.len()
    }

    pub fn get_mut(&mut self, worker: usize) -> &mut Worker {
        &mut self.workers[worker]
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    /// Number of functions that have occurred so far.
    pub fn function_count(&self) -> usize {
        self.functions.len()
    }

    /// The models' ID of a function, assigned if it has none.
    pub fn function_id(&mut self, name: &str) -> u32 {
        let next = self.functions.len() as u32;
        *self.functions.entry(name.to_owned()).or_insert(next)
    }

    /// The current process of a worker, or the last one if none is running.
    pub fn process(&self, worker: usize) -> WorkerProcess {
        WorkerProcess { worker, number: self.workers[worker].process }
    }

    /// The fraction of completed jobs that found an instance loaded.
    pub fn warm_fraction(&self) -> f64 {
        self.warm_requests.fraction()
    }

    fn is_reachable(&self, process: WorkerProcess) -> bool {
        self.workers[process.worker].alive && self.process(process.worker) == process
    }

    /// Handles the arrival of a gateway's attempt; `planned` is the call that its client planned.
    pub fn attempt_arrives(
        &mut self,
        context: &mut Context,
        process: WorkerProcess,
        attempt: GatewayAttempt,
        client_attempt: ClientAttempt,
        planned: &PlannedRequest,
    ) {
        if !self.is_reachable(process) {
            return send_result(context, attempt, AttemptResult::from_outcome(Outcome::Unreachable));
        }
        let (worker, gateway) = (process.worker, attempt.gateway);
        let ClientAttempt { call, number } = client_attempt;
        let work = planned.work;
        context.record(HistoryEvent::AttemptReceived {
            call: call as u64,
            attempt: number,
            gateway,
            worker,
            work,
        });
        let failure_fraction = self.workers[worker].failure_fraction;
        if failure_fraction > 0.0 && context.rng.random_bool(failure_fraction) {
            return send_result(context, attempt, AttemptResult::from_outcome(Outcome::Failed));
        }
        let function = self.function_id(&planned.function);
        let job = Job { function, function_model: context.scenario.function_model, work, io: planned.io };
        let has_key =
            context.scenario.profiles[planned.profile].idempotency == Idempotency::IdempotentWithKey;
        let state = &mut self.workers[worker];
        let id = state.model.submit(context.now, job);
        state.jobs.insert(id, AcceptedAttempt { attempt, call, has_key });
        self.handle_model_events(context, worker);
    }

    /// Handles the arrival of a load request; a request for zero instances only queries how many are loaded.
    pub fn load_request_arrives(
        &mut self,
        context: &mut Context,
        process: WorkerProcess,
        request: LoadRequest,
        function: u32,
        instances: u8,
    ) {
        if !self.is_reachable(process) {
            return send_load_result(context, request, Outcome::Unreachable, 0);
        }
        let worker = process.worker;
        if instances > 0 {
            context.record(HistoryEvent::LoadRequested { gateway: request.gateway, worker });
        }
        let state = &mut self.workers[worker];
        let id = state.model.request_load(
            context.now,
            function,
            context.scenario.function_model,
            u32::from(instances),
        );
        state.load_requests.insert(id, request);
        self.handle_model_events(context, worker);
    }

    /// Handles the arrival of a health check.
    pub fn health_check_arrives(
        &self,
        context: &mut Context,
        process: WorkerProcess,
        gateway: usize,
        serial: u64,
    ) {
        let worker = process.worker;
        let (outcome, report) = if self.is_reachable(process) {
            let outcome =
                if self.workers[worker].model.draining { Outcome::Failed } else { Outcome::Succeeded };
            (outcome, Some(self.workers[worker].load_report()))
        } else {
            (Outcome::Unreachable, None)
        };
        let input = GatewayInput::HealthCheckEnded { worker, serial, outcome, report };
        context.send(Event::Gateway { gateway, input });
    }

    /// Handles the timer of a worker's model, unless the timer has been rescheduled in the meantime.
    pub fn timer_due(&mut self, context: &mut Context, process: WorkerProcess) {
        if self.workers[process.worker].timer <= context.now {
            self.advance(context, process, WorkerModel::advance);
        }
    }

    /// Handles the store's answer to a fetch.
    pub fn fetch_ended(&mut self, context: &mut Context, process: WorkerProcess, load: u64, succeeded: bool) {
        if succeeded {
            self.store.fetch_ended();
        }
        self.advance(context, process, |model, now| model.fetch_ended(now, load, succeeded));
    }

    /// Passes an input to the model of a process, if that process is still running.
    fn advance(
        &mut self,
        context: &mut Context,
        process: WorkerProcess,
        input: impl FnOnce(&mut WorkerModel, f64),
    ) {
        if !self.is_reachable(process) {
            return;
        }
        let state = &mut self.workers[process.worker];
        if state.timer <= context.now {
            state.timer = f64::INFINITY;
        }
        input(&mut state.model, context.now);
        self.handle_model_events(context, process.worker);
    }

    /// Handles the pending events of a worker's model and sets its timer.
    fn handle_model_events(&mut self, context: &mut Context, worker: usize) {
        while let Some(event) = self.workers[worker].model.next_event() {
            self.handle_model_event(context, worker, event);
        }
        let process = self.process(worker);
        let state = &mut self.workers[worker];
        if let Some(next) = state.model.next_deadline().filter(|next| state.alive && *next < state.timer) {
            state.timer = next;
            let event = Event::Worker { process, input: WorkerInput::Timer };
            context.schedule(next.max(context.now), event);
        }
    }

    fn handle_model_event(&mut self, context: &mut Context, worker: usize, event: WorkerEvent) {
        match event {
            WorkerEvent::JobStarted { job } => self.job_started(context, worker, job),
            WorkerEvent::JobCompleted { job, instance_state: found, concurrent_requests } => {
                self.warm_requests.record(found);
                let result = AttemptResult {
                    instance_state: Some(instance_state(found)),
                    concurrent_requests: concurrent_requests.into(),
                    ..AttemptResult::from_outcome(Outcome::Succeeded)
                };
                self.answer(context, worker, job, result);
            }
            WorkerEvent::JobRejected { job, reason, load_failed } => {
                let outcome =
                    if reason == Rejection::NotLoaded { Outcome::NotLoaded } else { Outcome::Rejected };
                let result = AttemptResult {
                    instance_state: load_failed.then_some(InstanceState::LoadFailed),
                    ..AttemptResult::from_outcome(outcome)
                };
                self.answer(context, worker, job, result);
            }
            WorkerEvent::FetchStarted { load, seconds, .. } => self.fetch(context, worker, load, seconds),
            WorkerEvent::LoadRequestCompleted { load_request, instances, failed } => {
                if let Some(request) = self.workers[worker].load_requests.remove(&load_request) {
                    let outcome = if failed { Outcome::Failed } else { Outcome::Succeeded };
                    send_load_result(context, request, outcome, instances.min(255) as u8);
                }
            }
            WorkerEvent::Overloaded => self.kill(context, worker),
        }
    }

    /// Records the execution of a job, unless its idempotency key identifies it as a repetition.
    fn job_started(&mut self, context: &mut Context, worker: usize, job: u64) {
        let Some(&AcceptedAttempt { call, has_key, .. }) = self.workers[worker].jobs.get(&job) else {
            return;
        };
        let is_repetition = has_key && !self.executed_with_key.insert(call);
        if !is_repetition {
            context.record(HistoryEvent::RequestExecuted { call: call as u64, worker });
        }
    }

    /// Answers an attempt, with the worker's load report.
    fn answer(&mut self, context: &mut Context, worker: usize, job: u64, result: AttemptResult) {
        let state = &mut self.workers[worker];
        let Some(AcceptedAttempt { attempt, .. }) = state.jobs.remove(&job) else { return };
        let report = Some(state.load_report());
        send_result(context, attempt, AttemptResult { report, ..result });
    }

    /// Fetches a function from the store.
    fn fetch(&mut self, context: &mut Context, worker: usize, load: u64, seconds: f64) {
        /// Seconds after which a rejection by the store arrives: the latency of a network.
        const REJECTION_SECONDS: f64 = 0.002;
        let takes = self.store.begin_fetch(context.now, seconds);
        let input = WorkerInput::FetchEnded { load, succeeded: takes.is_some() };
        let process = self.process(worker);
        context.schedule_in(takes.unwrap_or(REJECTION_SECONDS), Event::Worker { process, input });
    }

    /// Kills a worker's process; the connections of all pending attempts and load requests break.
    pub fn kill(&mut self, context: &mut Context, worker: usize) {
        let state = &mut self.workers[worker];
        state.alive = false;
        let jobs = std::mem::take(&mut state.jobs);
        let load_requests = std::mem::take(&mut state.load_requests);
        for AcceptedAttempt { attempt, .. } in jobs.into_values() {
            send_result(context, attempt, AttemptResult::from_outcome(Outcome::ConnectionLost));
        }
        for request in load_requests.into_values() {
            send_load_result(context, request, Outcome::ConnectionLost, 0);
        }
    }

    /// Replaces a worker's process by a new one that is warming up and has no instances.
    pub fn restart(&mut self, context: &mut Context, worker: usize) {
        let spec = context.scenario.worker_spec;
        let process = self.workers[worker].process + 1;
        self.workers[worker] = Worker::new(spec, context.now, process);
        context.record(HistoryEvent::WorkerStarted { worker, capacity: spec.capacity(), warm: false });
    }
}

fn send_result(context: &mut Context, attempt: GatewayAttempt, result: AttemptResult) {
    let input = GatewayInput::AttemptEnded { attempt, result };
    context.send(Event::Gateway { gateway: attempt.gateway, input });
}

fn send_load_result(context: &mut Context, request: LoadRequest, outcome: Outcome, instances: u8) {
    let input = GatewayInput::LoadRequestEnded { id: request.id, outcome, instances };
    context.send(Event::Gateway { gateway: request.gateway, input });
}
