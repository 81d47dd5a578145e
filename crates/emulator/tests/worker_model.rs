//! Tests the model of a worker, with a store that answers each fetch on time.

use milletpath_emulator::worker_model::{FunctionModel, Job, WorkerEvent, WorkerModel, WorkerSpec};
use milletpath_protocol::worker::{InstanceState, Rejection};
use proptest::prelude::*;

const SPEC: WorkerSpec = WorkerSpec {
    cores: 2,
    speed: 1.0,
    memory: 250.0,
    concurrent_loads: 2,
    queue: 8,
    idle_timeout: 5.0,
    rejects_unloaded: false,
    loads_ahead: true,
    initial_capacity: 0.5,
    warm_up: 10.0,
    overload_multiple: 2.0,
    overload_window: 1.0,
};
const FUNCTION: FunctionModel = FunctionModel { concurrency: 2, memory: 100.0, fetch: 0.2, start: 0.1 };

fn job(function: u32) -> Job {
    Job { function, function_model: FUNCTION, work: 0.1, io: 0.05 }
}

/// A fetch that the store has not answered yet.
#[derive(Clone, Copy, PartialEq)]
struct Fetch {
    ends: f64,
    load: u64,
}

/// A worker and the store's pending fetches.
struct Harness {
    worker: WorkerModel,
    fetches: Vec<Fetch>,
}

/// An event and when it was read.
type TimedEvent = (f64, WorkerEvent);

impl Harness {
    fn new(spec: WorkerSpec, started: f64) -> Self {
        Self { worker: WorkerModel::new(spec, started), fetches: Vec::new() }
    }

    fn warm() -> Self {
        Self::new(SPEC, -100.0)
    }

    /// Lets time pass; returns the events until then.
    fn run_until(&mut self, from: f64, until: f64) -> Vec<TimedEvent> {
        let (mut events, mut now) = (Vec::new(), from);
        loop {
            self.read_events(now, &mut events);
            let fetch = self.fetches.iter().copied().min_by(|a, b| a.ends.total_cmp(&b.ends));
            let deadline = self.worker.next_deadline().unwrap_or(f64::INFINITY);
            let next = deadline.min(fetch.map_or(f64::INFINITY, |fetch| fetch.ends));
            if next > until {
                return events;
            }
            now = next.max(now);
            if let Some(ended) = fetch.filter(|fetch| fetch.ends <= now) {
                self.fetches.retain(|fetch| *fetch != ended);
                self.worker.fetch_ended(now, ended.load, true);
            }
            self.worker.advance(now);
        }
    }

    fn read_events(&mut self, now: f64, events: &mut Vec<TimedEvent>) {
        while let Some(event) = self.worker.next_event() {
            if let WorkerEvent::FetchStarted { load, seconds, .. } = event {
                self.fetches.push(Fetch { ends: now + seconds, load });
            }
            events.push((now, event));
        }
    }

    /// Lets time pass; returns the jobs that were completed, with times rounded to milliseconds.
    fn completed(&mut self, from: f64, until: f64) -> Vec<(f64, InstanceState)> {
        completed(&self.run_until(from, until))
    }
}

fn completed(events: &[TimedEvent]) -> Vec<(f64, InstanceState)> {
    let completed = |(at, event): &TimedEvent| match event {
        WorkerEvent::JobCompleted { instance_state, .. } => Some(((at * 1e3).round() / 1e3, *instance_state)),
        _ => None,
    };
    events.iter().filter_map(completed).collect()
}

#[test]
fn the_first_job_starts_a_load_the_next_awaits_it_and_later_ones_find_the_instance() {
    let mut harness = Harness::warm();
    harness.worker.submit(0.0, job(1));
    harness.worker.submit(0.0, job(1));
    let expected = [(0.45, InstanceState::LoadStarted), (0.45, InstanceState::LoadAwaited)];
    assert_eq!(harness.completed(0.0, 1.0), expected);
    harness.worker.submit(1.0, job(1));
    assert_eq!(harness.completed(1.0, 2.0), [(1.15, InstanceState::Loaded)]);
    // The instance is unloaded after its idle timeout.
    harness.run_until(2.0, 8.0);
    harness.worker.submit(8.0, job(1));
    assert_eq!(harness.completed(8.0, 9.0), [(8.45, InstanceState::LoadStarted)]);
}

#[test]
fn a_warming_worker_is_slow_and_can_be_overloaded() {
    let mut harness = Harness::new(SPEC, 0.0);
    harness.worker.submit(0.0, job(1));
    assert!(harness.completed(0.0, 1.0)[0].0 > 0.5);
    for _ in 0..60 {
        harness.worker.submit(1.0, job(1));
    }
    assert!(harness.run_until(1.0, 1.1).iter().any(|(_, event)| *event == WorkerEvent::Overloaded));
}

#[test]
fn a_load_request_completes_with_its_instances_and_a_new_version_is_loaded_again() {
    let mut harness = Harness::warm();
    let load_request = harness.worker.request_load(0.0, 1, FUNCTION, 2);
    let completed = WorkerEvent::LoadRequestCompleted { load_request, instances: 2, failed: false };
    let events = harness.run_until(0.0, 1.0);
    assert!(events.iter().any(|(at, event)| *event == completed && *at > 0.29));
    harness.worker.release_version(1);
    harness.worker.submit(1.0, job(1));
    assert_eq!(harness.completed(1.0, 2.0)[0].1, InstanceState::LoadStarted);
}

#[test]
fn the_memory_limit_holds_and_idle_instances_are_evicted() {
    let mut harness = Harness::warm();
    for (n, function) in [1, 2, 3].into_iter().enumerate() {
        harness.worker.submit(n as f64, job(function));
        assert_eq!(harness.completed(n as f64, n as f64 + 1.0)[0].1, InstanceState::LoadStarted);
    }
    // The third instance replaced the first.
    harness.worker.submit(3.0, job(2));
    harness.worker.submit(3.0, job(1));
    assert_eq!(harness.completed(3.0, 4.0)[0].1, InstanceState::Loaded);
    assert!(harness.worker.load_figures().memory <= 1.0);
}

proptest! {
    /// Every job ends exactly once, as completed or rejected, and no rejected job takes effect.
    #[test]
    fn every_job_ends_once(
        arrivals in proptest::collection::vec((0.0..0.2f64, 0..4u32), 1..60),
        rejects_unloaded: bool,
        loads_ahead: bool,
    ) {
        let mut harness = Harness::new(WorkerSpec { rejects_unloaded, loads_ahead, ..SPEC }, -100.0);
        let (mut now, mut events, mut jobs) = (0.0, Vec::new(), Vec::new());
        for (gap, function) in arrivals {
            jobs.push(harness.worker.submit(now, job(function)));
            events.extend(harness.run_until(now, now + gap));
            now += gap;
        }
        events.extend(harness.run_until(now, now + 100.0));
        for id in jobs {
            let count = |is_of: fn(&WorkerEvent, u64) -> bool| {
                events.iter().filter(|(_, event)| is_of(event, id)).count()
            };
            let completed =
                count(|event, id| matches!(event, WorkerEvent::JobCompleted { job, .. } if *job == id));
            let rejected =
                count(|event, id| matches!(event, WorkerEvent::JobRejected { job, .. } if *job == id));
            let started = count(|event, id| matches!(event, WorkerEvent::JobStarted { job } if *job == id));
            prop_assert_eq!((completed + rejected, completed), (1, started));
        }
        prop_assert_eq!(harness.worker.load_figures().in_flight, 0.0);
    }
}

#[test]
fn a_draining_worker_rejects_new_jobs() {
    let mut harness = Harness::warm();
    harness.worker.draining = true;
    let job = harness.worker.submit(0.0, job(1));
    let rejected = WorkerEvent::JobRejected { job, reason: Rejection::Draining, load_failed: false };
    assert_eq!(harness.worker.next_event(), Some(rejected));
}
