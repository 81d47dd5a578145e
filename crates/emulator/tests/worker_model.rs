//! The models of worker and store: what a gateway's troubles are made of must itself be right.

use milletpath_emulator::store::{Store, StoreSpec};
use milletpath_emulator::worker_model::{FunctionModel, Job, WorkerEvent, WorkerModel, WorkerSpec};
use milletpath_protocol::worker::{InstanceState, Rejection};
use proptest::prelude::*;

const WORKER_SPEC: WorkerSpec = WorkerSpec {
    cores: 2,
    speed: 1.0,
    memory: 250.0,
    loads_at_once: 2,
    queue: 8,
    idle_timeout: 5.0,
    rejects_unloaded: false,
    loads_ahead: true,
    initial_capacity: 0.5,
    warm_up: 10.0,
    overload_multiple: 2.0,
    overload_window: 1.0,
};
const PACK: FunctionModel = FunctionModel { concurrency: 2, memory: 100.0, fetch: 0.2, start: 0.1 };

fn job(function: u32) -> Job {
    Job { function, function_model: PACK, work: 0.1, io: 0.05 }
}

/// Fetches under way: when each ends, and its load.
type Fetches = Vec<(f64, u64)>;

/// Lets time pass with a store that answers each fetch in its time; what was said, and when.
fn pass(engine: &mut WorkerModel, from: f64, until: f64) -> Vec<(f64, WorkerEvent)> {
    pass_with(engine, &mut Fetches::new(), from, until)
}

fn pass_with(
    engine: &mut WorkerModel,
    fetches: &mut Fetches,
    from: f64,
    until: f64,
) -> Vec<(f64, WorkerEvent)> {
    let (mut said, mut now) = (Vec::new(), from);
    loop {
        while let Some(say) = engine.next_event() {
            if let WorkerEvent::Fetch { load, seconds, .. } = say {
                fetches.push((now + seconds, load));
            }
            said.push((now, say));
        }
        let fetch = fetches.iter().copied().min_by(|a, b| a.0.total_cmp(&b.0));
        let next = engine.next().unwrap_or(f64::INFINITY).min(fetch.map_or(f64::INFINITY, |f| f.0));
        if next > until {
            return said;
        }
        now = next.max(now);
        if let Some(done) = fetch.filter(|f| f.0 <= now) {
            fetches.retain(|f| *f != done);
            engine.fetched(now, done.1, true);
        }
        engine.turn(now);
    }
}

fn ends(said: &[(f64, WorkerEvent)]) -> Vec<(f64, InstanceState)> {
    let end = |(at, say): &(f64, WorkerEvent)| match say {
        WorkerEvent::Done { found, .. } => Some(((at * 1e3).round() / 1e3, *found)),
        _ => None,
    };
    said.iter().filter_map(end).collect()
}

#[test]
fn the_first_call_loads_the_next_awaits_and_later_ones_find() {
    let mut engine = WorkerModel::new(WORKER_SPEC, -100.0);
    engine.arrive(0.0, job(1));
    engine.arrive(0.0, job(1));
    let said = pass(&mut engine, 0.0, 1.0);
    assert_eq!(ends(&said), [(0.45, InstanceState::LoadStarted), (0.45, InstanceState::LoadAwaited)]);
    engine.arrive(1.0, job(1));
    assert_eq!(ends(&pass(&mut engine, 1.0, 2.0)), [(1.15, InstanceState::Loaded)]);
    // Idle for its time it is unloaded.
    pass(&mut engine, 2.0, 8.0);
    engine.arrive(8.0, job(1));
    assert_eq!(ends(&pass(&mut engine, 8.0, 9.0)), [(8.45, InstanceState::LoadStarted)]);
}

#[test]
fn a_cold_worker_is_slow_and_falls_when_pushed() {
    let mut engine = WorkerModel::new(WORKER_SPEC, 0.0);
    engine.arrive(0.0, job(1));
    assert!(ends(&pass(&mut engine, 0.0, 1.0))[0].0 > 0.5);
    for _ in 0..60 {
        engine.arrive(1.0, job(1));
    }
    assert!(pass(&mut engine, 1.0, 1.1).iter().any(|(_, say)| *say == WorkerEvent::Fell));
}

#[test]
fn a_released_function_is_loaded_anew_and_orders_are_told_when_they_stand() {
    let mut engine = WorkerModel::new(WORKER_SPEC, -100.0);
    let order = engine.order(0.0, 1, PACK, 2);
    let said = pass(&mut engine, 0.0, 1.0);
    assert!(
        said.iter()
            .any(|(at, say)| *say == WorkerEvent::Stands { order, copies: 2, failed: false } && *at > 0.29)
    );
    engine.release(1);
    engine.arrive(1.0, job(1));
    assert_eq!(ends(&pass(&mut engine, 1.0, 2.0))[0].1, InstanceState::LoadStarted);
}

#[test]
fn memory_is_never_overfilled_and_idle_copies_give_way() {
    let mut engine = WorkerModel::new(WORKER_SPEC, -100.0);
    for (n, function) in [1, 2, 3].into_iter().enumerate() {
        engine.arrive(n as f64, job(function));
        assert_eq!(ends(&pass(&mut engine, n as f64, n as f64 + 1.0))[0].1, InstanceState::LoadStarted);
    }
    // The third took the first one's place.
    engine.arrive(3.0, job(2));
    engine.arrive(3.0, job(1));
    let said = pass(&mut engine, 3.0, 4.0);
    assert_eq!(ends(&said)[0].1, InstanceState::Loaded);
    assert!(engine.figures().memory <= 1.0);
}

#[test]
fn a_store_slows_refuses_and_stops() {
    let mut store = Store::new(StoreSpec { at_once: 2.0, takes: 4, tips: Some(2.0), stops: 5.0 });
    let takes: Vec<_> = (0..5).map(|_| store.fetch(0.0, 1.0)).collect();
    assert_eq!(takes, [Some(1.0), Some(1.0), Some(1.5), Some(2.0), None]);
    (0..4).for_each(|_| store.fetched());
    // Pushed past its six in three seconds it stops, and what it turns away then does not keep it stopped.
    assert_eq!((store.fetch(1.0, 1.0), store.fetch(1.0, 1.0)), (Some(1.0), None));
    (0..50).for_each(|n| assert_eq!(store.fetch(1.0 + f64::from(n) * 0.09, 1.0), None));
    assert_eq!(store.fetch(6.1, 1.0), Some(1.0));
}

proptest! {
    /// Every job ends once, as done or refused, and no effect happens for one that was refused.
    #[test]
    fn every_job_ends_once(arrivals in proptest::collection::vec((0.0..0.2f64, 0..4u32), 1..60), misses: bool, eager: bool) {
        let mut engine = WorkerModel::new(WorkerSpec { rejects_unloaded: misses, loads_ahead: eager, ..WORKER_SPEC }, -100.0);
        let (mut now, mut said, mut jobs, mut fetches) = (0.0, Vec::new(), Vec::new(), Fetches::new());
        for (gap, function) in arrivals {
            jobs.push(engine.arrive(now, job(function)));
            said.extend(pass_with(&mut engine, &mut fetches, now, now + gap));
            now += gap;
        }
        said.extend(pass_with(&mut engine, &mut fetches, now, now + 100.0));
        for id in jobs {
            let done = said.iter().filter(|(_, s)| matches!(s, WorkerEvent::Done { job, .. } if *job == id)).count();
            let refused = said.iter().filter(|(_, s)| matches!(s, WorkerEvent::Refused { job, .. } if *job == id)).count();
            let ran = said.iter().filter(|(_, s)| matches!(s, WorkerEvent::Ran { job } if *job == id)).count();
            prop_assert_eq!((done + refused, done), (1, ran));
        }
        prop_assert_eq!(engine.figures().held, 0.0);
    }
}

#[test]
fn a_draining_worker_refuses_in_its_own_words() {
    let mut engine = WorkerModel::new(WORKER_SPEC, -100.0);
    engine.draining = true;
    let job = engine.arrive(0.0, job(1));
    assert_eq!(
        engine.next_event(),
        Some(WorkerEvent::Refused { job, why: Rejection::Draining, failed_load: false })
    );
}
