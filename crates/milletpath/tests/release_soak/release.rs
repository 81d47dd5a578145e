//! A release drawn from a seed, how it is played, and the rules that it has to keep.

use crate::persistent_client::{CallTotals, call_until_stopped};
use milletpath_test_support::platform_rig::{
    LiveDiscovery, Outage, Pace, Router, RouterConfiguration, Worker, WorkerBehaviour, answers_after,
    earliest_sigkill, partial_list_event,
};
use milletpath_test_support::shared_processor::SharedProcessor;
use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Processes at which the workers of the list are; several workers share one.
const WORKER_PROCESSES: usize = 8;
/// The part of the fleet that is replaced.
const REPLACED_FRACTION: f64 = 0.6;
/// Time between the notice that workers drain and their replacement.
const DRAIN: Duration = Duration::from_millis(250);
/// How long clients call before the release begins.
const LOAD_BEFORE_RELEASE: Duration = Duration::from_millis(400);
/// How long after its deadline a call may be answered without counting as lost, as the platform states.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long the discovery service is away where a subscription is lost.
const OUTAGE: Duration = Duration::from_millis(400);
/// How long the previous discovery service stays open after a reload, as the platform states.
const CLOSED_AFTER_RELOAD: Duration = Duration::from_millis(1500);
/// The part of the calls written before SIGTERM that has to be served by a router with a whole processor. One that
/// rejects what it could serve loses no call.
const MIN_SERVED_UNDISTURBED: f64 = 0.5;
/// Descriptors of the router.
const MAX_SOCKETS: usize = 512;

/// How an event arrives.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Whole,
    /// In pieces of this many bytes, 4 ms apart.
    InPieces(usize),
}

/// How long a worker takes for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// 5 ms.
    Fast,
    /// 50 ms.
    Usual,
    /// 600 ms.
    Slow,
}

/// What happens beside the release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    /// The subscription is lost during the release; all events since follow at once.
    LostSubscription,
    /// SIGHUP with another address of discovery.
    Reload,
    /// The list of the start is in thousands of events of the configuration.
    ManyKnownEvents,
}

/// When SIGTERM comes.
#[derive(Clone, Copy, Debug)]
enum Shutdown {
    AfterRelease,
    DuringRelease,
    /// Once during the release and once more, with a SIGHUP between the two.
    SignalsInARow,
}

/// A release derived from a seed.
#[derive(Clone, Debug)]
pub struct Release {
    fleet: usize,
    /// Workers that one event names.
    entries: usize,
    delivery: Delivery,
    /// Processes that share the router's processor.
    busy_processes: usize,
    service: Service,
    deadline_ms: u64,
    clients: usize,
    /// Further clients, which connect at SIGTERM.
    crowd: usize,
    disturbance: Disturbance,
    shutdown: Shutdown,
    /// Time in which the workers are replaced.
    lasts: Duration,
}

/// How a release went.
#[derive(Debug)]
pub struct ReleaseResult {
    /// How long after SIGTERM the process exited by itself.
    exited_after: Option<Duration>,
    written_before_sigterm: usize,
    served_before_sigterm: usize,
    has_floor: bool,
    totals: CallTotals,
    /// What the router logged about stalls and held-back work.
    pub log: Vec<String>,
}

impl ReleaseResult {
    /// The rules that were broken.
    pub fn violations(&self) -> Vec<String> {
        let &CallTotals { answered, lost, answered_twice, latest_answer, .. } = &self.totals;
        let (written, served) = (self.written_before_sigterm, self.served_before_sigterm);
        let served_too_few = (served as f64) < MIN_SERVED_UNDISTURBED * written as f64;
        let rules = [
            (answered == 0, "no call was answered".to_owned()),
            (self.has_floor && served_too_few, format!("only {served} of {written} calls were served")),
            (self.exited_after.is_none(), "the process did not exit in time".to_owned()),
            (lost > 0, format!("{lost} calls were lost")),
            (answered_twice > 0, format!("{answered_twice} calls were answered twice")),
            (
                latest_answer > LATE_ANSWER_LIMIT,
                format!("a call was answered {latest_answer:?} after its deadline"),
            ),
        ];
        rules.into_iter().filter(|(broken, _)| *broken).map(|(_, text)| text).collect()
    }
}

/// The worker with this number of the list. Its replacement has its address.
fn address_of(processes: &[Worker], worker: usize) -> SocketAddr {
    processes[worker % processes.len()].address
}

/// The line of an event that gives workers of the list this state. Replacements have names of their own.
fn event(number: u64, processes: &[Worker], workers: &[usize], prefix: &str, state: &str) -> String {
    let names: Vec<_> = workers.iter().map(|worker| format!("{prefix}{worker}")).collect();
    let entries = names.iter().zip(workers);
    let entries: Vec<_> =
        entries.map(|(name, worker)| (name.as_str(), address_of(processes, *worker), state)).collect();
    partial_list_event(number, &entries)
}

impl Release {
    /// A release of any size.
    pub fn drawn(seed: u64) -> Self {
        Self::with_sizes(seed, &[120, 3200], &[0, 3, 9, 19], Duration::from_secs(4))
    }

    /// A release that is short enough for CI.
    pub fn small(seed: u64) -> Self {
        Self::with_sizes(seed, &[120, 1200], &[0, 3], Duration::from_millis(1200))
    }

    /// A release like the one that stopped a router: six steps in which 320 of 3,200 workers are replaced by one event each.
    pub fn in_large_steps(busy_processes: usize) -> Self {
        Self {
            fleet: 3200,
            entries: 320,
            delivery: Delivery::Whole,
            busy_processes,
            service: Service::Usual,
            deadline_ms: 1165,
            clients: 2,
            crowd: 0,
            disturbance: Disturbance::Nothing,
            shutdown: Shutdown::AfterRelease,
            lasts: Duration::from_secs(6),
        }
    }

    fn with_sizes(seed: u64, fleets: &[usize], busy: &[usize], lasts: Duration) -> Self {
        use Disturbance::{LostSubscription, ManyKnownEvents, Nothing, Reload};
        use Shutdown::{AfterRelease, DuringRelease, SignalsInARow};
        fn pick<T: Copy>(rng: &mut ChaCha8Rng, from: &[T]) -> T {
            *from.choose(rng).expect("there is a choice")
        }
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let fleet = pick(rng, fleets);
        let delivery = match rng.random_range(0..3) {
            0 => Delivery::Whole,
            1 => Delivery::InPieces(2048),
            _ => Delivery::InPieces(rng.random_range(500..20_000)),
        };
        Self {
            fleet,
            entries: pick(rng, &[1, 30, 320, 960, 3200]).min(fleet),
            delivery,
            busy_processes: pick(rng, busy),
            service: pick(rng, &[Service::Fast, Service::Usual, Service::Slow]),
            deadline_ms: pick(rng, &[1165, 2500]),
            clients: pick(rng, &[2, 5]),
            crowd: pick(rng, &[0, 0, 20]),
            disturbance: pick(rng, &[Nothing, Nothing, LostSubscription, Reload, ManyKnownEvents]),
            shutdown: pick(rng, &[AfterRelease, DuringRelease, SignalsInARow]),
            lasts,
        }
    }

    fn behaviour(&self) -> WorkerBehaviour {
        match self.service {
            Service::Fast => |_, id, connection| answers_after(Duration::from_millis(5), id, connection),
            Service::Usual => |_, id, connection| answers_after(Duration::from_millis(50), id, connection),
            Service::Slow => |_, id, connection| answers_after(Duration::from_millis(600), id, connection),
        }
    }

    /// Plays the release on one of the processors, chosen by `processor`.
    pub fn play(&self, processor: usize) -> ReleaseResult {
        let processes: Vec<_> = (0..WORKER_PROCESSES).map(|_| Worker::start(self.behaviour())).collect();
        let known =
            if self.disturbance == Disturbance::ManyKnownEvents { self.fleet } else { WORKER_PROCESSES };
        let addresses: Vec<_> = (0..known).map(|worker| address_of(&processes, worker)).collect();
        let discovery = LiveDiscovery::start(known as u64);
        let configuration = RouterConfiguration::new(&addresses, discovery.address, MAX_SOCKETS)
            .with("PlacementCalls", false)
            .with("HardLimit", self.deadline_ms * 1000);
        let router = Router::with_configuration(&configuration);
        let workers: Vec<_> = (0..self.fleet).collect();
        discovery.publish(|number| event(number, &processes, &workers, "w", "active"));
        router.wait_for_current_list();
        let shared = SharedProcessor::start(processor, self.busy_processes);
        shared.bind(&router.process);
        if let Delivery::InPieces(bytes) = self.delivery {
            discovery.set_pace(Pace { bytes, pause: Duration::from_millis(4) });
        }
        let play = Play { release: self, processes: &processes, configuration, stop: AtomicBool::new(false) };
        let result = play.run(router, discovery);
        processes.iter().for_each(Worker::stop);
        result
    }

    /// Whether nothing hinders the router in serving.
    fn has_floor(&self) -> bool {
        self.busy_processes == 0 && self.service != Service::Slow && self.disturbance == Disturbance::Nothing
    }

    /// The release's time to SIGTERM.
    fn sigterm_after(&self) -> Duration {
        match self.shutdown {
            Shutdown::AfterRelease => self.lasts + 2 * DRAIN,
            Shutdown::DuringRelease | Shutdown::SignalsInARow => self.lasts / 2,
        }
    }
}

/// A release in progress.
struct Play<'r> {
    release: &'r Release,
    processes: &'r [Worker],
    configuration: RouterConfiguration,
    stop: AtomicBool,
}

impl Play<'_> {
    fn run(&self, mut router: Router, discovery: LiveDiscovery) -> ReleaseResult {
        let Release { deadline_ms, clients, crowd, .. } = *self.release;
        let ids = AtomicU64::new(1);
        let address = router.address;
        std::thread::scope(|scope| {
            let client = || call_until_stopped(address, deadline_ms, &ids, &self.stop);
            let mut clients: Vec<_> = (0..clients).map(|_| scope.spawn(client)).collect();
            std::thread::sleep(LOAD_BEFORE_RELEASE);
            let process = router.process.id();
            let configuration_file = router.configuration_file.clone();
            let began = Instant::now();
            let released = scope.spawn(move || self.release_workers(discovery, process, &configuration_file));
            std::thread::sleep(self.release.sigterm_after().saturating_sub(began.elapsed()));
            let written_before_sigterm = ids.load(Ordering::Relaxed) as usize - 1;
            let sigterm_at = Instant::now();
            router.process.signal(Signal::SIGTERM);
            if matches!(self.release.shutdown, Shutdown::SignalsInARow) {
                router.process.signal(Signal::SIGHUP);
                router.process.signal(Signal::SIGTERM);
            }
            clients.extend((0..crowd).map(|_| scope.spawn(client)));
            let exited = router.process.exit_before(sigterm_at + earliest_sigkill(deadline_ms));
            router.process.kill();
            // Gives each client time to see the end of its connection.
            std::thread::sleep(Duration::from_millis(100));
            self.stop.store(true, Ordering::Relaxed);
            let mut totals = CallTotals::default();
            for client in clients {
                totals.add(&client.join().expect("no client panicked"));
            }
            released.join().expect("the release did not panic");
            let lines = ["stalled", "waited for"].map(|text| router.log_lines_containing(text));
            ReleaseResult {
                exited_after: exited.map(|at| at - sigterm_at),
                written_before_sigterm,
                served_before_sigterm: totals.served.count_before(sigterm_at),
                has_floor: self.release.has_floor(),
                totals,
                log: lines.concat(),
            }
        })
    }

    /// Replaces workers in steps: those of a step drain, and then others have their addresses.
    fn release_workers(&self, first: LiveDiscovery, router: u32, configuration_file: &std::path::Path) {
        let Release { fleet, entries, lasts, disturbance, .. } = *self.release;
        let replaced: Vec<_> = (0..(fleet as f64 * REPLACED_FRACTION) as usize).collect();
        let steps: Vec<_> = replaced.chunks(entries).collect();
        let began = Instant::now();
        let mut discovery = &first;
        let second;
        let middle = steps.len() / 2;
        let mut draining = std::collections::VecDeque::new();
        let mut is_disturbed = false;
        for (index, step) in steps.iter().enumerate() {
            let due = lasts.mul_f64(index as f64 / steps.len() as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            if index >= middle && !is_disturbed {
                is_disturbed = true;
                if disturbance == Disturbance::LostSubscription {
                    discovery.fail(Outage::Closed);
                }
            }
            discovery.publish(|number| event(number, self.processes, step, "w", "leaving"));
            draining.push_back((Instant::now(), *step));
            self.replace_drained(discovery, &mut draining, DRAIN);
        }
        std::thread::sleep(OUTAGE);
        discovery.recover();
        if disturbance == Disturbance::Reload {
            second = self.reload(discovery, router, configuration_file);
            discovery = &second;
        }
        self.replace_drained(discovery, &mut draining, Duration::ZERO);
        while !self.stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Publishes the replacements of workers that have drained for so long.
    fn replace_drained(
        &self,
        discovery: &LiveDiscovery,
        draining: &mut std::collections::VecDeque<(Instant, &[usize])>,
        drain: Duration,
    ) {
        let has_drained = |(since, _): &(Instant, &[usize])| since.elapsed() >= drain;
        while draining.front().is_some_and(has_drained)
            && let Some((_, step)) = draining.pop_front()
        {
            discovery.publish(|number| event(number, self.processes, step, "w", "left"));
            discovery.publish(|number| event(number, self.processes, step, "v", "active"));
        }
    }

    /// Moves the router to another discovery service with the same events.
    fn reload(
        &self,
        old: &LiveDiscovery,
        router: u32,
        configuration_file: &std::path::Path,
    ) -> LiveDiscovery {
        let known = self.known_events();
        let new = LiveDiscovery::with_events(known, old.events());
        let configuration = self.configuration.clone().with("bulletin", format!("\"{}\"", new.address));
        std::fs::write(configuration_file, configuration.text()).expect("the file is writable");
        let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(router as i32), Signal::SIGHUP);
        old.fail(Outage::Silent);
        std::thread::sleep(CLOSED_AFTER_RELOAD / 10);
        old.fail(Outage::Refused);
        new
    }

    fn known_events(&self) -> u64 {
        let known = self.release.disturbance == Disturbance::ManyKnownEvents;
        if known { self.release.fleet as u64 } else { WORKER_PROCESSES as u64 }
    }
}
