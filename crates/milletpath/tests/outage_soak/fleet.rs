//! Plays a day: starts workers, discovery, routers and clients, and carries out the faults at their times.

use crate::client::{CallRecord, ClientPlan, run_client};
use crate::day::{Day, Fault};
use crate::judge::{Notice, Observations, Pause, Verdict, WorkerChange, judge};
use crate::lateness::record_lateness;
use milletpath_test_support::platform_rig::{
    LiveDiscovery, MAX_SOCKETS, Outage, Router, RouterConfiguration, Worker, WorkerCondition, answers_after,
    endpoint_event,
};
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time from SIGTERM to the earliest SIGKILL: the longest deadline, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// Time until a router that has ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// Each attempt takes a moment.
fn works(_: usize, id: u64, connection: &mut TcpStream) {
    answers_after(Duration::from_millis(15), id, connection);
}

/// Discovery as one router reaches it: a reload moves it.
struct RouterDiscovery {
    current: LiveDiscovery,
    /// Those that it had before, which say nothing more.
    former: Vec<LiveDiscovery>,
}

/// One router, over all its processes.
struct RouterPlace {
    process: Option<Router>,
    address: SocketAddr,
    configuration: RouterConfiguration,
    discovery: RouterDiscovery,
    outage_until: Option<Instant>,
}

/// What is due later.
enum Step {
    Begin(Fault),
    EndOutage { router: usize },
    SetCondition { worker: usize, condition: WorkerCondition, event: Option<&'static str>, cold: bool },
    Kill { router: usize },
    Start { router: usize },
    Resume { router: usize },
}

struct Fleet {
    began: Instant,
    workers: Vec<Worker>,
    routers: Vec<RouterPlace>,
    steps: Vec<(Instant, Step)>,
    observations: Observations,
    /// Clients that are to be started.
    crowds: Vec<ClientPlan>,
    /// Clients that came later than the first second.
    crowd_size: u64,
}

/// Plays a day and judges it.
pub fn play(day: &Day) -> Verdict {
    let workers: Vec<_> = (0..day.workers).map(|_| Worker::with_addresses(works, day.routers)).collect();
    let routers: Vec<_> = (0..day.routers).map(|router| RouterPlace::start(day, router, &workers)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::new()));
    let lateness = {
        let stop = stop.clone();
        std::thread::spawn(move || record_lateness(&stop))
    };
    let mut clients = Vec::new();
    let pause = Duration::from_secs_f64((day.routers * day.clients) as f64 / day.calls);
    for (router, place) in routers.iter().enumerate() {
        for number in 0..day.clients as u64 {
            let leaves_every = if number == 1 { 13 } else { 0 };
            let plan = ClientPlan {
                router,
                address: place.address,
                number: number + 1,
                pause,
                leaves_every,
                most_calls: usize::MAX,
            };
            clients.push(start_client(plan, &stop, &records));
        }
    }
    let began = Instant::now();
    let steps =
        day.faults.iter().map(|timed| (began + seconds(timed.at), Step::Begin(timed.fault))).collect();
    let mut fleet = Fleet {
        began,
        workers,
        routers,
        steps,
        observations: Observations::default(),
        crowds: Vec::new(),
        crowd_size: 0,
    };
    let end = began + seconds(day.seconds);
    while Instant::now() < end {
        fleet.do_what_is_due();
        for plan in std::mem::take(&mut fleet.crowds) {
            clients.push(start_client(plan, &stop, &records));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("no client panicked"));
    fleet.observations.lateness = lateness.join().expect("no thread panicked");
    fleet.observations.calls = std::mem::take(&mut records.lock().expect("no thread panicked"));
    fleet.observations.frames = fleet.workers.iter().map(|worker| worker.received.all()).collect();
    fleet.workers.iter().for_each(Worker::stop);
    judge(day, fleet.began, &fleet.observations)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

fn start_client(
    plan: ClientPlan,
    stop: &Arc<AtomicBool>,
    records: &Arc<Mutex<Vec<CallRecord>>>,
) -> std::thread::JoinHandle<()> {
    let (stop, records) = (stop.clone(), records.clone());
    std::thread::spawn(move || {
        let own = run_client(&plan, &stop);
        records.lock().expect("no thread panicked").extend(own);
    })
}

impl RouterPlace {
    fn start(day: &Day, router: usize, workers: &[Worker]) -> Self {
        let discovery = LiveDiscovery::start(workers.len() as u64);
        let addresses: Vec<_> = workers.iter().map(|worker| worker.addresses[router]).collect();
        let configuration = RouterConfiguration::new(&addresses, discovery.address, MAX_SOCKETS)
            .with("Balancers", day.routers)
            .with("Effect", day.effect.setting)
            .with("seed", format!("\"{:016x}\"", day.seed << 16 | router as u64));
        let process = Router::with_configuration(&configuration);
        let address = process.address;
        let configuration = configuration.with("listen", format!("\"{address}\""));
        let discovery = RouterDiscovery { current: discovery, former: Vec::new() };
        Self { process: Some(process), address, configuration, discovery, outage_until: None }
    }

    fn publish(&self, line: impl Fn(u64) -> String) {
        self.discovery.current.publish(line);
    }
}

impl Fleet {
    fn do_what_is_due(&mut self) {
        let now = Instant::now();
        let steps = std::mem::take(&mut self.steps);
        let (due, later): (Vec<_>, Vec<_>) = steps.into_iter().partition(|(at, _)| *at <= now);
        self.steps = later;
        due.into_iter().for_each(|(_, step)| self.do_step(step));
    }

    fn later(&mut self, after: Duration, step: Step) {
        self.steps.push((Instant::now() + after, step));
    }

    fn do_step(&mut self, step: Step) {
        match step {
            Step::Begin(fault) => self.begin(fault),
            Step::EndOutage { router } => self.end_outage(router),
            Step::SetCondition { worker, condition, event, cold } => {
                self.change_worker(worker, condition, event, cold);
            }
            Step::Kill { router } => {
                if let Some(mut process) = self.routers[router].process.take() {
                    process.process.kill();
                }
                self.later(RESTART_AFTER, Step::Start { router });
            }
            Step::Start { router } => {
                let place = &mut self.routers[router];
                if place.process.is_none() {
                    place.process = Some(Router::with_configuration(&place.configuration));
                }
            }
            Step::Resume { router } => {
                if let Some(process) = &self.routers[router].process {
                    process.process.resume();
                }
            }
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Outage { outage, seconds: length, divisor, remainder } => {
                for router in (0..self.routers.len()).filter(|router| router % divisor == remainder) {
                    self.begin_outage(router, outage, length);
                }
            }
            Fault::Drain { worker, returns } => {
                self.change_worker(worker, WorkerCondition::Draining, Some("leaving"), false);
                if let Some(after) = returns {
                    let condition = WorkerCondition::Ready;
                    let step = Step::SetCondition { worker, condition, event: Some("active"), cold: false };
                    self.later(seconds(after), step);
                }
            }
            Fault::Restart { worker, seconds: length } => {
                self.change_worker(worker, WorkerCondition::Gone, Some("left"), false);
                let condition = WorkerCondition::Ready;
                let step = Step::SetCondition { worker, condition, event: Some("active"), cold: true };
                self.later(seconds(length), step);
            }
            Fault::Condition { worker, condition, seconds: length } => {
                self.change_worker(worker, condition, None, false);
                let condition = WorkerCondition::Ready;
                self.later(
                    seconds(length),
                    Step::SetCondition { worker, condition, event: None, cold: false },
                );
            }
            Fault::Reset { worker } => self.workers[worker].reset_connections(),
            Fault::Reload { router, out_for } => self.reload(router, out_for),
            Fault::Terminate { router } => {
                self.signal(router, Signal::SIGTERM);
                self.later(KILL_AFTER, Step::Kill { router });
            }
            Fault::Kill { router } => {
                self.observations.kills.push((router, Instant::now()));
                self.do_step(Step::Kill { router });
            }
            Fault::Pause { router, seconds: length } => {
                self.signal(router, Signal::SIGSTOP);
                let from = Instant::now();
                self.observations.pauses.push(Pause { router, from, until: from + seconds(length) });
                // Clients that leave while nobody reads.
                self.add_crowd(router, 5, 1, 3);
                self.later(seconds(length), Step::Resume { router });
            }
            Fault::Crowd { router, clients } => self.add_crowd(router, clients, 0, usize::MAX),
        }
    }

    /// More clients of a router, who call seldom.
    fn add_crowd(&mut self, router: usize, clients: usize, leaves_every: u64, most_calls: usize) {
        let address = self.routers[router].address;
        let pause = Duration::from_millis(300);
        for _ in 0..clients {
            self.crowd_size += 1;
            let number = 100 + self.crowd_size;
            self.crowds.push(ClientPlan { router, address, number, pause, leaves_every, most_calls });
        }
    }

    fn signal(&self, router: usize, signal: Signal) {
        if let Some(process) = &self.routers[router].process {
            process.process.signal(signal);
        }
    }

    fn begin_outage(&mut self, router: usize, outage: Outage, length: f64) {
        let now = Instant::now();
        self.routers[router].discovery.current.fail(outage);
        self.routers[router].outage_until = Some(now + seconds(length));
        self.observations.notices.push(Notice { router, from: now, until: now + notice_of(outage) });
        self.later(seconds(length), Step::EndOutage { router });
    }

    fn end_outage(&mut self, router: usize) {
        let place = &mut self.routers[router];
        if place.outage_until.is_some_and(|until| until <= Instant::now()) {
            place.discovery.current.recover();
            place.outage_until = None;
        }
    }

    /// The file names another discovery, which has the same events, and SIGHUP says so.
    fn reload(&mut self, router: usize, out_for: f64) {
        let workers = self.workers.len() as u64;
        let place = &mut self.routers[router];
        let next = LiveDiscovery::with_events(workers, place.discovery.current.events());
        if out_for > 0.0 {
            next.fail(Outage::Refused);
            place.outage_until = Some(Instant::now() + seconds(out_for));
        }
        place.configuration = place.configuration.clone().with("bulletin", format!("\"{}\"", next.address));
        let former = std::mem::replace(&mut place.discovery.current, next);
        // It tells nothing more.
        former.fail(Outage::Silent);
        place.discovery.former.push(former);
        if let Some(process) = &place.process {
            std::fs::write(&process.configuration_file, place.configuration.text()).expect("a writable file");
            process.process.signal(Signal::SIGHUP);
        }
        let now = Instant::now();
        self.observations.notices.push(Notice { router, from: now, until: now + Notice::LONGEST });
        self.later(seconds(out_for), Step::EndOutage { router });
    }

    /// Changes a worker's condition, and tells discovery where there is an event for it.
    fn change_worker(
        &mut self,
        worker: usize,
        condition: WorkerCondition,
        event: Option<&'static str>,
        cold: bool,
    ) {
        self.workers[worker].set_condition(condition);
        let Some(phase) = event else { return };
        let started_ms = if cold { unix_milliseconds() } else { 0 };
        for (router, place) in self.routers.iter().enumerate() {
            let address = self.workers[worker].addresses[router];
            place.publish(|number| {
                endpoint_event(number, &format!("w{worker}"), address, phase)
                    .replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{started_ms}"))
            });
        }
        // What is sent after this is known by the event or by its time.
        self.observations.changes.push(WorkerChange { worker, condition, at: Instant::now() });
    }
}

/// The time from the beginning of an outage until what discovery would have told counts as told.
fn notice_of(outage: Outage) -> Duration {
    match outage {
        Outage::Refused | Outage::Closed | Outage::CutLine => Duration::from_secs(2),
        Outage::Silent | Outage::EndlessLine => Notice::LONGEST,
    }
}

fn unix_milliseconds() -> u128 {
    (milletpath_process_environment::wall_clock::unix_time() * 1e3) as u128
}
