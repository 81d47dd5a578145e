//! A day, drawn from a seed: its size, its traffic, and what goes wrong when.

use milletpath_test_support::platform_rig::{Outage, WorkerCondition};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The effect of the calls of a day, as the settings write it, and whether a call may run twice.
#[derive(Clone, Copy, Debug)]
pub struct Effect {
    /// What the settings say.
    pub setting: &'static str,
    /// Whether a second run does no harm.
    pub is_repeatable: bool,
}

/// What goes wrong. Routers and workers are given by their position.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Discovery is out of reach of the routers at positions that leave `remainder` when divided by `divisor`.
    Outage { outage: Outage, seconds: f64, divisor: usize, remainder: usize },
    /// A worker drains, and where `returns` is ready again after so many seconds.
    Drain { worker: usize, returns: Option<f64> },
    /// A worker's process is gone for so many seconds, and back cold.
    Restart { worker: usize, seconds: f64 },
    /// A worker is in some other condition for so many seconds.
    Condition { worker: usize, condition: WorkerCondition, seconds: f64 },
    /// A worker resets its connections.
    Reset { worker: usize },
    /// A router's file names another discovery, whether or not that is out of reach for so many seconds.
    Reload { router: usize, out_for: f64 },
    /// A router receives SIGTERM, and SIGKILL at the earliest; it starts again.
    Terminate { router: usize },
    /// A router is killed, and starts again.
    Kill { router: usize },
    /// A router is stopped for so many seconds.
    Pause { router: usize, seconds: f64 },
    /// So many clients connect to a router at once, call, and stay.
    Crowd { router: usize, clients: usize },
}

/// A fault and the second of the day at which it begins.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    pub at: f64,
    pub fault: Fault,
}

/// What is drawn from a seed.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub seconds: f64,
    pub routers: usize,
    pub workers: usize,
    /// Clients of each router that call from the first second on.
    pub clients: usize,
    /// Calls a second of all of them.
    pub calls: f64,
    pub effect: Effect,
    pub faults: Vec<TimedFault>,
}

const EFFECTS: [Effect; 3] = [
    Effect { setting: "\"free\"", is_repeatable: true },
    Effect { setting: "\"guarded\",\"KeyScope\":\"all\",\"DedupWindow\":2500000", is_repeatable: true },
    Effect { setting: "\"single_shot\"", is_repeatable: false },
];

/// When the outage begins: routers have served for a while.
const OUTAGE_START: f64 = 2.0;

impl Day {
    /// A day of a few routers, as CI plays it.
    pub fn small(seed: u64) -> Self {
        Self::with_size(seed, &[3, 4], &[6, 8])
    }

    /// A day of any size.
    pub fn drawn(seed: u64) -> Self {
        Self::with_size(seed, &[3, 3, 5, 8, 12, 20, 60], &[6, 10, 14])
    }

    fn with_size(seed: u64, routers: &[usize], workers: &[usize]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = *routers.choose(&mut random).expect("a size");
        let workers = *workers.choose(&mut random).expect("a size");
        let seconds = 13.0;
        let mut day = Self {
            seed,
            seconds,
            routers,
            workers,
            clients: if routers > 20 { 1 } else { 2 },
            calls: random.random_range(100.0..300.0),
            effect: *EFFECTS.choose(&mut random).expect("an effect"),
            faults: Vec::new(),
        };
        day.draw_outages(&mut random);
        day.draw_worker_faults(&mut random);
        day.draw_router_faults(&mut random);
        day.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        day
    }

    fn add(&mut self, at: f64, fault: Fault) {
        self.faults.push(TimedFault { at, fault });
    }

    /// One long outage, a flapping one, or one that some routers have.
    fn draw_outages(&mut self, random: &mut ChaCha8Rng) {
        let mut draw = || *Outage::ALL.choose(random).expect("a way to fail");
        let [first, second] = [draw(), draw()];
        match random.random_range(0..4) {
            0 => {
                let mut at = OUTAGE_START;
                for outage in [first, second, first] {
                    let seconds = random.random_range(0.5..2.5);
                    self.add(at, Fault::Outage { outage, seconds, divisor: 1, remainder: 0 });
                    at += seconds + random.random_range(0.3..1.2);
                }
            }
            1 => {
                let seconds = random.random_range(5.0..9.0);
                self.add(OUTAGE_START, Fault::Outage { outage: first, seconds, divisor: 2, remainder: 0 });
                let seconds = random.random_range(5.0..8.0);
                self.add(
                    OUTAGE_START + 1.0,
                    Fault::Outage { outage: second, seconds, divisor: 2, remainder: 1 },
                );
            }
            _ => {
                let seconds = random.random_range(6.0..10.0);
                self.add(OUTAGE_START, Fault::Outage { outage: first, seconds, divisor: 1, remainder: 0 });
            }
        }
    }

    /// Up to half of the workers drain or restart, at any time; others are full, hung, or reset connections.
    fn draw_worker_faults(&mut self, random: &mut ChaCha8Rng) {
        let mut workers: Vec<_> = (0..self.workers).collect();
        for _ in 0..self.workers / 2 {
            let worker = workers.swap_remove(random.random_range(0..workers.len()));
            let at = random.random_range(1.0..9.0);
            let fault = match random.random_range(0..5) {
                0 | 1 => Fault::Drain { worker, returns: None },
                2 => Fault::Drain { worker, returns: Some(random.random_range(0.5..3.0)) },
                _ => Fault::Restart { worker, seconds: random.random_range(0.3..2.5) },
            };
            self.add(at, fault);
        }
        for _ in 0..2 {
            let worker = workers.swap_remove(random.random_range(0..workers.len()));
            let at = random.random_range(1.0..9.0);
            let seconds = random.random_range(0.5..3.0);
            let fault = match random.random_range(0..3) {
                0 => Fault::Condition { worker, condition: WorkerCondition::Full, seconds },
                1 => Fault::Condition { worker, condition: WorkerCondition::Hung, seconds },
                _ => Fault::Reset { worker },
            };
            self.add(at, fault);
        }
    }

    /// Signals in series at some of the routers, some of them with a crowd.
    fn draw_router_faults(&mut self, random: &mut ChaCha8Rng) {
        let mut routers: Vec<_> = (0..self.routers).collect();
        for _ in 0..(self.routers / 2).clamp(2, 8) {
            let router = routers.swap_remove(random.random_range(0..routers.len()));
            let at = random.random_range(1.5..7.0);
            match random.random_range(0..6) {
                0 => {
                    self.add(at, Fault::Reload { router, out_for: random.random_range(0.0..4.0) });
                    self.add(at + 0.4, Fault::Reload { router, out_for: random.random_range(0.0..4.0) });
                }
                1 | 2 => {
                    self.add(at, Fault::Terminate { router });
                    if random.random_bool(0.5) {
                        self.add(at - 0.3, Fault::Crowd { router, clients: 30 });
                    }
                }
                3 => self.add(at, Fault::Kill { router }),
                4 => self.add(at, Fault::Pause { router, seconds: random.random_range(0.3..1.5) }),
                _ => self.add(at, Fault::Crowd { router, clients: 30 }),
            }
        }
    }
}
