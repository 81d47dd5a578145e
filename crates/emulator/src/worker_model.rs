//! A worker as a model free of I/O: cores, instances with lanes, memory, loads through the shared store, a queue, a
//! cold start, falling over when pushed. It is told what arrives and says what becomes of it; a shell on sockets
//! or a simulation carries that out.

use milletpath_protocol::worker::{InstanceState, Rejection};
use std::collections::{BTreeMap, VecDeque};

/// What a worker is made of. Times in seconds, memory in MB.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    pub cores: usize,
    /// Work that a core does in a second, 1 for the yardstick.
    pub speed: f64,
    pub memory: f64,
    pub loads_at_once: usize,
    /// Activations that it holds at most.
    pub queue: usize,
    /// After which an idle instance is unloaded.
    pub idle_timeout: f64,
    /// A worker without the function answers a miss rather than load it unasked.
    pub rejects_unloaded: bool,
    /// Loads one more instance by itself when all lanes are taken.
    pub loads_ahead: bool,
    pub initial_capacity: f64,
    pub warm_up: f64,
    pub overload_multiple: f64,
    pub overload_window: f64,
}

/// What all workers know of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionModel {
    pub concurrency: u32,
    pub memory: f64,
    /// Seconds of a fetch from an idle store, and of the start after it.
    pub fetch: f64,
    pub start: f64,
}

/// One activation as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub function: u32,
    pub function_model: FunctionModel,
    /// Seconds on a core of speed 1, and of waiting on others beside it.
    pub work: f64,
    pub io: f64,
}

/// What becomes of things.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEvent {
    /// It runs from now on: its effect happens.
    Ran {
        job: u64,
    },
    Done {
        job: u64,
        found: InstanceState,
        concurrent_requests: u32,
    },
    Refused {
        job: u64,
        why: Rejection,
        failed_load: bool,
    },
    /// Wants a fetch from the store; [`WorkerModel::fetched`] answers.
    Fetch {
        load: u64,
        function: u32,
        seconds: f64,
    },
    /// An order is carried out as far as it can be.
    Stands {
        order: u64,
        copies: u32,
        failed: bool,
    },
    /// Pushed over; it answers nothing more.
    Fell,
}

/// A worker's figures of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    pub held: f64,
    pub waiting: f64,
    pub busy: f64,
    pub memory: f64,
    pub loading: f64,
}

struct RunningJob {
    job: Job,
    found: InstanceState,
    concurrent_requests: u32,
    /// The instance whose lane it has.
    instance: Option<u64>,
    /// Whether it has a core.
    runs: bool,
}

struct Instance {
    function: u32,
    function_model: FunctionModel,
    taken: u32,
    /// Since when it is idle, told apart by number from earlier idle times.
    idle: Option<u64>,
    /// Released anew: gone as soon as nothing runs on it.
    void: bool,
}

#[derive(Default)]
struct Line {
    /// Jobs that wait for a lane.
    waiting: VecDeque<u64>,
    /// Loads under way or in line.
    loads: u32,
    /// Orders, and the instances that they want.
    orders: Vec<(u64, u32)>,
}

#[derive(Clone, Copy)]
enum Due {
    Worked(u64),
    Finished(u64),
    Started(u64),
    Idle(u64, u64),
}

struct Load {
    function: u32,
    function_model: FunctionModel,
}

pub struct WorkerModel {
    worker_spec: WorkerSpec,
    born: f64,
    /// Multiplies the time that work takes.
    pub slowness: f64,
    pub draining: bool,
    fallen: bool,
    jobs: BTreeMap<u64, RunningJob>,
    lines: BTreeMap<u32, Line>,
    instances: BTreeMap<u64, Instance>,
    loads: BTreeMap<u64, Load>,
    /// Loads in line behind those under way.
    in_line: VecDeque<u64>,
    under_way: usize,
    /// Jobs with a lane that wait for a core.
    ready: VecDeque<u64>,
    free_cores: usize,
    used: f64,
    due: BTreeMap<(u64, u64), Due>,
    pushed: VecDeque<(f64, f64)>,
    next: u64,
    said: VecDeque<WorkerEvent>,
}

impl WorkerModel {
    /// A worker that started at `born`; long ago for a warm one.
    pub fn new(worker_spec: WorkerSpec, born: f64) -> Self {
        Self {
            worker_spec,
            born,
            slowness: 1.0,
            draining: false,
            fallen: false,
            jobs: BTreeMap::new(),
            lines: BTreeMap::new(),
            instances: BTreeMap::new(),
            loads: BTreeMap::new(),
            in_line: VecDeque::new(),
            under_way: 0,
            ready: VecDeque::new(),
            free_cores: worker_spec.cores,
            used: 0.0,
            due: BTreeMap::new(),
            pushed: VecDeque::new(),
            next: 0,
            said: VecDeque::new(),
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn set(&mut self, at: f64, due: Due) {
        let number = self.number();
        self.due.insert(((at.max(0.0) * 1e6) as u64, number), due);
    }

    /// What it has to say next.
    pub fn next_event(&mut self) -> Option<WorkerEvent> {
        self.said.pop_front()
    }

    /// When [`turn`](Self::turn) is wanted.
    pub fn next(&self) -> Option<f64> {
        // Rounded up, so that the turn finds it due.
        self.due.keys().next().map(|(at, _)| (*at as f64 + 1.0) / 1e6)
    }

    /// How far it is warm, up to 1.
    fn warmth(&self, now: f64) -> f64 {
        let age = ((now - self.born) / self.worker_spec.warm_up.max(1e-9)).clamp(0.0, 1.0);
        self.worker_spec.initial_capacity + (1.0 - self.worker_spec.initial_capacity) * age
    }

    /// Seconds of work that it does in a second when warm.
    pub fn capacity(worker_spec: &WorkerSpec) -> f64 {
        worker_spec.cores as f64 * worker_spec.speed
    }

    /// An activation arrives; its number is what [`WorkerEvent`] names it by.
    pub fn arrive(&mut self, now: f64, job: Job) -> u64 {
        let id = self.number();
        if self.pushed_over(now, job.work) {
            return id;
        }
        let concurrent_requests =
            self.jobs.values().filter(|held| held.job.function == job.function).count() as u32;
        if self.draining || self.jobs.len() >= self.worker_spec.queue {
            let why = if self.draining { Rejection::Draining } else { Rejection::Full };
            self.said.push_back(WorkerEvent::Refused { job: id, why, failed_load: false });
            return id;
        }
        let stands = self.instances.values().any(|i| i.function == job.function && !i.void);
        let line = self.lines.entry(job.function).or_default();
        if self.worker_spec.rejects_unloaded && !stands && line.loads == 0 {
            self.said.push_back(WorkerEvent::Refused {
                job: id,
                why: Rejection::NotLoaded,
                failed_load: false,
            });
            return id;
        }
        let found = match (stands, line.loads) {
            (true, _) => InstanceState::Loaded,
            (false, 0) => InstanceState::LoadStarted,
            (false, _) => InstanceState::LoadAwaited,
        };
        line.waiting.push_back(id);
        self.jobs.insert(id, RunningJob { job, found, concurrent_requests, instance: None, runs: false });
        self.assign(now, job.function, job.function_model);
        id
    }

    /// Whether what it is sent pushes it over, or did before.
    fn pushed_over(&mut self, now: f64, work: f64) -> bool {
        if self.fallen || now - self.born >= self.worker_spec.warm_up {
            return self.fallen;
        }
        /// Shots of chance beyond the budget.
        const CHANCE: f64 = 4.0;
        self.pushed.push_back((now, work));
        while self.pushed.front().is_some_and(|(at, _)| now - at > self.worker_spec.overload_window) {
            self.pushed.pop_front();
        }
        let sum: f64 = self.pushed.iter().map(|(_, work)| work).sum();
        let capacity = Self::capacity(&self.worker_spec) * self.warmth(now);
        let mean = sum / self.pushed.len() as f64;
        self.fallen = sum
            > self.worker_spec.overload_multiple * capacity * self.worker_spec.overload_window
                + CHANCE * mean;
        if self.fallen {
            self.said.push_back(WorkerEvent::Fell);
        }
        self.fallen
    }

    /// Gives waiting jobs of a function free lanes, and begins loads for the rest.
    fn assign(&mut self, now: f64, function: u32, function_model: FunctionModel) {
        while let Some(&id) = self.lines.get(&function).and_then(|l| l.waiting.front()) {
            let free =
                |i: &Instance| i.function == function && !i.void && i.taken < i.function_model.concurrency;
            let Some((&at, instance)) = self.instances.iter_mut().find(|(_, i)| free(i)) else { break };
            instance.taken += 1;
            instance.idle = None;
            if let Some(line) = self.lines.get_mut(&function) {
                line.waiting.pop_front();
            }
            if let Some(held) = self.jobs.get_mut(&id) {
                held.instance = Some(at);
            }
            self.ready.push_back(id);
        }
        self.run(now);
        let line = self.lines.entry(function).or_default();
        let (waiting, loads) = (line.waiting.len() as u32, line.loads);
        let stands = self.instances.values().any(|i| i.function == function && !i.void);
        if waiting > 0
            && (loads == 0 && !stands
                || self.worker_spec.loads_ahead && waiting > loads * function_model.concurrency)
        {
            self.load(function, function_model);
        }
    }

    /// Starts what has a lane on free cores.
    fn run(&mut self, now: f64) {
        while self.free_cores > 0 {
            let Some(id) = self.ready.pop_front() else { break };
            let rate = self.worker_spec.speed * self.warmth(now) / self.slowness.max(1e-6);
            let Some(held) = self.jobs.get_mut(&id) else { continue };
            held.runs = true;
            let takes = held.job.work / rate.max(1e-6);
            self.free_cores -= 1;
            self.said.push_back(WorkerEvent::Ran { job: id });
            self.set(now + takes, Due::Worked(id));
        }
    }

    /// Begins a load, or puts it in line.
    fn load(&mut self, function: u32, function_model: FunctionModel) {
        // Idle instances make room, the longest idle first.
        while self.used + function_model.memory > self.worker_spec.memory {
            let idle = self.instances.iter().filter_map(|(&at, i)| i.idle.map(|since| (since, at))).min();
            let Some((_, at)) = idle else { break };
            self.remove(at);
        }
        if self.used + function_model.memory > self.worker_spec.memory {
            self.load_failed(function, Rejection::Full, false);
            return;
        }
        self.used += function_model.memory;
        self.lines.entry(function).or_default().loads += 1;
        let load = self.number();
        self.loads.insert(load, Load { function, function_model });
        self.in_line.push_back(load);
        self.fetch();
    }

    fn fetch(&mut self) {
        while self.under_way < self.worker_spec.loads_at_once {
            let Some(load) = self.in_line.pop_front() else { break };
            let Some(Load { function, function_model }) = self.loads.get(&load) else { continue };
            self.under_way += 1;
            self.said.push_back(WorkerEvent::Fetch {
                load,
                function: *function,
                seconds: function_model.fetch,
            });
        }
    }

    /// The store has answered a fetch.
    pub fn fetched(&mut self, now: f64, load: u64, ok: bool) {
        let Some(&Load { function, function_model }) = self.loads.get(&load) else { return };
        if ok {
            return self.set(now + function_model.start * self.slowness, Due::Started(load));
        }
        self.loads.remove(&load);
        self.under_way -= 1;
        self.used -= function_model.memory;
        self.lines.entry(function).or_default().loads -= 1;
        self.load_failed(function, Rejection::NotLoaded, true);
        self.fetch();
    }

    /// A load came to nothing: what waits for it alone is turned away.
    fn load_failed(&mut self, function: u32, why: Rejection, failed_load: bool) {
        let stands = self.instances.values().filter(|i| i.function == function && !i.void).count() as u32;
        let Some(line) = self.lines.get_mut(&function) else { return };
        if line.loads == 0 && stands == 0 {
            for job in std::mem::take(&mut line.waiting) {
                self.jobs.remove(&job);
                self.said.push_back(WorkerEvent::Refused { job, why, failed_load });
            }
        }
        if line.loads == 0 {
            for (order, _) in std::mem::take(&mut line.orders) {
                self.said.push_back(WorkerEvent::Stands { order, copies: stands, failed: true });
            }
        }
    }

    fn remove(&mut self, at: u64) {
        if let Some(instance) = self.instances.remove(&at) {
            self.used -= instance.function_model.memory;
        }
    }

    /// An order to hold instances; 0 only asks.
    pub fn order(&mut self, now: f64, function: u32, function_model: FunctionModel, copies: u32) -> u64 {
        let order = self.number();
        let standing = |engine: &Self| {
            engine.instances.values().filter(|i| i.function == function && !i.void).count() as u32
        };
        let stand = standing(self);
        if self.draining || self.fallen || stand >= copies {
            // It renews the idle time as well.
            let idle: Vec<u64> =
                self.instances.iter().filter(|(_, i)| i.function == function).map(|(a, _)| *a).collect();
            for at in idle {
                self.rest(now, at);
            }
            let failed = self.draining && stand < copies;
            self.said.push_back(WorkerEvent::Stands { order, copies: stand, failed });
            return order;
        }
        let line = self.lines.entry(function).or_default();
        line.orders.push((order, copies));
        for _ in stand + line.loads..copies {
            self.load(function, function_model);
        }
        order
    }

    /// Unloads the idle instances of a function.
    pub fn unload(&mut self, function: u32) {
        let idle = |i: &Instance| i.function == function && i.taken == 0;
        let idle: Vec<u64> = self.instances.iter().filter(|(_, i)| idle(i)).map(|(at, _)| *at).collect();
        idle.into_iter().for_each(|at| self.remove(at));
    }

    /// A function is released anew: its instances are void.
    pub fn release(&mut self, function: u32) {
        self.unload(function);
        self.instances.values_mut().filter(|i| i.function == function).for_each(|i| i.void = true);
    }

    /// Sets the idle time of an instance on which nothing runs.
    fn rest(&mut self, now: f64, at: u64) {
        let number = self.number();
        let Some(instance) = self.instances.get_mut(&at).filter(|i| i.taken == 0) else { return };
        instance.idle = Some(number);
        self.set(now + self.worker_spec.idle_timeout, Due::Idle(at, number));
    }

    /// Does what is due.
    pub fn turn(&mut self, now: f64) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= (now.max(0.0) * 1e6) as u64) {
            match entry.remove() {
                Due::Worked(id) => {
                    self.free_cores += 1;
                    let io = self.jobs.get_mut(&id).map(|held| {
                        held.runs = false;
                        held.job.io
                    });
                    self.set(now + io.unwrap_or(0.0), Due::Finished(id));
                    self.run(now);
                }
                Due::Finished(id) => self.finished(now, id),
                Due::Started(load) => self.started(now, load),
                Due::Idle(at, number) => {
                    if self.instances.get(&at).is_some_and(|i| i.idle == Some(number)) {
                        self.remove(at);
                    }
                }
            }
        }
    }

    fn finished(&mut self, now: f64, id: u64) {
        let Some(RunningJob { job, found, concurrent_requests, instance, .. }) = self.jobs.remove(&id) else {
            return;
        };
        self.said.push_back(WorkerEvent::Done { job: id, found, concurrent_requests });
        if let Some(at) = instance {
            if let Some(i) = self.instances.get_mut(&at) {
                i.taken -= 1;
                if i.void && i.taken == 0 {
                    self.remove(at);
                }
            }
            self.assign(now, job.function, job.function_model);
            self.rest(now, at);
        }
    }

    fn started(&mut self, now: f64, load: u64) {
        let Some(Load { function, function_model }) = self.loads.remove(&load) else { return };
        self.under_way -= 1;
        let at = self.number();
        self.instances.insert(at, Instance { function, function_model, taken: 0, idle: None, void: false });
        let stands = self.instances.values().filter(|i| i.function == function && !i.void).count() as u32;
        let line = self.lines.entry(function).or_default();
        line.loads -= 1;
        let loads = line.loads;
        let done = |&(_, copies): &(u64, u32)| stands >= copies || loads == 0;
        let (ended, open): (Vec<_>, Vec<_>) = line.orders.drain(..).partition(done);
        line.orders = open;
        for (order, copies) in ended {
            self.said.push_back(WorkerEvent::Stands { order, copies: stands, failed: stands < copies });
        }
        self.assign(now, function, function_model);
        self.rest(now, at);
        self.fetch();
    }

    pub fn figures(&self) -> LoadFigures {
        let running = self.jobs.values().filter(|held| held.runs).count();
        let busy: f64 =
            self.instances.values().filter(|i| i.taken > 0).map(|i| i.function_model.memory).sum();
        let loading: f64 = self.loads.values().map(|l| l.function_model.memory).sum();
        LoadFigures {
            held: self.jobs.len() as f64,
            waiting: (self.jobs.len() - running) as f64,
            busy: 1.0 - self.free_cores as f64 / self.worker_spec.cores.max(1) as f64,
            memory: ((busy + loading) / self.worker_spec.memory.max(1e-9)).min(1.0),
            loading: self.loads.len() as f64,
        }
    }
}
