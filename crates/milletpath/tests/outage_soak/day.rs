//! Scenarios of the soak test, called days: the size of the fleet, the traffic and the timed faults, all derived from a
//! seed.

use milletpath_test_support::platform_rig::{Outage, WorkerCondition};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The effect class of the calls of a day.
#[derive(Clone, Copy, Debug)]
pub struct Effect {
    /// Its value in the platform's settings.
    pub setting: &'static str,
    /// Whether a call may run twice without harm.
    pub is_repeatable: bool,
}

/// A fault. Routers and workers are identified by their index.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Discovery is unavailable to the routers whose index modulo `divisor` is `remainder`.
    Outage { outage: Outage, seconds: f64, divisor: usize, remainder: usize },
    /// A worker drains and, if `returns` is set, is ready again after that many seconds.
    Drain { worker: usize, returns: Option<f64> },
    /// A worker's process is down for a number of seconds, then starts again without instances.
    Restart { worker: usize, seconds: f64 },
    /// A worker is in another condition for a number of seconds.
    Condition { worker: usize, condition: WorkerCondition, seconds: f64 },
    /// A worker resets its connections.
    Reset { worker: usize },
    /// A router's configuration file changes to another discovery service, which is unavailable for `out_for` seconds.
    Reload { router: usize, out_for: f64 },
    /// A router receives SIGTERM and, at the earliest permitted time, SIGKILL; then it is restarted.
    Terminate { router: usize },
    /// A router is killed and restarted.
    Kill { router: usize },
    /// A router is paused by SIGSTOP for a number of seconds.
    Pause { router: usize, seconds: f64 },
    /// A number of clients connect to a router at once and keep calling.
    Crowd { router: usize, clients: usize },
}

/// A fault and its start, in seconds from the beginning of the day.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    pub at: f64,
    pub fault: Fault,
}

/// A scenario derived from a seed, with its duration in seconds.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub seconds: f64,
    pub routers: usize,
    pub workers: usize,
    /// Number of clients at each router that call from the beginning.
    pub clients: usize,
    /// Call rate of all these clients together, in calls per second.
    pub calls: f64,
    pub effect: Effect,
    pub faults: Vec<TimedFault>,
}

const EFFECTS: [Effect; 3] = [
    Effect { setting: "\"free\"", is_repeatable: true },
    Effect { setting: "\"guarded\",\"KeyScope\":\"all\",\"DedupWindow\":2500000", is_repeatable: true },
    Effect { setting: "\"single_shot\"", is_repeatable: false },
];

/// Second at which the first outage begins, when the routers have been serving for some time.
const OUTAGE_START: f64 = 2.0;

impl Day {
    /// A day with few routers, for CI.
    pub fn small(seed: u64) -> Self {
        Self::with_size(seed, &[3, 4], &[6, 8])
    }

    /// A day of any size.
    pub fn drawn(seed: u64) -> Self {
        Self::with_size(seed, &[3, 3, 5, 8, 12, 20, 60], &[6, 10, 14])
    }

    fn with_size(seed: u64, routers: &[usize], workers: &[usize]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = *routers.choose(&mut random).expect("there are sizes");
        let workers = *workers.choose(&mut random).expect("there are sizes");
        let seconds = 13.0;
        let mut day = Self {
            seed,
            seconds,
            routers,
            workers,
            clients: if routers > 20 { 1 } else { 2 },
            calls: random.random_range(100.0..300.0),
            effect: *EFFECTS.choose(&mut random).expect("there are effects"),
            faults: Vec::new(),
        };
        day.draw_outages(&mut random);
        day.draw_worker_faults(&mut random);
        day.draw_router_faults(&mut random);
        day.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        day
    }

    /// Adds a fault that begins at second `at`.
    fn add(&mut self, at: f64, fault: Fault) {
        self.faults.push(TimedFault { at, fault });
    }

    /// Draws one long outage, a series of short ones, or separate outages for routers with even and odd index.
    fn draw_outages(&mut self, random: &mut ChaCha8Rng) {
        let mut draw = || *Outage::ALL.choose(random).expect("there are outages");
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

    /// Draws drains and restarts of half of the workers, and two other workers that are full, hang or reset
    /// connections.
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

    /// Draws faults of about half of the routers, up to eight: reloads, signals, pauses and crowds of clients.
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
