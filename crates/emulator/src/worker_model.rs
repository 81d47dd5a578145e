//! A model of a worker without I/O: cores, instances of functions, memory, loads through the shared store, a queue,
//! slow start and overload. It takes jobs, load requests, replies of the store and the current time, and yields
//! [`WorkerEvent`]s, which a server on sockets or a simulation carries out.
//!
//! All times are in seconds on the caller's clock.

mod instances;
mod loads;
mod overload;
mod spec;
mod timers;

pub use spec::{FunctionModel, Job, LoadFigures, WorkerEvent, WorkerSpec};

use instances::InstanceTable;
use loads::{Load, LoadQueue};
use milletpath_protocol::worker::{InstanceState, Rejection};
use overload::OverloadDetector;
use std::collections::{BTreeMap, VecDeque};
use timers::{Timer, TimerQueue};

/// The minimum of speeds and slowness factors that are divisors.
const MIN_RATE: f64 = 1e-6;
/// The minimum of other divisors: the warm-up time and the memory.
const MIN_DIVISOR: f64 = 1e-9;

struct RunningJob {
    job: Job,
    instance_state: InstanceState,
    concurrent_requests: u32,
    /// The instance on which it holds a slot.
    instance: Option<u64>,
    has_core: bool,
}

/// A pending request for a number of instances of a function.
struct LoadRequest {
    id: u64,
    instances: u32,
}

/// The waiting jobs, the loads and the load requests of a function.
#[derive(Default)]
struct FunctionQueue {
    /// Jobs that are waiting for a slot.
    jobs: VecDeque<u64>,
    /// Loads that are running or queued.
    loads: u32,
    load_requests: Vec<LoadRequest>,
}

/// A model of one worker.
pub struct WorkerModel {
    spec: WorkerSpec,
    started: f64,
    /// The factor on the duration of work and of instance starts; 1 for a healthy worker.
    pub slowness: f64,
    /// Whether it rejects new jobs.
    pub draining: bool,
    overload: OverloadDetector,
    jobs: BTreeMap<u64, RunningJob>,
    functions: BTreeMap<u32, FunctionQueue>,
    instances: InstanceTable,
    loads: LoadQueue,
    /// Jobs that have a slot and are waiting for a core.
    runnable: VecDeque<u64>,
    free_cores: usize,
    timers: TimerQueue,
    last_id: u64,
    events: VecDeque<WorkerEvent>,
}

impl WorkerModel {
    /// Creates a worker that started at `started`; a warm worker started at least `warm_up` seconds ago.
    #[must_use]
    pub fn new(spec: WorkerSpec, started: f64) -> Self {
        Self {
            spec,
            started,
            slowness: 1.0,
            draining: false,
            overload: OverloadDetector::new(spec.overload_multiple, spec.overload_window),
            jobs: BTreeMap::new(),
            functions: BTreeMap::new(),
            instances: InstanceTable::new(spec.memory),
            loads: LoadQueue::new(spec.concurrent_loads),
            runnable: VecDeque::new(),
            free_cores: spec.cores,
            timers: TimerQueue::default(),
            last_id: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the next id of the one sequence for jobs, load requests, instances, idle periods, loads and timers.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn set_timer(&mut self, at: f64, timer: Timer) {
        let id = self.next_id();
        self.timers.set(at, id, timer);
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<WorkerEvent> {
        self.events.pop_front()
    }

    /// When [`advance`](Self::advance) must be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<f64> {
        self.timers.next_deadline()
    }

    /// The fraction of its capacity that is available; it grows while the worker warms up.
    fn capacity_fraction(&self, now: f64) -> f64 {
        let warm_up = self.spec.warm_up.max(MIN_DIVISOR);
        let progress = ((now - self.started) / warm_up).clamp(0.0, 1.0);
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * progress
    }

    /// Submits a job; returns the id by which events refer to it.
    pub fn submit(&mut self, now: f64, job: Job) -> u64 {
        let id = self.next_id();
        if self.is_overloaded_by(now, job.work) {
            return id;
        }
        let same_function = self.jobs.values().filter(|running| running.job.function == job.function);
        let concurrent_requests = same_function.count() as u32;
        match self.admit(job.function) {
            Err(reason) => self.reject(id, reason, false),
            Ok(instance_state) => {
                let running =
                    RunningJob { job, instance_state, concurrent_requests, instance: None, has_core: false };
                self.jobs.insert(id, running);
                self.functions.entry(job.function).or_default().jobs.push_back(id);
                self.place_waiting_jobs(now, job.function, job.function_model);
            }
        }
        id
    }

    /// Whether the worker is overloaded, by this job or by earlier ones.
    fn is_overloaded_by(&mut self, now: f64, work: f64) -> bool {
        let is_warm = now - self.started >= self.spec.warm_up;
        if !self.overload.is_overloaded() && !is_warm {
            let capacity = self.spec.capacity() * self.capacity_fraction(now);
            if self.overload.add(now, work, capacity) {
                self.events.push_back(WorkerEvent::Overloaded);
            }
        }
        self.overload.is_overloaded()
    }

    /// Returns the instance state that a new job finds, or why the job is rejected.
    fn admit(&self, function: u32) -> Result<InstanceState, Rejection> {
        if self.draining {
            return Err(Rejection::Draining);
        }
        if self.jobs.len() >= self.spec.queue {
            return Err(Rejection::Full);
        }
        let is_loading = self.functions.get(&function).is_some_and(|queue| queue.loads > 0);
        match (self.instances.any(function), is_loading) {
            (true, _) => Ok(InstanceState::Loaded),
            (false, true) => Ok(InstanceState::LoadAwaited),
            (false, false) if self.spec.rejects_unloaded => Err(Rejection::NotLoaded),
            (false, false) => Ok(InstanceState::LoadStarted),
        }
    }

    fn reject(&mut self, job: u64, reason: Rejection, load_failed: bool) {
        self.events.push_back(WorkerEvent::JobRejected { job, reason, load_failed });
    }

    /// Assigns free slots and cores to the waiting jobs of a function, and starts a load if the remaining ones need it.
    fn place_waiting_jobs(&mut self, now: f64, function: u32, model: FunctionModel) {
        while let Some(&job) = self.functions.get(&function).and_then(|queue| queue.jobs.front()) {
            let Some(instance) = self.instances.acquire_slot(function) else { break };
            if let Some(queue) = self.functions.get_mut(&function) {
                queue.jobs.pop_front();
            }
            if let Some(running) = self.jobs.get_mut(&job) {
                running.instance = Some(instance);
            }
            self.runnable.push_back(job);
        }
        self.start_runnable_jobs(now);
        if self.needs_load(function, model) {
            self.begin_load(function, model);
        }
    }

    /// Whether jobs are waiting for an instance that is not being loaded yet.
    fn needs_load(&self, function: u32, model: FunctionModel) -> bool {
        let Some(queue) = self.functions.get(&function) else { return false };
        let waiting = queue.jobs.len() as u32;
        let has_none = queue.loads == 0 && !self.instances.any(function);
        waiting > 0 && (has_none || self.spec.loads_ahead && waiting > queue.loads * model.concurrency)
    }

    fn start_runnable_jobs(&mut self, now: f64) {
        while self.free_cores > 0 {
            let Some(id) = self.runnable.pop_front() else { break };
            let slowness = self.slowness.max(MIN_RATE);
            let rate = self.spec.speed * self.capacity_fraction(now) / slowness;
            let Some(running) = self.jobs.get_mut(&id) else { continue };
            running.has_core = true;
            let seconds = running.job.work / rate.max(MIN_RATE);
            self.free_cores -= 1;
            self.events.push_back(WorkerEvent::JobStarted { job: id });
            self.set_timer(now + seconds, Timer::WorkDone { job: id });
        }
    }

    /// Starts the load of one instance, or queues it behind others; fails if there is not enough memory.
    fn begin_load(&mut self, function: u32, model: FunctionModel) {
        if !self.instances.reserve_memory(model.memory) {
            self.load_failed(function, Rejection::Full, false);
            return;
        }
        self.functions.entry(function).or_default().loads += 1;
        let load = self.next_id();
        self.loads.push(load, Load { function, model });
        self.start_fetches();
    }

    fn start_fetches(&mut self) {
        while let Some((load, Load { function, model })) = self.loads.start_next() {
            self.events.push_back(WorkerEvent::FetchStarted { load, function, seconds: model.fetch });
        }
    }

    /// Handles the store's reply to the fetch of a load.
    pub fn fetch_ended(&mut self, now: f64, load: u64, succeeded: bool) {
        let Some(Load { function, model }) = self.loads.get(load) else { return };
        if succeeded {
            let started = now + model.start * self.slowness;
            self.set_timer(started, Timer::InstanceStarted { load });
            return;
        }
        self.loads.finish(load);
        self.instances.release_memory(model.memory);
        self.functions.entry(function).or_default().loads -= 1;
        self.load_failed(function, Rejection::NotLoaded, true);
        self.start_fetches();
    }

    /// Fails the load requests of a function that has no other load, and rejects its waiting jobs if it has no
    /// instance.
    fn load_failed(&mut self, function: u32, reason: Rejection, load_failed: bool) {
        let instances = self.instances.count(function);
        let Some(queue) = self.functions.get_mut(&function) else { return };
        if queue.loads > 0 {
            return;
        }
        let jobs = if instances == 0 { std::mem::take(&mut queue.jobs) } else { VecDeque::new() };
        let load_requests = std::mem::take(&mut queue.load_requests);
        for job in jobs {
            self.jobs.remove(&job);
            self.reject(job, reason, load_failed);
        }
        for LoadRequest { id, .. } in load_requests {
            self.complete_load_request(id, instances, true);
        }
    }

    fn complete_load_request(&mut self, load_request: u64, instances: u32, failed: bool) {
        self.events.push_back(WorkerEvent::LoadRequestCompleted { load_request, instances, failed });
    }

    /// Requests that a function has this many instances; 0 only queries how many exist. Returns the id by which
    /// [`WorkerEvent::LoadRequestCompleted`] refers to the request.
    pub fn request_load(&mut self, now: f64, function: u32, model: FunctionModel, instances: u32) -> u64 {
        let id = self.next_id();
        let present = self.instances.count(function);
        if self.draining || self.overload.is_overloaded() || present >= instances {
            // A request for existing instances restarts their idle timeout.
            for instance in self.instances.ids(function) {
                self.begin_idle_period(now, instance);
            }
            self.complete_load_request(id, present, self.draining && present < instances);
            return id;
        }
        let queue = self.functions.entry(function).or_default();
        queue.load_requests.push(LoadRequest { id, instances });
        for _ in present + queue.loads..instances {
            self.begin_load(function, model);
        }
        id
    }

    /// Unloads the idle instances of a function.
    pub fn unload(&mut self, function: u32) {
        self.instances.unload_idle(function);
    }

    /// Releases a new version of a function: its existing instances take no more jobs.
    pub fn release_version(&mut self, function: u32) {
        self.instances.invalidate(function);
    }

    /// Starts an idle period of an instance, if no job runs on it.
    fn begin_idle_period(&mut self, now: f64, instance: u64) {
        let idle_period = self.next_id();
        if self.instances.begin_idle_period(instance, idle_period) {
            let timer = Timer::IdleTimeout { instance, idle_period };
            self.set_timer(now + self.spec.idle_timeout, timer);
        }
    }

    /// Processes the timers that are due.
    pub fn advance(&mut self, now: f64) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::WorkDone { job } => self.work_done(now, job),
                Timer::JobDone { job } => self.job_done(now, job),
                Timer::InstanceStarted { load } => self.instance_started(now, load),
                Timer::IdleTimeout { instance, idle_period } => {
                    self.instances.unload_if_idle_since(instance, idle_period);
                }
            }
        }
    }

    fn work_done(&mut self, now: f64, job: u64) {
        self.free_cores += 1;
        let io = self.jobs.get_mut(&job).map(|running| {
            running.has_core = false;
            running.job.io
        });
        self.set_timer(now + io.unwrap_or(0.0), Timer::JobDone { job });
        self.start_runnable_jobs(now);
    }

    fn job_done(&mut self, now: f64, id: u64) {
        let Some(done) = self.jobs.remove(&id) else { return };
        let RunningJob { job, instance_state, concurrent_requests, instance, .. } = done;
        self.events.push_back(WorkerEvent::JobCompleted { job: id, instance_state, concurrent_requests });
        if let Some(instance) = instance {
            self.instances.release_slot(instance);
            self.place_waiting_jobs(now, job.function, job.function_model);
            self.begin_idle_period(now, instance);
        }
    }

    fn instance_started(&mut self, now: f64, load: u64) {
        let Some(Load { function, model }) = self.loads.finish(load) else { return };
        let instance = self.next_id();
        self.instances.add(instance, function, model);
        self.end_load_requests(function);
        self.place_waiting_jobs(now, function, model);
        self.begin_idle_period(now, instance);
        self.start_fetches();
    }

    /// Completes the load requests that are satisfied after a load, or all of them if no load is left.
    fn end_load_requests(&mut self, function: u32) {
        let present = self.instances.count(function);
        let queue = self.functions.entry(function).or_default();
        queue.loads -= 1;
        let is_last = queue.loads == 0;
        let (ended, open): (Vec<_>, Vec<_>) =
            queue.load_requests.drain(..).partition(|request| present >= request.instances || is_last);
        queue.load_requests = open;
        for request in ended {
            self.complete_load_request(request.id, present, present < request.instances);
        }
    }

    /// The current figures of a load report.
    #[must_use]
    pub fn load_figures(&self) -> LoadFigures {
        let running = self.jobs.values().filter(|running| running.has_core).count();
        let memory = self.instances.busy_memory() + self.loads.memory();
        LoadFigures {
            in_flight: self.jobs.len() as f64,
            queued: (self.jobs.len() - running) as f64,
            utilization: 1.0 - self.free_cores as f64 / self.spec.cores.max(1) as f64,
            memory: (memory / self.spec.memory.max(MIN_DIVISOR)).min(1.0),
            loading: self.loads.len() as f64,
        }
    }
}
