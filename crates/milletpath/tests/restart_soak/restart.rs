//! A planned restart drawn from a seed, how it is played, and the rules that it has to keep.

use crate::persistent_client::{CallTotals, call_until_stopped};
use milletpath_test_support::platform_rig::{
    Discovery, Router, RouterConfiguration, Worker, WorkerBehaviour, answers_after, earliest_sigkill,
    never_answers,
};
use milletpath_test_support::process::Process;
use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long the clients send calls before SIGTERM.
const LOAD_BEFORE_SIGTERM: Duration = Duration::from_millis(300);
/// How long after its deadline a call may be answered without counting as lost, as the platform states.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long a process is paused.
const PAUSE: Duration = Duration::from_millis(500);

/// Time between the end of a pause and the SIGKILL.
const TIME_AFTER_PAUSE: Duration = Duration::from_millis(200);
/// The latest time in ms after SIGTERM at which a process is paused.
const LATEST_PAUSE_MS: u64 = 600;
/// The part of the calls written before SIGTERM that has to be served where nothing hinders the router. A router that
/// rejects what it could serve loses no call.
const MIN_SERVED_UNDISTURBED: f64 = 0.5;

/// How the worker treats an attempt.
#[derive(Clone, Copy, Debug)]
enum Service {
    After20Ms,
    After400Ms,
    Never,
}

impl Service {
    fn behaviour(self) -> WorkerBehaviour {
        match self {
            Self::After20Ms => |_, id, connection| answers_after(Duration::from_millis(20), id, connection),
            Self::After400Ms => |_, id, connection| answers_after(Duration::from_millis(400), id, connection),
            Self::Never => never_answers,
        }
    }
}

/// The signals around SIGTERM.
#[derive(Clone, Copy, Debug)]
enum SignalSeries {
    Sigterm,
    SigtermTwice,
    SighupBefore,
    SighupAfter,
    SighupsInARow,
}

impl SignalSeries {
    /// The signals before SIGTERM, and those after it.
    fn signals(self) -> (&'static [Signal], &'static [Signal]) {
        match self {
            Self::Sigterm => (&[], &[]),
            Self::SigtermTwice => (&[], &[Signal::SIGTERM]),
            Self::SighupBefore => (&[Signal::SIGHUP], &[]),
            Self::SighupAfter => (&[], &[Signal::SIGHUP]),
            Self::SighupsInARow => (&[Signal::SIGHUP; 3], &[Signal::SIGHUP; 3]),
        }
    }
}

/// A restart derived from a seed.
#[derive(Clone, Debug)]
pub struct Restart {
    /// Deadline of each call.
    deadline_ms: u64,
    /// Clients that use their connections until the kill.
    clients: usize,
    /// Further clients, which connect at SIGTERM.
    crowd: usize,
    service: Service,
    signals: SignalSeries,
    /// Time in ms after SIGTERM at which the process is paused.
    pause_after_ms: Option<u64>,
    /// Threads that compete for the processors.
    busy_threads: usize,
}

/// How a restart went.
#[derive(Debug)]
pub struct RestartResult {
    /// How long after SIGTERM the process exited by itself.
    exited_after: Option<Duration>,
    /// The earliest time after SIGTERM at which SIGKILL may come.
    kill_after: Duration,
    paused_for: Duration,
    /// Calls written before SIGTERM, and how many of them were served.
    written_before_sigterm: usize,
    served_before_sigterm: usize,
    /// Whether nothing hindered the router in serving those.
    undisturbed: bool,
    totals: CallTotals,
}

impl RestartResult {
    /// The rules that were broken.
    pub fn violations(&self) -> Vec<String> {
        let &CallTotals { answered, lost, answered_twice, latest_answer, .. } = &self.totals;
        let (written, served) = (self.written_before_sigterm, self.served_before_sigterm);
        let served_too_few = (served as f64) < MIN_SERVED_UNDISTURBED * written as f64;
        let rules = [
            (answered == 0, "no call was answered".to_owned()),
            (
                self.undisturbed && served_too_few,
                format!("only {served} of {written} calls written before SIGTERM were served"),
            ),
            (self.exited_after.is_none(), format!("the process did not exit within {:?}", self.kill_after)),
            (lost > 0, format!("{lost} calls were lost")),
            (answered_twice > 0, format!("{answered_twice} calls were answered twice")),
            (
                latest_answer > LATE_ANSWER_LIMIT + self.paused_for,
                format!("a call was answered {latest_answer:?} after its deadline"),
            ),
        ];
        rules.into_iter().filter(|(broken, _)| *broken).map(|(_, text)| text).collect()
    }
}

impl Restart {
    /// A restart of any size.
    pub fn drawn(seed: u64) -> Self {
        Self::with_sizes(seed, &[300, 500, 1000, 3000, 10_000], &[1, 20, 50, 200], &[0, 0, 4, 12])
    }

    /// A restart that is small enough for CI.
    pub fn small(seed: u64) -> Self {
        Self::with_sizes(seed, &[300, 500, 1000, 3000], &[1, 10, 20], &[0])
    }

    fn with_sizes(seed: u64, deadlines: &[u64], clients: &[usize], busy: &[usize]) -> Self {
        use SignalSeries::{SighupAfter, SighupBefore, SighupsInARow, Sigterm, SigtermTwice};
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pick = |rng: &mut ChaCha8Rng, from: &[usize]| *from.choose(rng).expect("there is a choice");
        let deadline_ms = *deadlines.choose(&mut rng).expect("there is a choice");
        // A process that is still paused when SIGKILL comes can't answer.
        let latest_pause = earliest_sigkill(deadline_ms) - PAUSE - TIME_AFTER_PAUSE;
        let latest_pause_ms = (latest_pause.as_millis() as u64).min(LATEST_PAUSE_MS);
        let services = [Service::After20Ms, Service::After400Ms, Service::Never];
        let series = [Sigterm, SigtermTwice, SighupBefore, SighupAfter, SighupsInARow];
        Self {
            deadline_ms,
            clients: pick(&mut rng, clients),
            crowd: pick(&mut rng, &[0, 0, 30]),
            service: *services.choose(&mut rng).expect("there is a choice"),
            signals: *series.choose(&mut rng).expect("there is a choice"),
            pause_after_ms: rng.random_bool(0.25).then(|| rng.random_range(0..latest_pause_ms)),
            busy_threads: pick(&mut rng, busy),
        }
    }

    /// Plays the restart.
    pub fn run(&self) -> RestartResult {
        let worker = Worker::start(self.service.behaviour());
        let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, 1024);
        let mut router =
            Router::with_configuration(&configuration.with("HardLimit", self.deadline_ms * 1000));
        let stop = AtomicBool::new(false);
        let result = std::thread::scope(|scope| {
            for _ in 0..self.busy_threads {
                scope.spawn(|| {
                    while !stop.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                });
            }
            self.run_under_load(&mut router, &stop)
        });
        worker.stop();
        result
    }

    fn run_under_load(&self, router: &mut Router, stop: &AtomicBool) -> RestartResult {
        let ids = AtomicU64::new(1);
        let address = router.address;
        let deadline_ms = self.deadline_ms;
        std::thread::scope(|scope| {
            let client = || call_until_stopped(address, deadline_ms, &ids, stop);
            let mut clients: Vec<_> = (0..self.clients).map(|_| scope.spawn(client)).collect();
            std::thread::sleep(LOAD_BEFORE_SIGTERM);
            let (before, after) = self.signals.signals();
            before.iter().for_each(|signal| router.process.signal(*signal));
            let sigterm_at = Instant::now();
            let written_before_sigterm = ids.load(Ordering::Relaxed) as usize - 1;
            router.process.signal(Signal::SIGTERM);
            after.iter().for_each(|signal| router.process.signal(*signal));
            clients.extend((0..self.crowd).map(|_| scope.spawn(client)));
            let paused_for = self.pause(&router.process);
            let kill_after = earliest_sigkill(deadline_ms);
            // A pause that a busy machine prolonged delays the kill by as much.
            let kill_at = sigterm_at + kill_after + paused_for.saturating_sub(PAUSE);
            let exited_after = router.process.exit_before(kill_at).map(|at| at - sigterm_at);
            router.process.kill();
            // Gives each client time to see the end of its connection.
            std::thread::sleep(Duration::from_millis(100));
            stop.store(true, Ordering::Relaxed);
            let mut totals = CallTotals::default();
            for client in clients {
                totals.add(&client.join().expect("no client panicked"));
            }
            RestartResult {
                exited_after,
                kill_after,
                paused_for,
                written_before_sigterm,
                served_before_sigterm: totals.served.count_before(sigterm_at),
                undisturbed: self.is_undisturbed(),
                totals,
            }
        })
    }

    /// Whether nothing hinders the router in serving what is written before SIGTERM.
    fn is_undisturbed(&self) -> bool {
        matches!(self.service, Service::After20Ms) && self.pause_after_ms.is_none() && self.busy_threads == 0
    }

    /// Pauses the process if the restart has a pause; returns for how long.
    fn pause(&self, process: &Process) -> Duration {
        let Some(after) = self.pause_after_ms else { return Duration::ZERO };
        std::thread::sleep(Duration::from_millis(after));
        if !process.is_running() {
            return Duration::ZERO;
        }
        let paused_at = Instant::now();
        process.signal(Signal::SIGSTOP);
        std::thread::sleep(PAUSE);
        process.signal(Signal::SIGCONT);
        paused_at.elapsed()
    }
}
