//! What it costs to let several cores decide: prototypes of the options weighed in `docs/design/several-cores.md`,
//! around the real desk. Each thread carries calls that cost so many microseconds beside their decisions.
//!
//! a: a desk on each core. b: one deciding core, asked by bounded channels. c: a desk on each core, and a ledger of
//! facts per worker in shared atomics that every call writes and reads. d: one desk that the cores enter in turn, by a
//! lock on which they sleep; e: the same, by one at which they wait awake first.
//!
//! `cargo bench -p milletpath-gateway --bench cores` prints calls a second, and for (b) the wait of a lone hand-over.

use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{Entry, Standing};
use std::hint::{black_box, spin_loop};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const WORKERS: usize = 30;
const FUNCTIONS: usize = 60;
const SECONDS: f64 = 0.7;
const ROUNDS: usize = 2;

fn desk(gateways: usize) -> Dispatcher<()> {
    let text = format!(
        "seed = 7\ngateways = {gateways}\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nworkers {{\n  registry = \
         \"127.0.0.1:1\"\n  orders = false\n  probes = false\n}}\n"
    );
    let house = milletpath_config::read(&text).expect("a sound charter");
    let mut desk = Dispatcher::new(&house, 0.0);
    let entry = |n: usize| Entry {
        name: format!("w{n}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + n as u16)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: "z".into(),
        cell: String::new(),
        state: Standing::Ready,
    };
    desk.update_endpoints(0.0, true, &(0..WORKERS).map(entry).collect::<Vec<_>>());
    desk
}

/// Enters the desk; waits awake for about as long as several events take.
fn awake(desk: &Mutex<Dispatcher<()>>) -> MutexGuard<'_, Dispatcher<()>> {
    for _ in 0..2000 {
        if let Ok(free) = desk.try_lock() {
            return free;
        }
        spin_loop();
    }
    desk.lock().expect("the desk")
}

/// What a call costs beside its decisions, in three parts as they lie between them.
fn work(micros: f64) {
    let began = Instant::now();
    while began.elapsed().as_secs_f64() * 1e6 < micros {
        spin_loop();
    }
}

fn come(function: &str) -> IncomingRequest<'_> {
    IncomingRequest { function, profile: 0, client: 9, timeout: 3.0, is_retry: false, resources: None }
}

/// One event of a call, told to a desk; what it gives to do next.
enum Step {
    Arrive(usize),
    Begin(Action),
    AttemptResult(Action),
}

fn step(desk: &mut Dispatcher<()>, names: &[String], now: f64, step: Step) -> Vec<Action> {
    while desk.next_deadline().is_some_and(|due| due <= now) {
        desk.advance(now);
    }
    match step {
        Step::Arrive(n) => {
            desk.submit(now, come(&names[n % names.len()]), ());
        }
        Step::Begin(Action::SendAttempt { request: tag, attempt: shot, .. }) => {
            desk.begin_attempt(now, tag, shot);
        }
        Step::AttemptResult(Action::SendAttempt { request: tag, attempt: shot, .. }) => {
            desk.attempt_ended(now, tag, shot, AttemptResult::from_outcome(Outcome::Succeeded));
        }
        Step::Begin(_) | Step::AttemptResult(_) => {}
    }
    std::iter::from_fn(|| desk.next_action()).filter(|a| matches!(a, Action::SendAttempt { .. })).collect()
}

/// A call on one thread, and what else its events set free, each told by `tell`; how many shots were ended.
fn call(n: usize, micros: f64, mut tell: impl FnMut(Step) -> Vec<Action>) -> u64 {
    work(micros / 3.0);
    let (mut acts, mut ended) = (tell(Step::Arrive(n)), 0);
    while let Some(act) = acts.pop() {
        acts.extend(tell(Step::Begin(act.clone())));
        work(micros / 3.0);
        acts.extend(tell(Step::AttemptResult(act)));
        work(micros / 3.0);
        ended += 1;
    }
    ended
}

/// Runs `threads` of a caller that each makes from its number; calls a second of all.
fn run(threads: usize, make: impl Fn(usize) -> Box<dyn FnMut(usize) -> u64 + Send>) -> f64 {
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let joins: Vec<_> = (0..threads)
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
    std::thread::sleep(Duration::from_secs_f64(SECONDS));
    stop.store(true, Ordering::Relaxed);
    joins.into_iter().for_each(|j| j.join().expect("a thread"));
    calls.load(Ordering::Relaxed) as f64 / SECONDS
}

/// Facts of one worker on a cache line of its own.
#[repr(align(64))]
#[derive(Default)]
struct Facts {
    out: AtomicI64,
    told: AtomicU64,
}

type Asked = (Step, SyncSender<Vec<Action>>);

/// The deciding core of (b).
fn decider(desk: Dispatcher<()>, names: Arc<Vec<String>>, began: Instant) -> SyncSender<Asked> {
    let (ask, asked): (SyncSender<Asked>, Receiver<Asked>) = sync_channel(1024);
    std::thread::spawn(move || {
        let mut desk = desk;
        while let Ok((told, answer)) = asked.recv() {
            let act = step(&mut desk, &names, began.elapsed().as_secs_f64(), told);
            let _ = answer.send(act);
        }
    });
    ask
}

fn main() {
    let names: Arc<Vec<String>> = Arc::new((0..FUNCTIONS).map(|n| format!("pack-{n}")).collect());
    let began = Instant::now();
    let now = move || began.elapsed().as_secs_f64();
    let a = |threads: usize, micros: f64| {
        let names = names.clone();
        run(threads, move |_| {
            let (mut desk, names) = (desk(threads), names.clone());
            Box::new(move |n| call(n, micros, |s| step(&mut desk, &names, now(), s)))
        })
    };
    let b = |threads: usize, micros: f64| {
        let ask = decider(desk(1), names.clone(), began);
        run(threads, move |_| {
            let (ask, (answer, answered)) = (ask.clone(), sync_channel(1));
            Box::new(move |n| {
                call(n, micros, |s| {
                    ask.send((s, answer.clone())).expect("the decider");
                    answered.recv().expect("an answer")
                })
            })
        })
    };
    let c = |threads: usize, micros: f64| {
        let (names, facts) =
            (names.clone(), Arc::new(Vec::from_iter((0..WORKERS).map(|_| Facts::default()))));
        run(threads, move |_| {
            let (mut desk, names, facts) = (desk(threads), names.clone(), facts.clone());
            Box::new(move |n| {
                call(n, micros, |s| {
                    // Before a decision all workers' facts are read; what was decided is written.
                    if matches!(s, Step::Arrive(_)) {
                        black_box(facts.iter().map(|f| f.out.load(Ordering::Relaxed)).sum::<i64>());
                    }
                    let sign = if matches!(s, Step::AttemptResult(_)) { -1 } else { 1 };
                    let ended = if let Step::AttemptResult(Action::SendAttempt { worker, .. }) = s {
                        Some(worker)
                    } else {
                        None
                    };
                    let act = step(&mut desk, &names, now(), s);
                    let begun = act
                        .iter()
                        .map(|a| if let Action::SendAttempt { worker, .. } = a { *worker } else { 0 });
                    for w in ended.into_iter().chain(begun) {
                        facts[w].out.fetch_add(sign, Ordering::AcqRel);
                        facts[w].told.fetch_add(1, Ordering::AcqRel);
                    }
                    act
                })
            })
        })
    };
    let d = |threads: usize, micros: f64| {
        let (names, one) = (names.clone(), Arc::new(Mutex::new(desk(1))));
        run(threads, move |_| {
            let (names, one) = (names.clone(), one.clone());
            Box::new(move |n| call(n, micros, |s| step(&mut one.lock().expect("the desk"), &names, now(), s)))
        })
    };
    // As d, but whoever finds the desk taken waits awake for a while before it sleeps.
    let e = |threads: usize, micros: f64| {
        let (names, one) = (names.clone(), Arc::new(Mutex::new(desk(1))));
        run(threads, move |_| {
            let (names, one) = (names.clone(), one.clone());
            Box::new(move |n| call(n, micros, |s| step(&mut awake(&one), &names, now(), s)))
        })
    };
    println!("calls a second (over one thread's), best of {ROUNDS} interleaved rounds of {SECONDS} s");
    for micros in [0.0, 30.0] {
        println!("{micros} us a call beside its decisions");
        let mut best = [[0.0f64; 5]; 4];
        let threads = [1, 2, 4, 8];
        for _ in 0..ROUNDS {
            for (row, &threads) in best.iter_mut().zip(&threads) {
                let now = [
                    a(threads, micros),
                    b(threads, micros),
                    c(threads, micros),
                    d(threads, micros),
                    e(threads, micros),
                ];
                row.iter_mut().zip(now).for_each(|(best, now)| *best = best.max(now));
            }
        }
        for (row, threads) in best.iter().zip(threads) {
            let cells = ["a", "b", "c", "d", "e"].iter().zip(row).zip(best[0]);
            let cells: Vec<_> =
                cells.map(|((name, is), one)| format!("{name} {:>9.0} ({:.2})", is, is / one)).collect();
            println!("  {threads} threads: {}", cells.join("  "));
        }
    }
    // A lone hand-over, as at a low rate: both sides sleep in between.
    let ask = decider(desk(1), names.clone(), began);
    let (answer, answered) = sync_channel(1);
    let mut waits: Vec<f64> = (0..500)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(1));
            let asked = Instant::now();
            ask.send((Step::Arrive(n), answer.clone())).expect("the decider");
            answered.recv().expect("an answer");
            asked.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    waits.sort_by(f64::total_cmp);
    println!("b, a lone hand-over there and back: p50 {:.0} us, p99 {:.0} us", waits[250], waits[495]);
}
