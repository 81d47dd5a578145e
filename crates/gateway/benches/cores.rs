//! Compares ways to make dispatch decisions on several cores, using prototypes of the options considered in
//! `docs/design/multicore.md` around the real dispatcher. Each thread runs calls that spend a given number of
//! microseconds outside of the dispatcher.
//!
//! a: a dispatcher on each core. b: one deciding core, reached through bounded channels. c: a dispatcher on each core,
//! with statistics of each worker in shared atomics that every call reads and writes. d: one dispatcher behind a
//! blocking lock. e: like d, but threads spin before they block.
//!
//! `cargo bench -p milletpath-gateway --bench cores` prints calls per second, and for (b) the latency of a single
//! handoff.

use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::hint::{black_box, spin_loop};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const WORKERS: usize = 30;
const FUNCTIONS: usize = 60;
const ROUND_SECONDS: f64 = 0.7;
const ROUNDS: usize = 2;

fn dispatcher(gateways: usize) -> Dispatcher<()> {
    let text = format!(
        "seed = 7\ngateways = {gateways}\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nworkers {{\n  registry = \
         \"127.0.0.1:1\"\n  orders = false\n  probes = false\n}}\n"
    );
    let mut config = milletpath_config::read(&text).expect("a valid configuration");
    // Nothing confirms the endpoint list here, so it must stay valid indefinitely.
    config.policy.list_valid_for = f64::INFINITY;
    let mut dispatcher = Dispatcher::new(&config, 0.0);
    let entry = |n: usize| EndpointEntry {
        name: format!("w{n}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + n as u16)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: "z".into(),
        cell: String::new(),
        state: EndpointStatus::Ready,
    };
    dispatcher.update_endpoints(0.0, true, &(0..WORKERS).map(entry).collect::<Vec<_>>());
    dispatcher
}

/// Locks the dispatcher, spinning first for about as long as several events take.
fn lock_spinning(dispatcher: &Mutex<Dispatcher<()>>) -> MutexGuard<'_, Dispatcher<()>> {
    for _ in 0..2000 {
        if let Ok(free) = dispatcher.try_lock() {
            return free;
        }
        spin_loop();
    }
    dispatcher.lock().expect("the dispatcher")
}

/// Spins for a number of microseconds, to simulate the work of a call outside of the dispatcher.
fn spin_for(micros: f64) {
    let began = Instant::now();
    while began.elapsed().as_secs_f64() * 1e6 < micros {
        spin_loop();
    }
}

fn incoming_request(function: &str) -> IncomingRequest<'_> {
    IncomingRequest { function, profile: 0, client: 9, timeout: 3.0, is_retry: false, resources: None }
}

/// One event of a call that is passed to the dispatcher.
enum RequestStep {
    Submit(usize),
    Begin(Action),
    EndAttempt(Action),
}

fn step(dispatcher: &mut Dispatcher<()>, names: &[String], now: f64, step: RequestStep) -> Vec<Action> {
    while dispatcher.next_deadline().is_some_and(|due| due <= now) {
        dispatcher.advance(now);
    }
    match step {
        RequestStep::Submit(n) => {
            dispatcher.submit(now, incoming_request(&names[n % names.len()]), ());
        }
        RequestStep::Begin(Action::SendAttempt { request, attempt, .. }) => {
            dispatcher.begin_attempt(now, request, attempt);
        }
        RequestStep::EndAttempt(Action::SendAttempt { request, attempt, .. }) => {
            dispatcher.attempt_ended(now, request, attempt, AttemptResult::from_outcome(Outcome::Succeeded));
        }
        RequestStep::Begin(_) | RequestStep::EndAttempt(_) => {}
    }
    std::iter::from_fn(|| dispatcher.next_action())
        .filter(|a| matches!(a, Action::SendAttempt { .. }))
        .collect()
}

/// Runs a call on one thread, and the attempts of other calls that its events release. Returns the number of attempts
/// ended.
fn call(n: usize, micros: f64, mut apply: impl FnMut(RequestStep) -> Vec<Action>) -> u64 {
    spin_for(micros / 3.0);
    let (mut actions, mut ended) = (apply(RequestStep::Submit(n)), 0);
    while let Some(action) = actions.pop() {
        actions.extend(apply(RequestStep::Begin(action.clone())));
        spin_for(micros / 3.0);
        actions.extend(apply(RequestStep::EndAttempt(action)));
        spin_for(micros / 3.0);
        ended += 1;
    }
    ended
}

/// Runs the callers that `make` creates from a thread number on `threads` threads. Returns their total calls per
/// second.
fn run(threads: usize, make: impl Fn(usize) -> Box<dyn FnMut(usize) -> u64 + Send>) -> f64 {
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let handles: Vec<_> = (0..threads)
        .map(|t| {
            let (mut caller, stop, calls) = (make(t), stop.clone(), calls.clone());
            std::thread::spawn(move || {
                let (mut n, mut ended) = (t * 7, 0);
                while !stop.load(Ordering::Relaxed) {
                    ended += caller(n);
                    n += 1;
                }
                calls.fetch_add(ended, Ordering::Relaxed);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(ROUND_SECONDS));
    stop.store(true, Ordering::Relaxed);
    handles.into_iter().for_each(|j| j.join().expect("a thread"));
    calls.load(Ordering::Relaxed) as f64 / ROUND_SECONDS
}

/// Shared statistics of one worker, aligned to a separate cache line.
#[repr(align(64))]
#[derive(Default)]
struct WorkerStats {
    in_flight: AtomicI64,
    events: AtomicU64,
}

/// A step for the deciding core of (b), and the channel for the resulting actions.
struct StepRequest {
    step: RequestStep,
    actions: SyncSender<Vec<Action>>,
}

/// State used by all prototypes.
#[derive(Clone)]
struct Bench {
    functions: Arc<Vec<String>>,
    started: Instant,
}

impl Bench {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn step(&self, dispatcher: &mut Dispatcher<()>, request_step: RequestStep) -> Vec<Action> {
        step(dispatcher, &self.functions, self.now(), request_step)
    }

    /// (a): a dispatcher on each core.
    fn dispatcher_per_core(&self, threads: usize, micros: f64) -> f64 {
        run(threads, |_| {
            let (mut dispatcher, bench) = (dispatcher(threads), self.clone());
            Box::new(move |n| call(n, micros, |step| bench.step(&mut dispatcher, step)))
        })
    }

    /// Starts the deciding core of (b).
    fn deciding_core(&self) -> SyncSender<StepRequest> {
        let (sender, receiver): (SyncSender<StepRequest>, Receiver<StepRequest>) = sync_channel(1024);
        let bench = self.clone();
        std::thread::spawn(move || {
            let mut dispatcher = dispatcher(1);
            while let Ok(StepRequest { step, actions }) = receiver.recv() {
                let _ = actions.send(bench.step(&mut dispatcher, step));
            }
        });
        sender
    }

    /// (b): one core decides for all.
    fn one_deciding_core(&self, threads: usize, micros: f64) -> f64 {
        let decider = self.deciding_core();
        run(threads, |_| {
            let (decider, (actions, received)) = (decider.clone(), sync_channel(1));
            Box::new(move |n| {
                call(n, micros, |step| {
                    decider.send(StepRequest { step, actions: actions.clone() }).expect("the deciding core");
                    received.recv().expect("actions")
                })
            })
        })
    }

    /// (c): a dispatcher on each core, with shared statistics of the workers.
    fn shared_worker_stats(&self, threads: usize, micros: f64) -> f64 {
        let stats = Arc::new(Vec::from_iter((0..WORKERS).map(|_| WorkerStats::default())));
        run(threads, |_| {
            let (mut dispatcher, bench, stats) = (dispatcher(threads), self.clone(), stats.clone());
            Box::new(move |n| call(n, micros, |step| bench.step_with_stats(&mut dispatcher, &stats, step)))
        })
    }

    /// Reads the statistics of all workers before a decision, and updates those of the workers affected by it.
    fn step_with_stats(
        &self,
        dispatcher: &mut Dispatcher<()>,
        stats: &[WorkerStats],
        step: RequestStep,
    ) -> Vec<Action> {
        if matches!(step, RequestStep::Submit(_)) {
            black_box(stats.iter().map(|worker| worker.in_flight.load(Ordering::Relaxed)).sum::<i64>());
        }
        let (change, ended) = match &step {
            RequestStep::EndAttempt(action) => (-1, worker_of(action)),
            RequestStep::Submit(_) | RequestStep::Begin(_) => (1, None),
        };
        let actions = self.step(dispatcher, step);
        let begun = actions.iter().map(|action| worker_of(action).unwrap_or(0));
        for worker in ended.into_iter().chain(begun) {
            stats[worker].in_flight.fetch_add(change, Ordering::AcqRel);
            stats[worker].events.fetch_add(1, Ordering::AcqRel);
        }
        actions
    }

    /// (d): one dispatcher behind a lock.
    fn locked(&self, threads: usize, micros: f64) -> f64 {
        let shared = Arc::new(Mutex::new(dispatcher(1)));
        run(threads, |_| {
            let (bench, shared) = (self.clone(), shared.clone());
            Box::new(move |n| {
                call(n, micros, |step| bench.step(&mut shared.lock().expect("the dispatcher"), step))
            })
        })
    }

    /// (e): like (d), but a thread that finds the lock taken spins for a while before it blocks.
    fn spin_locked(&self, threads: usize, micros: f64) -> f64 {
        let shared = Arc::new(Mutex::new(dispatcher(1)));
        run(threads, |_| {
            let (bench, shared) = (self.clone(), shared.clone());
            Box::new(move |n| call(n, micros, |step| bench.step(&mut lock_spinning(&shared), step)))
        })
    }

    /// Prints the calls per second of all prototypes, and their speedup over one thread.
    fn compare(&self, micros: f64) {
        println!("{micros} us a call beside its decisions");
        let mut best = [[0.0f64; 5]; 4];
        let threads = [1, 2, 4, 8];
        for _ in 0..ROUNDS {
            for (row, &threads) in best.iter_mut().zip(&threads) {
                let rates = [
                    self.dispatcher_per_core(threads, micros),
                    self.one_deciding_core(threads, micros),
                    self.shared_worker_stats(threads, micros),
                    self.locked(threads, micros),
                    self.spin_locked(threads, micros),
                ];
                row.iter_mut().zip(rates).for_each(|(best, rate)| *best = best.max(rate));
            }
        }
        for (row, threads) in best.iter().zip(threads) {
            let cells = ["a", "b", "c", "d", "e"].iter().zip(row).zip(best[0]);
            let cells: Vec<_> =
                cells.map(|((name, rate), one)| format!("{name} {rate:>9.0} ({:.2})", rate / one)).collect();
            println!("  {threads} threads: {}", cells.join("  "));
        }
    }

    /// Prints the latency of a single handoff of (b) at a low rate, where both sides sleep in between.
    fn hand_over(&self) {
        let decider = self.deciding_core();
        let (actions, received) = sync_channel(1);
        let hand_over = |n| {
            std::thread::sleep(Duration::from_millis(1));
            let sent = Instant::now();
            let step = RequestStep::Submit(n);
            decider.send(StepRequest { step, actions: actions.clone() }).expect("the deciding core");
            received.recv().expect("actions");
            sent.elapsed().as_secs_f64() * 1e6
        };
        let mut waits: Vec<f64> = (0..500).map(hand_over).collect();
        waits.sort_by(f64::total_cmp);
        println!("b, a lone hand-over there and back: p50 {:.0} us, p99 {:.0} us", waits[250], waits[495]);
    }
}

fn worker_of(action: &Action) -> Option<usize> {
    match action {
        Action::SendAttempt { worker, .. } => Some(*worker),
        _ => None,
    }
}

fn main() {
    let functions = Arc::new((0..FUNCTIONS).map(|n| format!("pack-{n}")).collect());
    let bench = Bench { functions, started: Instant::now() };
    println!("calls a second (over one thread's), best of {ROUNDS} interleaved rounds of {ROUND_SECONDS} s");
    for micros in [0.0, 30.0] {
        bench.compare(micros);
    }
    bench.hand_over();
}
