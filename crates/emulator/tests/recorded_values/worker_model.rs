//! The worker model must give the recorded outputs for the same inputs.

use crate::digest::Digest;
use milletpath_emulator::worker_model::{FunctionModel, Job, WorkerEvent, WorkerModel, WorkerSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const FUNCTIONS: u32 = 6;
const STEPS: usize = 20_000;
/// One in this many fetches fails.
const FAILED_FETCHES: u32 = 10;

const SPEC: WorkerSpec = WorkerSpec {
    cores: 3,
    speed: 1.2,
    memory: 700.0,
    concurrent_loads: 2,
    queue: 12,
    idle_timeout: 0.6,
    rejects_unloaded: false,
    loads_ahead: true,
    initial_capacity: 0.3,
    warm_up: 5.0,
    overload_multiple: 2.5,
    overload_window: 1.0,
};

/// The resource needs of a function, by its number.
fn model_of(function: u32) -> FunctionModel {
    FunctionModel {
        concurrency: 1 + function % 3,
        memory: 90.0 + 20.0 * f64::from(function),
        fetch: 0.05 + 0.01 * f64::from(function),
        start: 0.03,
    }
}

/// A worker that gets random inputs, the store's pending replies to it, and a digest of all its outputs.
struct RandomRun {
    worker: WorkerModel,
    rng: ChaCha8Rng,
    now: f64,
    /// The pending replies: the time, the load, and whether the fetch succeeds.
    fetches: Vec<(f64, u64, bool)>,
    digest: Digest,
    /// The number of outputs of each kind, in the order of [`add_output`].
    outputs: [u32; 6],
}

impl RandomRun {
    fn new(spec: WorkerSpec, started: f64, seed: u64) -> Self {
        Self {
            worker: WorkerModel::new(spec, started),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            fetches: Vec::new(),
            digest: Digest::new(),
            outputs: [0; 6],
        }
    }

    fn random_step(&mut self) {
        let function = self.rng.random_range(0..FUNCTIONS);
        let model = model_of(function);
        match self.rng.random_range(0..100) {
            0..45 => {
                let work = self.rng.random_range(0.005..0.06);
                let io = self.rng.random_range(0.0..0.03);
                let id = self.worker.submit(self.now, Job { function, function_model: model, work, io });
                self.digest.integer(id);
            }
            45..52 => {
                let instances = self.rng.random_range(0..4);
                let id = self.worker.request_load(self.now, function, model, instances);
                self.digest.integer(id);
            }
            52..54 => self.worker.unload(function),
            54..56 => self.worker.release_version(function),
            56 => self.worker.slowness = self.rng.random_range(0.5..3.0),
            57 => self.worker.draining = self.rng.random_bool(0.3),
            _ => {
                let until = self.now + self.rng.random_range(0.0..0.08);
                self.advance_to(until);
            }
        }
        self.drain_outputs();
    }

    fn advance_to(&mut self, until: f64) {
        loop {
            self.drain_outputs();
            let fetch = self.fetches.iter().copied().min_by(|a, b| a.0.total_cmp(&b.0));
            let answered = fetch.map_or(f64::INFINITY, |fetch| fetch.0);
            let next_deadline = self.worker.next_deadline().unwrap_or(f64::INFINITY).min(answered);
            if next_deadline > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next_deadline);
            if let Some((at, load, succeeds)) = fetch.filter(|fetch| fetch.0 <= self.now) {
                self.fetches.retain(|fetch| *fetch != (at, load, succeeds));
                self.worker.fetch_ended(self.now, load, succeeds);
            }
            self.worker.advance(self.now);
        }
    }

    fn drain_outputs(&mut self) {
        while let Some(output) = self.worker.next_event() {
            self.digest.float(self.now);
            if let WorkerEvent::FetchStarted { load, seconds, .. } = output {
                let succeeds = self.rng.random_range(0..FAILED_FETCHES) > 0;
                self.fetches.push((self.now + seconds, load, succeeds));
            }
            self.outputs[add_output(&mut self.digest, output)] += 1;
        }
        let load = self.worker.load_figures();
        for float in [load.in_flight, load.queued, load.utilization, load.memory, load.loading] {
            self.digest.float(float);
        }
    }
}

/// Adds an output to the digest; returns the number of its kind.
fn add_output(digest: &mut Digest, output: WorkerEvent) -> usize {
    let kind = match output {
        WorkerEvent::JobStarted { .. } => 0,
        WorkerEvent::JobCompleted { .. } => 1,
        WorkerEvent::JobRejected { .. } => 2,
        WorkerEvent::FetchStarted { .. } => 3,
        WorkerEvent::LoadRequestCompleted { .. } => 4,
        WorkerEvent::Overloaded => 5,
    };
    digest.integer(kind as u64);
    match output {
        WorkerEvent::JobStarted { job } => digest.integer(job),
        WorkerEvent::JobCompleted { job, instance_state, concurrent_requests } => {
            digest.integer(job).integer(instance_state as u64).integer(u64::from(concurrent_requests))
        }
        WorkerEvent::JobRejected { job, reason, load_failed } => {
            digest.integer(job).integer(reason as u64).integer(u64::from(load_failed))
        }
        WorkerEvent::FetchStarted { load, function, seconds } => {
            digest.integer(load).integer(u64::from(function)).float(seconds)
        }
        WorkerEvent::LoadRequestCompleted { load_request, instances, failed } => {
            digest.integer(load_request).integer(u64::from(instances)).integer(u64::from(failed))
        }
        WorkerEvent::Overloaded => digest,
    };
    kind
}

#[test_case(SPEC, -100.0, 0x5ca5_ac15_ea46_282a, [5680, 5680, 3268, 3036, 1407, 0]; "warm")]
#[test_case(WorkerSpec { loads_ahead: false, ..SPEC }, -100.0, 0x22fe_0f74_3e55_b84c, [6159, 6159, 2782, 2480, 1359, 0]; "without loads ahead")]
#[test_case(WorkerSpec { rejects_unloaded: true, ..SPEC }, -100.0, 0x6e9c_0e9f_8019_d722, [2266, 2266, 6733, 1203, 1379, 0]; "loads on request only")]
#[test_case(WorkerSpec { overload_multiple: 50.0, warm_up: 300.0, ..SPEC }, 0.0, 0x5026_0b77_f991_90b7, [5092, 5092, 3905, 2591, 1357, 0]; "warming up")]
#[test_case(WorkerSpec { overload_multiple: 1.0, warm_up: 300.0, ..SPEC }, 0.0, 0xd81b_4870_79a8_9629, [150, 150, 65, 73, 1320, 1]; "overloaded while warming up")]
fn outputs_are_as_recorded(spec: WorkerSpec, started: f64, recorded: u64, outputs: [u32; 6]) {
    let mut run = RandomRun::new(spec, started, 49);
    (0..STEPS).for_each(|_| run.random_step());
    let until = run.now + 10.0;
    run.advance_to(until);
    assert_eq!(run.outputs, outputs);
    assert_eq!(run.digest.value(), recorded, "{:#018x}", run.digest.value());
}
