//! Workers in simulated time: the stand-ins' engines, and the troubles that befall them.

use crate::town::{Next, Town, WAY, place};
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_emulator::day;
use milletpath_emulator::engine::{Engine, Figures, Job, Make, Say};
use milletpath_emulator::script::What;
use milletpath_history_checker::Saw;
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
    pub engine: Engine,
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
    pub fn warm(make: Make) -> Self {
        Self::new(make, -make.warm_up - 1.0, 0)
    }

    fn new(make: Make, born: f64, process: u64) -> Self {
        let engine = Engine::new(make, born);
        let (jobs, orders) = (BTreeMap::new(), BTreeMap::new());
        Self { engine, process, alive: true, jobs, orders, fails: 0.0, armed: f64::INFINITY }
    }
}

fn report(figures: Figures) -> LoadReport {
    LoadReport {
        in_flight: Some(figures.held),
        queued: Some(figures.waiting),
        utilization: Some(figures.busy),
        memory: Some(figures.memory),
        loading: Some(figures.loading),
    }
}

fn found(word: wire::InstanceState) -> InstanceState {
    match word {
        wire::InstanceState::Loaded => InstanceState::Loaded,
        wire::InstanceState::LoadStarted => InstanceState::LoadStarted,
        wire::InstanceState::LoadAwaited => InstanceState::LoadAwaited,
        wire::InstanceState::LoadFailed => InstanceState::LoadFailed,
    }
}

impl Town<'_> {
    /// Whether a process is there to be reached.
    fn reached(&self, worker: usize, process: u64) -> bool {
        self.workers[worker].alive && self.workers[worker].process == process
    }

    fn back(&mut self, gateway: usize, tag: RequestId, shot: usize, end: AttemptResult) {
        self.put(self.now + WAY, Next::Ended { gateway, tag, shot, end });
    }

    pub(crate) fn shot(&mut self, gateway: usize, tag: RequestId, shot: usize, worker: usize, process: u64) {
        let Some((call, attempt)) = self.desks[gateway].context(tag).copied() else { return };
        if !self.reached(worker, process) {
            return self.back(gateway, tag, shot, AttemptResult::from_outcome(Outcome::Unreachable));
        }
        let planned = self.calls[call].planned.clone();
        self.note(Saw::Came { call: call as u64, attempt, gateway, worker, work: planned.work });
        let fails = self.workers[worker].fails;
        if fails > 0.0 && self.chance.random_bool(fails) {
            return self.back(gateway, tag, shot, AttemptResult::from_outcome(Outcome::Failed));
        }
        let function = self.function(&planned.function);
        let job = Job { function, pack: self.day.pack, work: planned.work, io: planned.io };
        let id = self.workers[worker].engine.arrive(self.now, job);
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
            let next = Next::Ordered { gateway, order, outcome: Outcome::Unreachable, copies: 0 };
            return self.put(self.now + WAY, next);
        }
        if copies > 0 {
            self.note(Saw::Ordered { gateway, worker });
        }
        let pack = self.day.pack;
        let id = self.workers[worker].engine.order(self.now, function, pack, u32::from(copies));
        self.workers[worker].orders.insert(id, (gateway, order));
        self.listen(worker);
    }

    pub(crate) fn probe(&mut self, gateway: usize, worker: usize, process: u64, serial: u64) {
        let (outcome, report) = if self.reached(worker, process) {
            (Outcome::Succeeded, Some(report(self.workers[worker].engine.figures())))
        } else {
            (Outcome::Unreachable, None)
        };
        self.put(self.now + WAY, Next::Probed { gateway, worker, serial, outcome, report });
    }

    /// Tells an engine something, where that process still runs.
    pub(crate) fn at_engine(&mut self, worker: usize, process: u64, what: impl FnOnce(&mut Engine, f64)) {
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
        while let Some(say) = self.workers[worker].engine.say() {
            match say {
                Say::Ran { job } => {
                    let held = self.workers[worker].jobs.get(&job).copied();
                    // A receipted call's repeat is known to all workers.
                    if let Some(held) = held.filter(|h| self.calls[h.call].runs()) {
                        self.note(Saw::Ran { call: held.call as u64, worker });
                    }
                }
                Say::Done { job, found: word, company } => {
                    self.warm.0 += u64::from(word == wire::InstanceState::Loaded);
                    self.warm.1 += 1;
                    let end = AttemptResult {
                        found: Some(found(word)),
                        company: company.into(),
                        ..AttemptResult::from_outcome(Outcome::Succeeded)
                    };
                    self.says(worker, job, end);
                }
                Say::Refused { job, why, failed_load } => {
                    let outcome = if why == wire::Rejection::NotLoaded {
                        Outcome::NotLoaded
                    } else {
                        Outcome::Rejected
                    };
                    let end = AttemptResult {
                        found: failed_load.then_some(InstanceState::LoadFailed),
                        ..AttemptResult::from_outcome(outcome)
                    };
                    self.says(worker, job, end);
                }
                Say::Fetch { load, seconds, .. } => {
                    /// What is turned away is told in a moment, as over a network.
                    const MOMENT: f64 = 0.002;
                    let takes = self.store.fetch(now, seconds);
                    let process = self.workers[worker].process;
                    let next = Next::Fetched(worker, process, load, takes.is_some());
                    self.put(now + takes.unwrap_or(MOMENT), next);
                }
                Say::Stands { order, copies, failed } => {
                    if let Some((gateway, order)) = self.workers[worker].orders.remove(&order) {
                        let outcome = if failed { Outcome::Failed } else { Outcome::Succeeded };
                        let copies = copies.min(255) as u8;
                        self.put(now + WAY, Next::Ordered { gateway, order, outcome, copies });
                    }
                }
                Say::Fell => self.dies(worker),
            }
        }
        let w = &mut self.workers[worker];
        if let Some(next) = w.engine.next().filter(|next| w.alive && *next < w.armed) {
            w.armed = next;
            let process = w.process;
            self.put(next.max(now), Next::Engine(worker, process));
        }
    }

    /// A shot's answer goes out, with the worker's report.
    fn says(&mut self, worker: usize, job: u64, end: AttemptResult) {
        let Some(Held { gateway, tag, shot, .. }) = self.workers[worker].jobs.remove(&job) else { return };
        let end = AttemptResult { report: Some(report(self.workers[worker].engine.figures())), ..end };
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
            let next = Next::Ordered { gateway, order, outcome: Outcome::ConnectionLost, copies: 0 };
            self.put(self.now + WAY, next);
        }
    }

    /// A new process takes its place: cold, empty, at another address.
    fn comes_back(&mut self, worker: usize) {
        let process = self.workers[worker].process + 1;
        self.workers[worker] = Worker::new(self.day.make, self.now, process);
        let capacity = Engine::capacity(&self.day.make);
        self.note(Saw::Started { worker, capacity, warm: false });
        let stamp = self.variation.worker_time(self.now);
        let address = place(worker, if self.variation.same_address { 0 } else { process });
        let entry = EndpointEntry { address, ..day::entry(worker, Some(stamp)) };
        self.entries[worker] = entry.clone();
        self.told(vec![entry]);
    }

    fn told(&mut self, entries: Vec<EndpointEntry>) {
        for gateway in 0..self.desks.len() {
            for entry in &entries {
                let worker = entry.name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                self.note(Saw::Told { gateway, worker, ready: entry.state == EndpointStatus::Ready });
            }
        }
        self.put(self.now + WAY, Next::List(entries));
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
        let trouble = self.day.troubles[number].clone();
        let end = self.now + trouble.lasts;
        let struck = match trouble.what {
            What::Death | What::Rolling | What::Failures | What::Slowness | What::Drain => {
                self.some(self.workers.len(), trouble.part)
            }
            _ => Vec::new(),
        };
        self.struck.insert(number, struck.clone());
        match trouble.what {
            What::Death => {
                struck.iter().for_each(|w| self.dies(*w));
                let notice = self.day.terms.notice.min(trouble.lasts);
                self.put(self.now + notice, Next::Step(number, 0));
                self.put(end, Next::Ends(number));
            }
            What::Rolling => {
                let turn = trouble.lasts / struck.len() as f64;
                for n in 0..struck.len() {
                    self.put(self.now + turn * n as f64, Next::Step(number, 3 * n));
                }
            }
            What::Drain => {
                self.stands(&struck, EndpointStatus::Draining);
                self.put(end, Next::Ends(number));
            }
            What::Failures => {
                struck.iter().for_each(|w| self.workers[*w].fails = trouble.size);
                self.put(end, Next::Ends(number));
            }
            What::Slowness => {
                struck.iter().for_each(|w| self.workers[*w].engine.slowness = trouble.size);
                self.put(end, Next::Ends(number));
            }
            What::Release => {
                let functions = self.some(self.functions.len().max(1), trouble.part);
                for worker in &mut self.workers {
                    functions.iter().for_each(|f| worker.engine.release(*f as u32));
                }
            }
            What::StoreSlow => {
                self.store.slowness = trouble.size;
                self.put(end, Next::Ends(number));
            }
            What::StoreRefuses => {
                self.store.refuses = true;
                self.put(end, Next::Ends(number));
            }
            What::StoreStops => self.store.stop(self.now, trouble.lasts),
            // In the plan of the clients' calls, or of processes and links.
            _ => {}
        }
    }

    /// The next step of a trouble that takes several.
    pub(crate) fn step(&mut self, number: usize, step: usize) {
        let trouble = self.day.troubles[number].clone();
        let struck = self.struck[&number].clone();
        if trouble.what == What::Death {
            return self.stands(&struck, EndpointStatus::Gone);
        }
        let worker = struck[step / 3];
        match step % 3 {
            0 => {
                self.stands(&[worker], EndpointStatus::Draining);
                let wait = self.day.terms.grace + self.day.terms.notice;
                self.put(self.now + wait, Next::Step(number, step + 1));
            }
            1 => {
                self.workers[worker].engine.draining = true;
                self.put(self.now + 0.5, Next::Step(number, step + 1));
            }
            _ => {
                self.dies(worker);
                self.comes_back(worker);
            }
        }
    }

    pub(crate) fn ends(&mut self, number: usize) {
        let trouble = self.day.troubles[number].clone();
        let struck = self.struck[&number].clone();
        match trouble.what {
            What::Death => struck.into_iter().for_each(|w| self.comes_back(w)),
            What::Drain => self.stands(&struck, EndpointStatus::Ready),
            What::Failures => struck.iter().for_each(|w| self.workers[*w].fails = 0.0),
            What::Slowness => struck.iter().for_each(|w| self.workers[*w].engine.slowness = 1.0),
            What::StoreSlow => self.store.slowness = 1.0,
            What::StoreRefuses => self.store.refuses = false,
            _ => {}
        }
    }
}
