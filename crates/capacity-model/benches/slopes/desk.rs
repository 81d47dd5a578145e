//! The desk as one of many gateways, without sockets and in simulated time: what a call costs it, what it
//! holds once it is steady, how often it probes and orders, and its own part of a cold start. Workers stand
//! in four regions, 1 ms away and 30, 80 and 150 ms there and back; each holds one call of other gateways
//! on average.

use crate::list::{desk, entries};
use crate::measure::{Asked, Slope, allocated, look, size, spent};
use milletpath_capacity_model::run::Measurement;
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::{InstanceState, LoadReport, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::collections::{BTreeMap, HashMap};

/// Seconds from a worker and back, by region.
const AWAY: [f64; 4] = [0.001, 0.030, 0.080, 0.150];

/// Simulated seconds, past those for which an idle instance is kept, until it is steady: what was called first
/// has been forgotten. Then come windows that count.
const STEADY: f64 = 20.0;
const WINDOWS: usize = 5;
const WINDOW: f64 = 5.0;

/// Calls a second of the whole fleet, and seconds of work in a call.
const FLEET: f64 = 160_000.0;
const WORK: f64 = 0.05;

/// Workers that the desk is measured with; from few on, as a call's cost passes its bound early.
const SOME: [usize; 7] = [30, 100, 300, 1_000, 3_000, 9_100, 30_000];

/// What is played.
#[derive(Clone, Copy)]
pub struct Play {
    pub gateways: usize,
    pub workers: usize,
    pub functions: usize,
    pub zipf: f64,
    pub calls: f64,
    /// Changes of the list a second: a worker drains, another time it is ready again.
    pub changes: f64,
    /// Seconds for which an idle instance is kept.
    pub keep: f64,
}

/// As one of 1,100 gateways.
pub const USUAL: Play = Play {
    gateways: 1_100,
    workers: 9_100,
    functions: 33_000,
    zipf: 1.6,
    calls: 145.0,
    changes: 0.0,
    keep: 60.0,
};

/// What came of it; of those by window one figure for each.
#[derive(Default)]
pub struct Came {
    pub micros: Vec<f64>,
    pub megabytes: Vec<f64>,
    pub functions: Vec<f64>,
    pub probes: Vec<f64>,
    pub orders: Vec<f64>,
    /// Milliseconds until a call whose function stands nowhere had its first shot or order.
    pub cold: Vec<f64>,
    pub handled: f64,
    /// Instances that it had something run at and that still stand.
    pub instances: f64,
}

enum Next {
    Arrive,
    Ended(RequestId, usize, usize, usize),
    Ordered(RequestId, u8),
    Probed(usize, u64),
    Change,
}

struct Bench {
    play: Play,
    chance: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Next>,
    number: u64,
    /// Until when an instance of a function stands on a worker.
    stands: HashMap<(usize, usize), f64>,
    /// The same anywhere.
    anywhere: HashMap<usize, f64>,
    held: Vec<f64>,
    /// Sum over the popularity of all functions.
    whole: f64,
}

impl Bench {
    fn put(&mut self, at: f64, next: Next) {
        self.number += 1;
        self.queue.insert(((at * 1e6) as u64, self.number), next);
    }

    fn report(&mut self, worker: usize) -> LoadReport {
        // What others have there: a call on average.
        let others = Exp::new(1.0f64).expect("a mean").sample(&mut self.chance).round();
        let held = self.held[worker] + others;
        LoadReport {
            in_flight: Some(held),
            utilization: Some((held / 8.0).min(1.0)),
            ..LoadReport::default()
        }
    }

    /// Whether an instance stands there; other gateways may have had it loaded at a worker that they share.
    fn stood(&mut self, now: f64, function: usize, worker: usize) -> bool {
        let rate = FLEET * (function as f64).powf(-self.play.zipf) / self.whole;
        let known = self.stands.get(&(function, worker)).is_some_and(|until| now < *until);
        let by_others = !known && self.chance.random::<f64>() < 1.0 - (-rate * self.play.keep).exp();
        self.stands.insert((function, worker), now + self.play.keep);
        self.anywhere.insert(function, now + self.play.keep);
        known || by_others
    }
}

fn away(worker: usize) -> f64 {
    AWAY[worker % AWAY.len()]
}

pub fn play(play: Play, seed: u64) -> Came {
    let names: Vec<String> = (0..=play.functions).map(|n| format!("function-{n}")).collect();
    let list = entries(play.workers);
    let whole = (1..=play.functions).map(|n| (n as f64).powf(-play.zipf)).sum();
    let mut bench = Bench {
        play,
        chance: ChaCha8Rng::seed_from_u64(seed),
        queue: BTreeMap::new(),
        number: 0,
        stands: HashMap::new(),
        anywhere: HashMap::new(),
        held: vec![0.0; play.workers],
        whole,
    };
    let zipf = Zipf::new(play.functions as f64, play.zipf).expect("a popularity");
    let (gap, work) = (Exp::new(play.calls).expect("a rate"), Exp::new(1.0 / WORK).expect("a time"));
    let (look, steady) = (look(), play.keep + STEADY);
    // Of the bench's own tables nothing counts: what they grow by is measured around each call of the desk.
    let mut bytes = -allocated();
    let mut desk: Dispatcher<usize> = desk(play.gateways, play.keep, "");
    desk.update_endpoints(0.0, true, &list);
    bytes += allocated();
    bench.put(0.0, Next::Arrive);
    if play.changes > 0.0 {
        bench.put(1.0 / play.changes, Next::Change);
    }
    let mut came = Came::default();
    let (mut time, mut calls, mut tally, mut window) = (0.0, 0u32, desk.counters(), 0);
    let mut waits: HashMap<u64, f64> = HashMap::new();
    let (mut cold, mut changed) = (Vec::new(), 0);
    while let Some(((at, _), next)) = bench.queue.pop_first() {
        let now = at as f64 / 1e6;
        if window == 0 && now >= steady {
            (time, calls, tally, window) = (0.0, 0, desk.counters(), 1);
            cold.clear();
        }
        if window > 0 && now >= steady + WINDOW * window as f64 {
            let of = f64::from(calls.max(1));
            came.micros.push(time * 1e6 / of);
            came.megabytes.push(bytes / 1e6);
            came.functions.push(desk.function_count() as f64);
            came.probes.push((desk.counters().health_checks - tally.health_checks) as f64 / of);
            came.orders.push((desk.counters().load_requests - tally.load_requests) as f64 / of);
            (time, calls, tally, window) = (0.0, 0, desk.counters(), window + 1);
            if window > WINDOWS {
                came.instances = bench.stands.values().filter(|until| now < **until).count() as f64;
                break;
            }
        }
        let report = match &next {
            Next::Ended(_, _, worker, _) => {
                bench.held[*worker] -= 1.0;
                Some(bench.report(*worker))
            }
            Next::Probed(worker, _) => Some(bench.report(*worker)),
            _ => None,
        };
        let function = if matches!(next, Next::Arrive) { zipf.sample(&mut bench.chance) as usize } else { 0 };
        let change = matches!(next, Next::Change).then(|| {
            let mut entry = list[changed / 2 % play.workers].clone();
            if changed % 2 == 0 {
                entry.state = milletpath_protocol::registry::EndpointStatus::Draining;
            }
            changed += 1;
            [entry]
        });
        let (before, began) = (allocated(), spent());
        while desk.next_deadline().is_some_and(|due| due <= now) {
            desk.advance(now);
        }
        let mut arrived = None;
        match &next {
            Next::Arrive => {
                let come = IncomingRequest {
                    function: &names[function],
                    profile: 0,
                    client: 9,
                    timeout: 3.3,
                    is_retry: false,
                    resources: None,
                };
                arrived = desk.submit(now, come, function);
            }
            Next::Ended(tag, shot, _, found) => {
                let instance_state =
                    Some(if *found == 1 { InstanceState::Loaded } else { InstanceState::LoadStarted });
                desk.attempt_ended(
                    now,
                    *tag,
                    *shot,
                    AttemptResult {
                        report,
                        instance_state,
                        ..AttemptResult::from_outcome(Outcome::Succeeded)
                    },
                );
            }
            Next::Ordered(order, copies) => desk.load_request_ended(now, *order, Outcome::Succeeded, *copies),
            Next::Probed(worker, serial) => {
                desk.health_check_ended(now, *worker, *serial, Outcome::Succeeded, report);
            }
            Next::Change => desk.update_endpoints(now, false, change.as_ref().expect("a change")),
        }
        let mut acts = Vec::new();
        while let Some(act) = desk.next_action() {
            if let Action::SendAttempt { request: tag, attempt: shot, .. } = act {
                desk.begin_attempt(now, tag, shot);
            }
            acts.push(act);
        }
        time += spent() - began - look;
        bytes += allocated() - before - (acts.capacity() * size_of::<Action>()) as f64;
        if matches!(next, Next::Arrive) {
            calls += 1;
            let gap = gap.sample(&mut bench.chance);
            bench.put(now + gap, Next::Arrive);
            let nowhere = bench.anywhere.get(&function).is_none_or(|until| now >= *until);
            if let Some(tag) = arrived.filter(|_| nowhere) {
                waits.insert(tag.serial, now);
            }
        }
        if matches!(next, Next::Change) {
            bench.put(now + 1.0 / play.changes, Next::Change);
        }
        for act in acts {
            match act {
                Action::SendAttempt { request: tag, attempt: shot, worker } => {
                    cold.extend(waits.remove(&tag.serial).map(|since| (now - since) * 1e3));
                    bench.held[worker] += 1.0;
                    let function = desk.context(tag).copied().unwrap_or(0);
                    let stood = bench.stood(now, function, worker);
                    let load = if stood { 0.0 } else { bench.chance.random_range(0.2..0.6) };
                    let takes = away(worker) + load + work.sample(&mut bench.chance);
                    bench.put(now + takes, Next::Ended(tag, shot, worker, usize::from(stood)));
                }
                Action::LoadFunction { load_request: order, worker, function, instances: copies } => {
                    let number = function.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let stood = bench.stood(now, number, worker);
                    let load = if stood { 0.0 } else { bench.chance.random_range(0.2..0.6) };
                    bench.put(now + away(worker) + load, Next::Ordered(order, copies));
                }
                Action::HealthCheck { worker, serial } => {
                    bench.put(now + away(worker), Next::Probed(worker, serial));
                }
                _ => {}
            }
        }
    }
    came.cold = cold;
    let tally = desk.counters();
    came.handled = tally.succeeded as f64 / tally.accepted.max(1) as f64;
    came
}

/// A size with all that came of it.
pub type Sizes = Vec<(f64, Came)>;

/// Plays each size.
pub fn sizes(asked: &Asked, all: impl IntoIterator<Item = (f64, Play)>) -> Sizes {
    let mut sizes = Sizes::new();
    for (at, of) in all {
        let began = spent();
        let came = play(of, asked.seed);
        eprintln!(
            "{at}: {:.3} handled, {} cold starts, {:.0} s of CPU",
            came.handled,
            came.cold.len(),
            spent() - began
        );
        sizes.push((at, came));
    }
    sizes
}

pub fn of(sizes: &Sizes, values: impl Fn(&Came) -> Vec<f64>) -> Vec<Measurement> {
    sizes.iter().map(|(at, came)| size(*at, values(came))).collect()
}

/// A part of what was counted: 0.5 is the median.
pub fn at(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get((part * sorted.len().saturating_sub(1) as f64).round() as usize).copied().unwrap_or(0.0)
}

pub const METHOD: &str = "thread clock around the desk; five windows of 5 simulated seconds, from 20 s past the time that an instance is kept on; popularity by Zipf";

pub const CALL: Slope = Slope {
    name: "call-workers",
    mechanism: "decision on a call: passes over the function's whole walk and its set (`Router::place`)",
    figure: "CPU a call, all its events together",
    unit: "us",
    axis: "workers",
    method: METHOD,
    fixed: &[("gateways", 1_100.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.6)],
    group: "desk",
};

pub const BYTES: &str = "bytes by a counting allocator around the desk, once it is steady; five looks 5 simulated seconds \
     apart";

pub fn workers(asked: &Asked) {
    let sizes = sizes(asked, SOME.map(|workers| (workers as f64, Play { workers, ..USUAL })));
    CALL.write(asked, None, of(&sizes, |c| c.micros.clone()));
    Slope {
        name: "probes-workers",
        mechanism: "probe before a shot where nothing was heard for 1 s (`Router::place`)",
        figure: "probes a call",
        unit: "probes",
        method: "counted",
        ..CALL
    }
    .write(asked, None, of(&sizes, |c| c.probes.clone()));
    Slope {
        name: "orders-workers",
        mechanism: "orders to load (`Router::order`)",
        figure: "orders a call",
        unit: "orders",
        method: "counted",
        ..CALL
    }
    .write(asked, None, of(&sizes, |c| c.orders.clone()));
    let memory = Slope {
        name: "memory-workers",
        mechanism: "each function known keeps its walk over all workers (`Function::walk`)",
        figure: "memory of the desk, steady",
        unit: "MB",
        method: BYTES,
        ..CALL
    };
    memory.write(asked, None, of(&sizes, |c| c.megabytes.clone()));
}

/// The same with a popularity that falls more slowly: more functions are known at a time.
pub fn workers_flat(asked: &Asked) {
    let flat = Play { zipf: 1.1, ..USUAL };
    let sizes = sizes(asked, SOME.map(|workers| (workers as f64, Play { workers, ..flat })));
    let fixed = &[("gateways", 1_100.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.1)];
    let call = Slope { name: "call-workers-flat", fixed, group: "desk-flat", ..CALL };
    call.write(asked, None, of(&sizes, |c| c.micros.clone()));
    let memory = Slope {
        name: "memory-workers-flat",
        mechanism: "each function known keeps its walk over all workers (`Function::walk`)",
        figure: "memory of the desk, steady",
        unit: "MB",
        method: BYTES,
        ..call
    };
    memory.write(asked, None, of(&sizes, |c| c.megabytes.clone()));
    Slope {
        name: "functions-known-flat",
        figure: "functions known at a time",
        unit: "functions",
        method: "counted",
        ..memory
    }
    .write(asked, None, of(&sizes, |c| c.functions.clone()));
}

/// The gateway's own part of a cold start, with a popularity that falls slowly, so that there are hundreds of them.
pub fn cold(asked: &Asked) {
    let sizes =
        sizes(asked, SOME[2..6].iter().map(|n| (*n as f64, Play { workers: *n, zipf: 1.1, ..USUAL })));
    let fixed = &[("gateways", 1_100.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.1)];
    let cold = Slope {
        name: "cold-start-p99",
        mechanism: "probe before the first shot, for up to 0.03 of the due time (`Router::place`)",
        figure: "cold start, the gateway's own part, p99: from arrival to the first shot",
        unit: "ms",
        method: "simulated time, of some 750 calls whose function stands nowhere that the gateway knows \
                 of; workers 1, 30, 80 and 150 ms away, a quarter each; once",
        fixed,
        group: "desk-cold",
        ..CALL
    };
    cold.write(asked, None, of(&sizes, |c| vec![at(&c.cold, 0.99)]));
    let figure = "cold start, the gateway's own part, p50: from arrival to the first shot";
    Slope { name: "cold-start-p50", figure, ..cold }.write(
        asked,
        None,
        of(&sizes, |c| vec![at(&c.cold, 0.5)]),
    );
}
