//! Workers in simulated time: the stand-ins' engines, and the troubles that befall them.

use crate::simulation::{Event, NETWORK_DELAY, Simulation, place};
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_emulator::scenario;
use milletpath_emulator::scenario_file::FaultKind;
use milletpath_emulator::worker_model::{Job, LoadFigures, WorkerEvent, WorkerModel, WorkerSpec};
use milletpath_history_checker::HistoryEvent;
use milletpath_policy::{InstanceState, LoadReport, Outcome};
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use milletpath_protocol::worker as wire;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// A shot as its worker knows it.
#[derive(Clone, Copy)]
struct Held {
    gateway: usize,
    tag: RequestId,
    shot: usize,
    call: usize,
}

pub(crate) struct Worker {
    pub engine: WorkerModel,
    /// Counts its processes: what was sent to a former one reaches nobody.
    pub process: u64,
    alive: bool,
    jobs: BTreeMap<u64, Held>,
    orders: BTreeMap<u64, (usize, RequestId)>,
    /// Part of its shots that it fails at once.
    fails: f64,
    pub armed: f64,
}

impl Worker {
    /// One that started long ago.
    pub fn warm(worker_spec: WorkerSpec) -> Self {
        Self::new(worker_spec, -worker_spec.warm_up - 1.0, 0)
    }

    fn new(worker_spec: WorkerSpec, born: f64, process: u64) -> Self {
        let engine = WorkerModel::new(worker_spec, born);
        let (jobs, orders) = (BTreeMap::new(), BTreeMap::new());
        Self { engine, process, alive: true, jobs, orders, fails: 0.0, armed: f64::INFINITY }
    }
}

fn report(figures: LoadFigures) -> LoadReport {
    LoadReport {
        in_flight: Some(figures.in_flight),
        queued: Some(figures.queued),
        utilization: Some(figures.utilization),
        memory: Some(figures.memory),
        loading: Some(figures.loading),
    }
}

fn instance_state(word: wire::InstanceState) -> InstanceState {
    match word {
        wire::InstanceState::Loaded => InstanceState::Loaded,
        wire::InstanceState::LoadStarted => InstanceState::LoadStarted,
        wire::InstanceState::LoadAwaited => InstanceState::LoadAwaited,
        wire::InstanceState::LoadFailed => InstanceState::LoadFailed,
    }
}

impl Simulation<'_> {
    /// Whether a process is there to be reached.
    fn reached(&self, worker: usize, process: u64) -> bool {
        self.workers[worker].alive && self.workers[worker].process == process
    }

    fn back(&mut self, gateway: usize, tag: RequestId, shot: usize, end: AttemptResult) {
        self.put(self.now + NETWORK_DELAY, Event::Ended { gateway, tag, shot, end });
    }

    pub(crate) fn shot(&mut self, gateway: usize, tag: RequestId, shot: usize, worker: usize, process: u64) {
        let Some((call, attempt)) = self.dispatchers[gateway].context(tag).copied() else { return };
        if !self.reached(worker, process) {
            return self.back(gateway, tag, shot, AttemptResult::from_outcome(Outcome::Unreachable));
        }
        let planned = self.calls[call].planned.clone();
        self.note(HistoryEvent::AttemptReceived {
            call: call as u64,
            attempt,
            gateway,
            worker,
            work: planned.work,
        });
        let fails = self.workers[worker].fails;
        if fails > 0.0 && self.chance.random_bool(fails) {
            return self.back(gateway, tag, shot, AttemptResult::from_outcome(Outcome::Failed));
        }
        let function = self.function(&planned.function);
        let job = Job {
            function,
            function_model: self.scenario.function_model,
            work: planned.work,
            io: planned.io,
        };
        let id = self.workers[worker].engine.submit(self.now, job);
        self.workers[worker].jobs.insert(id, Held { gateway, tag, shot, call });
        self.listen(worker);
    }

    pub(crate) fn order(
        &mut self,
        gateway: usize,
        order: RequestId,
        worker: usize,
        process: u64,
        function: u32,
        copies: u8,
    ) {
        if !self.reached(worker, process) {
            let next = Event::LoadRequestEnded { gateway, order, outcome: Outcome::Unreachable, copies: 0 };
            return self.put(self.now + NETWORK_DELAY, next);
        }
        if copies > 0 {
            self.note(HistoryEvent::LoadRequested { gateway, worker });
        }
        let function_model = self.scenario.function_model;
        let id =
            self.workers[worker].engine.request_load(self.now, function, function_model, u32::from(copies));
        self.workers[worker].orders.insert(id, (gateway, order));
        self.listen(worker);
    }

    pub(crate) fn probe(&mut self, gateway: usize, worker: usize, process: u64, serial: u64) {
        let (outcome, report) = if self.reached(worker, process) {
            (Outcome::Succeeded, Some(report(self.workers[worker].engine.load_figures())))
        } else {
            (Outcome::Unreachable, None)
        };
        self.put(
            self.now + NETWORK_DELAY,
            Event::HealthCheckEnded { gateway, worker, serial, outcome, report },
        );
    }

    /// Tells an engine something, where that process still runs.
    pub(crate) fn at_engine(
        &mut self,
        worker: usize,
        process: u64,
        what: impl FnOnce(&mut WorkerModel, f64),
    ) {
        if self.reached(worker, process) {
            if self.workers[worker].armed <= self.now {
                self.workers[worker].armed = f64::INFINITY;
            }
            what(&mut self.workers[worker].engine, self.now);
            self.listen(worker);
        }
    }

    /// Does what an engine says, and sets its clock.
    fn listen(&mut self, worker: usize) {
        let now = self.now;
        while let Some(say) = self.workers[worker].engine.next_event() {
            match say {
                WorkerEvent::JobStarted { job } => {
                    let held = self.workers[worker].jobs.get(&job).copied();
                    // A receipted call's repeat is known to all workers.
                    if let Some(held) = held.filter(|h| self.calls[h.call].runs()) {
                        self.note(HistoryEvent::RequestExecuted { call: held.call as u64, worker });
                    }
                }
                WorkerEvent::JobCompleted { job, instance_state: word, concurrent_requests } => {
                    self.warm.0 += u64::from(word == wire::InstanceState::Loaded);
                    self.warm.1 += 1;
                    let end = AttemptResult {
                        instance_state: Some(instance_state(word)),
                        concurrent_requests: concurrent_requests.into(),
                        ..AttemptResult::from_outcome(Outcome::Succeeded)
                    };
                    self.says(worker, job, end);
                }
                WorkerEvent::JobRejected { job, reason: why, load_failed: failed_load } => {
                    let outcome = if why == wire::Rejection::NotLoaded {
                        Outcome::NotLoaded
                    } else {
                        Outcome::Rejected
                    };
                    let end = AttemptResult {
                        instance_state: failed_load.then_some(InstanceState::LoadFailed),
                        ..AttemptResult::from_outcome(outcome)
                    };
                    self.says(worker, job, end);
                }
                WorkerEvent::FetchStarted { load, seconds, .. } => {
                    /// What is turned away is told in a moment, as over a network.
                    const MOMENT: f64 = 0.002;
                    let takes = self.store.begin_fetch(now, seconds);
                    let process = self.workers[worker].process;
                    let next = Event::Fetched(worker, process, load, takes.is_some());
                    self.put(now + takes.unwrap_or(MOMENT), next);
                }
                WorkerEvent::LoadRequestCompleted { load_request: order, instances: copies, failed } => {
                    if let Some((gateway, order)) = self.workers[worker].orders.remove(&order) {
                        let outcome = if failed { Outcome::Failed } else { Outcome::Succeeded };
                        let copies = copies.min(255) as u8;
                        self.put(
                            now + NETWORK_DELAY,
                            Event::LoadRequestEnded { gateway, order, outcome, copies },
                        );
                    }
                }
                WorkerEvent::Overloaded => self.dies(worker),
            }
        }
        let w = &mut self.workers[worker];
        if let Some(next) = w.engine.next_deadline().filter(|next| w.alive && *next < w.armed) {
            w.armed = next;
            let process = w.process;
            self.put(next.max(now), Event::WorkerModel(worker, process));
        }
    }

    /// A shot's answer goes out, with the worker's report.
    fn says(&mut self, worker: usize, job: u64, end: AttemptResult) {
        let Some(Held { gateway, tag, shot, .. }) = self.workers[worker].jobs.remove(&job) else { return };
        let end = AttemptResult { report: Some(report(self.workers[worker].engine.load_figures())), ..end };
        self.back(gateway, tag, shot, end);
    }

    /// A process ends at once: whoever waits for it finds the connection broken.
    fn dies(&mut self, worker: usize) {
        self.workers[worker].alive = false;
        let jobs = std::mem::take(&mut self.workers[worker].jobs);
        for Held { gateway, tag, shot, .. } in jobs.into_values() {
            self.back(gateway, tag, shot, AttemptResult::from_outcome(Outcome::ConnectionLost));
        }
        let orders = std::mem::take(&mut self.workers[worker].orders);
        for (gateway, order) in orders.into_values() {
            let next =
                Event::LoadRequestEnded { gateway, order, outcome: Outcome::ConnectionLost, copies: 0 };
            self.put(self.now + NETWORK_DELAY, next);
        }
    }

    /// A new process takes its place: cold, empty, at another address.
    fn comes_back(&mut self, worker: usize) {
        let process = self.workers[worker].process + 1;
        self.workers[worker] = Worker::new(self.scenario.worker_spec, self.now, process);
        let capacity = self.scenario.worker_spec.capacity();
        self.note(HistoryEvent::WorkerStarted { worker, capacity, warm: false });
        let stamp = self.variation.worker_time(self.now);
        let address = place(worker, if self.variation.same_address { 0 } else { process });
        let entry = EndpointEntry { address, ..scenario::worker_entry(worker, Some(stamp)) };
        self.entries[worker] = entry.clone();
        self.told(vec![entry]);
    }

    fn told(&mut self, entries: Vec<EndpointEntry>) {
        for gateway in 0..self.dispatchers.len() {
            for entry in &entries {
                let worker = entry.name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                self.note(HistoryEvent::EndpointNotified {
                    gateway,
                    worker,
                    ready: entry.state == EndpointStatus::Ready,
                });
            }
        }
        self.put(self.now + NETWORK_DELAY, Event::List(entries));
    }

    fn stands(&mut self, workers: &[usize], state: EndpointStatus) {
        workers.iter().for_each(|w| self.entries[*w].state = state);
        let entries = workers.iter().map(|w| self.entries[*w].clone()).collect();
        self.told(entries);
    }

    fn some(&mut self, all: usize, part: f64) -> Vec<usize> {
        let mut numbers: Vec<_> = (0..all).collect();
        numbers.shuffle(&mut self.chance);
        numbers.truncate(((all as f64 * part).round() as usize).max(1));
        numbers
    }

    pub(crate) fn begins(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        let end = self.now + fault.duration;
        let struck = match fault.kind {
            FaultKind::WorkerCrash
            | FaultKind::RollingReplacement
            | FaultKind::RequestFailures
            | FaultKind::Slowness
            | FaultKind::Drain => self.some(self.workers.len(), fault.fraction),
            _ => Vec::new(),
        };
        self.struck.insert(number, struck.clone());
        match fault.kind {
            FaultKind::WorkerCrash => {
                struck.iter().for_each(|w| self.dies(*w));
                let notice = self.scenario.rules.notification_delay.min(fault.duration);
                self.put(self.now + notice, Event::Step(number, 0));
                self.put(end, Event::Ends(number));
            }
            FaultKind::RollingReplacement => {
                let turn = fault.duration / struck.len() as f64;
                for n in 0..struck.len() {
                    self.put(self.now + turn * n as f64, Event::Step(number, 3 * n));
                }
            }
            FaultKind::Drain => {
                self.stands(&struck, EndpointStatus::Draining);
                self.put(end, Event::Ends(number));
            }
            FaultKind::RequestFailures => {
                struck.iter().for_each(|w| self.workers[*w].fails = fault.magnitude);
                self.put(end, Event::Ends(number));
            }
            FaultKind::Slowness => {
                struck.iter().for_each(|w| self.workers[*w].engine.slowness = fault.magnitude);
                self.put(end, Event::Ends(number));
            }
            FaultKind::FunctionRelease => {
                let functions = self.some(self.functions.len().max(1), fault.fraction);
                for worker in &mut self.workers {
                    functions.iter().for_each(|f| worker.engine.release_version(*f as u32));
                }
            }
            FaultKind::StoreSlowness => {
                self.store.slowness = fault.magnitude;
                self.put(end, Event::Ends(number));
            }
            FaultKind::StoreRejections => {
                self.store.rejecting = true;
                self.put(end, Event::Ends(number));
            }
            FaultKind::StoreOutage => self.store.begin_outage(self.now, fault.duration),
            // In the plan of the clients' calls, or of processes and links.
            _ => {}
        }
    }

    /// The next step of a trouble that takes several.
    pub(crate) fn step(&mut self, number: usize, step: usize) {
        let fault = self.scenario.faults[number].clone();
        let struck = self.struck[&number].clone();
        if fault.kind == FaultKind::WorkerCrash {
            return self.stands(&struck, EndpointStatus::Gone);
        }
        let worker = struck[step / 3];
        match step % 3 {
            0 => {
                self.stands(&[worker], EndpointStatus::Draining);
                let wait = self.scenario.rules.drain_grace + self.scenario.rules.notification_delay;
                self.put(self.now + wait, Event::Step(number, step + 1));
            }
            1 => {
                self.workers[worker].engine.draining = true;
                self.put(self.now + 0.5, Event::Step(number, step + 1));
            }
            _ => {
                self.dies(worker);
                self.comes_back(worker);
            }
        }
    }

    pub(crate) fn ends(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        let struck = self.struck[&number].clone();
        match fault.kind {
            FaultKind::WorkerCrash => struck.into_iter().for_each(|w| self.comes_back(w)),
            FaultKind::Drain => self.stands(&struck, EndpointStatus::Ready),
            FaultKind::RequestFailures => struck.iter().for_each(|w| self.workers[*w].fails = 0.0),
            FaultKind::Slowness => struck.iter().for_each(|w| self.workers[*w].engine.slowness = 1.0),
            FaultKind::StoreSlowness => self.store.slowness = 1.0,
            FaultKind::StoreRejections => self.store.rejecting = false,
            _ => {}
        }
    }
}
